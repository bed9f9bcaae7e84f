#!/usr/bin/env node
/** The daemon's command line. */
import { readFileSync } from 'node:fs';
import { defineCommand, runMain } from 'citty';
import { getStaticTOMLValue, parseTOML } from 'toml-eslint-parser';
import { Daemon } from '../Daemon.js';
import { settingsSchema } from '../settings.js';
import { RoarrLogger, setLogWriter } from '../telemetry/RoarrLogger.js';

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

async function run(file: string): Promise<void> {
  const parsed = settingsSchema.safeParse(
    getStaticTOMLValue(parseTOML(readFileSync(file, 'utf8'))),
  );
  if (!parsed.success) {
    parsed.error.issues.forEach((issue) => {
      console.error(`${file}: ${issue.path.join('.')}: ${issue.message}`);
    });
    process.exit(EXIT_BAD_SETTINGS);
  }
  const settings = parsed.data;
  setLogWriter((line) => process.stdout.write(`${line}\n`));
  const logger = new RoarrLogger(settings.log.level, { vm: settings.vm });
  const daemon = new Daemon(settings, logger);
  const stop = (): void => {
    daemon.stop().then(
      () => process.exit(0),
      () => process.exit(EXIT_FAILED),
    );
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  await daemon.start();
}

const main = defineCommand({
  meta: { name: 'marigoldbankd', description: 'Daemon of the marigoldbank proxy fleet' },
  args: {
    settings: { type: 'string', required: true, description: 'TOML file with the settings' },
  },
  run: ({ args }) => run(args.settings),
});

await runMain(main);
