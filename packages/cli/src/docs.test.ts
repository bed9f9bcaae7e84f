import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, it } from 'node:test';
import { parseFile } from '@marigoldbank/lists/parse';
import { expect } from 'earl';
import { cliSettingsSchema } from './cli-settings.js';
import { commandNames } from './program.js';
import { runCli } from './run-cli.js';

const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../../..');
const PAGES = ['README.md', 'docs/OPERATIONS.md', 'docs/configuration.md', 'docs/glossary.md'];
const DEPLOYMENTS = ['barid-al-khaleej', 'stoepkrijt'];

const read = (file: string): string => readFileSync(path.join(ROOT, file), 'utf8');

async function run(argv: readonly string[]): Promise<{ exitCode: number; output: string }> {
  const lines: string[] = [];
  const add = (line: string): void => {
    lines.push(line);
  };
  const exitCode = await runCli(argv, { env: {}, writeStdout: add, writeStderr: add });
  return { exitCode, output: lines.join('\n') };
}

/** Code spans and indented code lines of a page. */
function codeOf(page: string): string[] {
  const spans = [...page.matchAll(/`([^`\n]+)`/g)].map((match) => match[1] ?? '');
  const blocks = page.split('\n').filter((line) => line.startsWith('    '));
  return [...spans, ...blocks.map((line) => line.trim())];
}

async function isCommand(code: string): Promise<boolean> {
  const words = code.split(' ').slice(1);
  const name = [words.slice(0, 2).join(' '), words[0] ?? ''].find((candidate) =>
    commandNames().includes(candidate),
  );
  if (name === undefined) return words[0]?.startsWith('<') === true;
  const { output } = await run([...name.split(' '), '--help']);
  const options = words.filter((word) => word.startsWith('--')).filter((word) => word !== '--help');
  return options.every((option) => new RegExp(`${option}[ =]`).test(output));
}

/** Whether the command with its options, the npm script or the program in a piece of code exists. */
async function exists(code: string): Promise<boolean> {
  if (/^marigoldbank [a-z<]/.test(code)) return isCommand(code);
  const { scripts } = JSON.parse(read('package.json')) as { scripts: Record<string, string> };
  const script = /npm run ([a-z:]+)/.exec(code)?.[1];
  if (script !== undefined && !Object.hasOwn(scripts, script)) return false;
  const program = /^node ((?:packages|scripts)\S+)/.exec(code)?.[1];
  const source = program?.replace('/dist/', '/src/').replace(/\.js$/, '.ts');
  return source === undefined || existsSync(path.join(ROOT, source));
}

describe('documentation', () => {
  PAGES.forEach((page) => {
    it(`${page} names only commands, options and programs that exist`, async () => {
      const pieces = codeOf(read(page));
      const checked = await Promise.all(
        pieces.map(async (code) => ({ code, isKnown: await exists(code) })),
      );
      expect(checked.filter(({ isKnown }) => !isKnown)).toEqual([]);
    });
  });

  it('finds a command, option, script or program that does not exist', async () => {
    const wrong = [
      'marigoldbank aply',
      'marigoldbank key revoke x',
      'marigoldbank apply --bas 1',
      'npm run demoo',
      'node packages/cli/dist/bin/none.js',
    ];
    expect(await Promise.all(wrong.map(exists))).toEqual(wrong.map(() => false));
  });

  it('links only to files that exist', () => {
    const missing = PAGES.flatMap((page) =>
      [...read(page).matchAll(/\]\(([^)#]+)\)/g)]
        .map((match) => path.join(path.dirname(page), match[1] ?? ''))
        .filter((file) => !existsSync(path.join(ROOT, file))),
    );
    expect(missing).toEqual([]);
  });
});

describe('examples', () => {
  DEPLOYMENTS.forEach((name) => {
    it(`the lists of ${name} pass check without a warning`, async () => {
      const folder = path.join(ROOT, 'examples', name);
      const files = ['teams', 'plans'].flatMap((list) => [
        `--${list}`,
        path.join(folder, `${list}.toml`),
      ]);
      expect(await run(['check', ...files])).toEqual({
        exitCode: 0,
        output: `valid: ${name === 'stoepkrijt' ? '8 teams, 2 plans' : '8 teams, 3 plans'}, 4 routes, 2 services`,
      });
    });
  });

  it('are all covered by a test', () => {
    expect(readdirSync(path.join(ROOT, 'examples')).sort()).toEqual(
      [...DEPLOYMENTS, 'settings'].sort(),
    );
  });

  it('the settings of the command line satisfy the schema', () => {
    const text = read('examples/settings/marigoldbank.toml');
    expect(parseFile({ name: 'marigoldbank.toml', text }, cliSettingsSchema).kind).toEqual('valid');
  });
});
