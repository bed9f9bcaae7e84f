#!/usr/bin/env node
/** Command line of the daemon. */
import { defineCommand, runMain } from 'citty';
import { Daemon } from '../Daemon.js';
import { loadSettings } from '../settings-file.js';
import { RoarrLogger, setLogWriter } from '../telemetry/RoarrLogger.js';

const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;

async function run(file: string, isCheckOnly: boolean): Promise<void> {
  const loaded = await loadSettings(file);
  if (loaded.kind === 'invalid') {
    loaded.problems.forEach((problem) => console.error(problem));
    process.exit(EXIT_BAD_SETTINGS);
  }
  if (isCheckOnly) {
    console.log(`${file}: no errors`);
    return;
  }
  const { settings } = loaded;
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
    check: { type: 'boolean', default: false, description: 'Check the settings and exit' },
  },
  run: ({ args }) => run(args.settings, args.check),
});

await runMain(main);
