/** Loads the daemon's settings file and validates what the schema cannot express. */
import { readFile } from 'node:fs/promises';
import { isIP } from 'node:net';
import { parseFile } from '@marigoldbank/lists/parse';
import { formatPath, formatProblem, type KeyPath } from '@marigoldbank/lists/problems';
import { settingsSchema, type Settings } from './settings.js';

export type LoadedSettings =
  | { readonly kind: 'valid'; readonly settings: Settings }
  /** One line for each problem, with file, line and column. */
  | { readonly kind: 'invalid'; readonly problems: readonly string[] };

interface Finding {
  readonly path: KeyPath;
  readonly expected: string;
  readonly found: string;
}

const MAX_PORT = 65_535;

function isAddress(address: string): boolean {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  const port = Number(address.slice(at + 1));
  return isIP(host) !== 0 && port > 0 && port <= MAX_PORT;
}

function checkAddresses(settings: Settings): Finding[] {
  const { callerAddress, internalAddress, listen, control, peers, outgoingAddress } = settings;
  const addresses: [KeyPath, string | undefined][] = [
    [['callerAddress'], callerAddress],
    [['internalAddress'], internalAddress],
    [['listen', 'caller'], listen.caller],
    [['listen', 'internal'], listen.internal],
    ...control.map(({ address }, i): [KeyPath, string] => [['control', i, 'address'], address]),
    ...peers.map((address, i): [KeyPath, string] => [['peers', i], address]),
  ];
  const findings = addresses
    .filter(([, address]) => address !== undefined && !isAddress(address))
    .map(([path, address]) => ({
      path,
      expected: 'an IP address and a port from 1 to 65535',
      found: JSON.stringify(address),
    }));
  if (outgoingAddress !== undefined && isIP(outgoingAddress) === 0) {
    const found = JSON.stringify(outgoingAddress);
    findings.push({ path: ['outgoingAddress'], expected: 'an IP address', found });
  }
  if (callerAddress !== undefined && callerAddress === internalAddress) {
    const expected = 'another address than internalAddress';
    findings.push({ path: ['callerAddress'], expected, found: JSON.stringify(callerAddress) });
  }
  return findings;
}

function checkRoles(settings: Settings): Finding[] {
  const { roles, callerAddress, dataFolder, control, vm, internalAddress, bootstrap } = settings;
  const findings: Finding[] = [];
  if (roles.includes('entry') && callerAddress === undefined) {
    const expected = 'an address, since the role entry serves callers';
    findings.push({ path: ['callerAddress'], expected, found: 'nothing' });
  }
  if (!roles.includes('control')) {
    if (!bootstrap) return findings;
    return [...findings, { path: ['bootstrap'], expected: 'the role control', found: 'true' }];
  }
  if (dataFolder === undefined) {
    const expected = 'a folder, since the role control keeps durable state';
    findings.push({ path: ['dataFolder'], expected, found: 'nothing' });
  }
  const index = control.findIndex((item) => item.vm === vm);
  const own = control[index];
  if (own === undefined) {
    const found = `a list without ${JSON.stringify(vm)}`;
    findings.push({ path: ['control'], expected: 'this VM, which has the role control', found });
  } else if (own.address !== internalAddress) {
    const expected = `the internalAddress ${internalAddress} of this VM`;
    const found = JSON.stringify(own.address);
    findings.push({ path: ['control', index, 'address'], expected, found });
  }
  return findings;
}

function checkDuplicates({ control }: Settings): Finding[] {
  return (['vm', 'address'] as const).flatMap((field) =>
    control
      .map((item, i) => ({ value: item[field], i }))
      .filter(({ value, i }) => control.findIndex((item) => item[field] === value) < i)
      .map(({ value, i }) => ({
        path: ['control', i, field],
        expected: `a ${field} that no other control VM has`,
        found: JSON.stringify(value),
      })),
  );
}

/** If two groups shared a secret, each could act as the other. */
function checkSecrets({ secrets }: Settings): Finding[] {
  const entries = Object.entries(secrets);
  return entries
    .filter(([, secret], i) => entries.findIndex(([, other]) => other === secret) < i)
    .map(([name]) => ({
      path: ['secrets', name],
      expected: 'a secret that differs from the others',
      found: 'the same secret twice',
    }));
}

/** Validates the text of a settings file and reports all problems at once. Problems never contain a secret. */
export function parseSettings(name: string, text: string): LoadedSettings {
  const parsed = parseFile({ name, text }, settingsSchema);
  if (parsed.kind === 'invalid') {
    const problems = parsed.problems.map((problem) => {
      const isSecret = problem.path.startsWith('secrets.');
      return formatProblem(isSecret ? { ...problem, found: 'another value' } : problem);
    });
    return { kind: 'invalid', problems };
  }
  const { value: settings, document } = parsed;
  const findings = [
    ...checkRoles(settings),
    ...checkAddresses(settings),
    ...checkDuplicates(settings),
    ...checkSecrets(settings),
  ];
  if (findings.length === 0) return { kind: 'valid', settings };
  const problems = findings.map(({ path, expected, found }) =>
    formatProblem({
      severity: 'error',
      file: name,
      ...document.positionOf(path),
      path: formatPath(path),
      expected,
      found,
    }),
  );
  return { kind: 'invalid', problems };
}

/** Reads and validates a settings file. Never rejects: an unreadable file is reported as a problem. */
export async function loadSettings(file: string): Promise<LoadedSettings> {
  try {
    return parseSettings(file, await readFile(file, 'utf8'));
  } catch (err) {
    const { code } = err as NodeJS.ErrnoException;
    const reason = code === 'ENOENT' ? 'does not exist' : `cannot be read (${code})`;
    return { kind: 'invalid', problems: [`${file}: ${reason}`] };
  }
}
