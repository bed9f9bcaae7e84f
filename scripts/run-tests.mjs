/**
 * Runs node:test over the compiled tests. Arguments are package names or parts of file paths. Tests listed in
 * KNOWN-RED.txt do not affect the exit code: their files run separately, and any other test that fails there counts.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';

const CONCURRENCY = 4;

/** Without a limit, a file whose tests have ended but whose process keeps running would block the run forever. */
const FILE_TIMEOUT_MS = 600_000;

const MAX_OUTPUT_BYTES = 2 ** 26;

/** Tests that start processes run one at a time, because their time limits are in real time. */
const PROCESS_TESTS = '/process/';
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

const PROPERTY_SEED = new URL('property-seed.mjs', import.meta.url).href;

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

const compiled = (file) => file.replace('/src/', '/dist/').replace(/\.ts$/, '.js');

function testArgs(files, extra, concurrency) {
  return [
    '--enable-source-maps',
    '--import',
    PROPERTY_SEED,
    '--test',
    `--test-concurrency=${concurrency}`,
    `--test-timeout=${FILE_TIMEOUT_MS}`,
    ...extra,
    ...files.map(compiled),
  ];
}

function run(files, concurrency = CONCURRENCY) {
  if (files.length === 0) return 0;
  return spawnSync(process.execPath, testArgs(files, [], concurrency), { stdio: 'inherit' }).status;
}

/** Names of the failed tests in TAP output, without suites that failed only because of their tests. */
function failedTests(tap) {
  const [, ...blocks] = tap.split(/^ *not ok \d+ - /m);
  return blocks
    .filter((block) => !/failureType: 'subtestsFailed'/.test(block.split(/^ *\.\.\.$/m)[0]))
    .map((block) => block.split('\n')[0].replace(/ # .*$/, ''));
}

/** Runs a file of which some tests are known to fail. Returns 0 if no other test of it failed. */
function runWithKnownRed(file, names) {
  const args = testArgs([file], ['--test-reporter=tap'], 1);
  const { stdout, status, signal } = spawnSync(process.execPath, args, {
    stdio: ['inherit', 'pipe', 'inherit'],
    encoding: 'utf8',
    maxBuffer: MAX_OUTPUT_BYTES,
  });
  console.log(stdout);
  const failed = failedTests(stdout);
  names.forEach((name) =>
    console.log(
      `known red: ${file} :: ${name}: ${failed.includes(name) ? 'failed' : 'passed this time'}`,
    ),
  );
  if (status === 0) return 0;
  const hasOnlyKnown = failed.length > 0 && failed.every((name) => names.includes(name));
  return signal === null && hasOnlyKnown ? 0 : 1;
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
const redFiles = selected.filter((file) => knownFiles.includes(file));
const namesIn = (file) => knownRed.filter((red) => red.file === file).map(({ name }) => name);
const others = selected.filter((file) => !knownFiles.includes(file));
const statuses = [
  ...redFiles.map((file) => runWithKnownRed(file, namesIn(file))),
  run(others.filter((file) => !file.includes(PROCESS_TESTS))),
  run(
    others.filter((file) => file.includes(PROCESS_TESTS)),
    1,
  ),
];
process.exit(statuses.every((status) => status === 0) ? 0 : 1);
