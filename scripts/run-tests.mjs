/**
 * Runs node:test over the compiled tests. Arguments are package names or parts of file paths. Tests listed in
 * KNOWN-RED.txt run separately: their result is printed and does not affect the exit code.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';

const CONCURRENCY = 4;

/** Without a limit, a file whose tests have ended but whose process keeps running would block the run forever. */
const FILE_TIMEOUT_MS = 600_000;

/** Tests that start processes run one at a time, because their time limits are in real time. */
const PROCESS_TESTS = '/process/';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

const filters = process.argv.slice(2);
const sources = ['packages', 'platform']
  .flatMap((dir) =>
    readdirSync(dir, { recursive: true }).map((file) => path.join(dir, file.toString())),
  )
  .filter((file) => /\/src\/.*\.test\.ts$/.test(file) && !file.includes('node_modules'))
  .sort();
const selected = sources.filter(
  (file) => filters.length === 0 || filters.some((filter) => file.includes(filter)),
);

/** Lines of the form `test: <source file> :: <test name>`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => {
      const [file, name] = line.slice('test: '.length).split(' :: ');
      return { file: file.trim(), name: name.trim() };
    });
}

const escapeRegExp = (text) => text.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
const compiled = (file) => file.replace('/src/', '/dist/').replace(/\.ts$/, '.js');

function run(files, extra, concurrency = CONCURRENCY) {
  const args = [
    '--enable-source-maps',
    '--test',
    `--test-concurrency=${concurrency}`,
    `--test-timeout=${FILE_TIMEOUT_MS}`,
    ...extra,
  ];
  return spawnSync(process.execPath, [...args, ...files.map(compiled)], { stdio: 'inherit' })
    .status;
}

if (selected.length === 0) {
  console.error('no test file matches');
  process.exit(1);
}

const knownRed = readKnownRed();
const knownFiles = knownRed.map(({ file }) => file);
const unknownFiles = knownFiles.filter((file) => !sources.includes(file));
if (unknownFiles.length > 0) {
  console.error(`${KNOWN_RED_FILE} names files that do not exist: ${unknownFiles.join(', ')}`);
  process.exit(1);
}
knownRed
  .filter(({ file }) => selected.includes(file))
  .forEach(({ file, name }) => {
    const status = run([file], [`--test-name-pattern=^${escapeRegExp(name)}$`]);
    console.log(`known red: ${file} :: ${name}: ${status === 0 ? 'passed this time' : 'failed'}`);
  });
const skips = knownRed.map(({ name }) => `--test-skip-pattern=^${escapeRegExp(name)}$`);
const processTests = selected.filter((file) => file.includes(PROCESS_TESTS));
const otherTests = selected.filter((file) => !file.includes(PROCESS_TESTS));
const statuses = [
  otherTests.length === 0 ? 0 : run(otherTests, skips),
  processTests.length === 0 ? 0 : run(processTests, skips, 1),
];
process.exit(statuses.find((status) => status !== 0) ?? 0);
