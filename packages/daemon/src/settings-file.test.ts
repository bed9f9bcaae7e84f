import { readdir } from 'node:fs/promises';
import path from 'node:path';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';
import { expect } from 'earl';
import { loadSettings, parseSettings } from './settings-file.js';

const EXAMPLES = path.resolve(
  path.dirname(fileURLToPath(import.meta.url)),
  '../../../examples/settings',
);

const VALID = `
vm = "vm-1"
dataCentre = "muscat-a"
roles = ["control", "entry"]
dataFolder = "/var/lib/marigoldbank"
callerAddress = "10.0.1.1:8080"
internalAddress = "10.0.1.1:9080"
control = [{ vm = "vm-1", address = "10.0.1.1:9080" }]
[secrets]
peer = "peer-secret-0001"
operator = "operator-secret-1"
announcement = "announcement-sec"
`;

/** Replaces a part of the valid settings; returns line, column and path of each problem. */
function problemsAfter(part: string, replacement: string): string[] {
  const loaded = parseSettings('s.toml', VALID.replace(part, replacement));
  if (loaded.kind === 'valid') return [];
  return loaded.problems.map((text) => /^s\.toml:(\d+:\d+: [^:]+):/.exec(text)?.[1] ?? text);
}

describe('parseSettings', () => {
  it('accepts valid settings', () => {
    expect(parseSettings('s.toml', VALID).kind).toEqual('valid');
  });

  const faults: [string, string, string, string[]][] = [
    ['an entry without caller address', 'callerAddress = ', '# ', ['1:1: callerAddress']],
    ['control without data folder', 'dataFolder = ', '# ', ['1:1: dataFolder']],
    ['control that is not listed', '{ vm = "vm-1"', '{ vm = "vm-2"', ['8:1: control']],
    ['another address in the list', '.1:9080" }', '.2:9080" }', ['8:27: control[0].address']],
    ['an impossible IP', '"10.0.1.1:8080"', '"10.0.1.256:8080"', ['6:1: callerAddress']],
    ['an impossible port of a peer', 'roles', 'peers = ["10.0.1.2:0"]\nroles', ['4:10: peers[0]']],
    ['one address for two listeners', ':8080', ':9080', ['6:1: callerAddress']],
    [
      'one secret for two groups',
      'operator-secret-1',
      'peer-secret-0001',
      ['11:1: secrets.operator'],
    ],
    [
      'bootstrap without control',
      'roles = ["control", ',
      'bootstrap = true\nroles = [',
      ['4:1: bootstrap'],
    ],
    ['an unknown field', 'vm = "vm-1"\nd', 'wm = 1\nvm = "vm-1"\nd', ['2:1: wm']],
  ];
  faults.forEach(([name, part, replacement, expected]) => {
    it(`reports ${name} and no other problem`, () => {
      expect(problemsAfter(part, replacement)).toEqual(expected);
    });
  });

  it('does not include a secret in a problem', () => {
    const loaded = parseSettings('s.toml', VALID.replace('peer-secret-0001', 'tooshort'));
    expect(loaded.kind === 'invalid' && loaded.problems.join()).not.toEqual(false);
    expect(JSON.stringify(loaded).includes('tooshort')).toEqual(false);
  });

  it('reports a missing file instead of throwing', async () => {
    expect(await loadSettings('/nonexistent.toml')).toEqual({
      kind: 'invalid',
      problems: ['/nonexistent.toml: does not exist'],
    });
  });

  it('accepts all settings files of the examples', async () => {
    const files = (await readdir(EXAMPLES)).filter((file) => /^(control|entry)-/.test(file));
    const loaded = await Promise.all(files.map((file) => loadSettings(path.join(EXAMPLES, file))));
    expect(files.length).toEqual(6);
    expect(loaded.flatMap((item) => (item.kind === 'invalid' ? item.problems : []))).toEqual([]);
  });
});
