/** Settings of the command line. */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { parseFile } from '@marigoldbank/lists/parse';
import { formatProblem } from '@marigoldbank/lists/problems';
import { z } from 'zod';
import { CommandError } from './CommandError.js';
import type { Io } from './types.js';

export const DEFAULT_SETTINGS_FILE = './marigoldbank.toml';
export const SETTINGS_VARIABLE = 'MARIGOLDBANK_SETTINGS';

const addressSchema = z
  .string()
  .regex(/^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'expected ip:port');

export const cliSettingsSchema = z.strictObject({
  control: z.array(addressSchema).min(1).describe('Internal addresses of the control VMs'),
  operator: z
    .string()
    .min(1)
    .max(100)
    .describe('Your name, written to the audit trail with each change'),
  secret: z.string().min(16).optional().describe('Operator secret, as in the daemons’ settings'),
  secretFile: z
    .string()
    .min(1)
    .optional()
    .describe('File that holds the operator secret, relative to the settings file'),
});

/** Settings in which a secret file is replaced by its content. */
export interface CliSettings {
  readonly control: readonly string[];
  readonly operator: string;
  readonly secret: string;
}

/**
 * Reads a text file named by the operator. Throws a `usage` failure if it cannot be read.
 * @param description kind of the file, for the message
 */
export function readTextFile(file: string, description: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    const { code } = err as NodeJS.ErrnoException;
    const reason = code === 'ENOENT' ? 'does not exist' : `cannot be read (${code})`;
    throw new CommandError({ kind: 'usage', message: `${description} ${file} ${reason}` });
  }
}

/** Reads the settings file given by the argument, the environment or the default. */
export function loadCliSettings(argument: string | undefined, io: Io): CliSettings {
  const file = argument ?? io.env[SETTINGS_VARIABLE] ?? DEFAULT_SETTINGS_FILE;
  const text = readTextFile(file, 'settings file');
  const parsed = parseFile({ name: file, text }, cliSettingsSchema);
  if (parsed.kind === 'invalid') {
    throw new CommandError({
      kind: 'usage',
      message: `the settings file ${file} has errors`,
      details: parsed.problems.map(formatProblem),
    });
  }
  const { control, operator, secret, secretFile } = parsed.value;
  if ((secret === undefined) === (secretFile === undefined)) {
    throw new CommandError({
      kind: 'usage',
      message: `${file}: expected either secret or secretFile`,
    });
  }
  if (secretFile === undefined) return { control, operator, secret: secret ?? '' };
  const secretPath = path.resolve(path.dirname(file), secretFile);
  return { control, operator, secret: readTextFile(secretPath, 'secret file').trim() };
}
