/** The operator's copies of the two lists, and the revision they are based on. */
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { parseLists } from '@marigoldbank/lists/parse';
import { formatProblem } from '@marigoldbank/lists/problems';
import type { Lists } from '@marigoldbank/lists/schema';
import { z } from 'zod';
import { readTextFile } from './cli-settings.js';
import { CommandError } from './CommandError.js';

/** In the folder of the list of the teams; holds the lists revision that the files are based on. */
const BASE_FILE = '.marigoldbank-base.json';

const baseSchema = z.object({ listsRevision: z.number().int() });

export interface ListFiles {
  readonly teams: string;
  readonly plans: string;
}

export interface LoadedLists {
  readonly lists: Lists;
  /** One line for each warning. */
  readonly warnings: readonly string[];
}

/** Reads and checks both files. Throws an `invalid` failure with one line for each problem. */
export function loadLists({ teams, plans }: ListFiles): LoadedLists {
  const parsed = parseLists(
    { name: teams, text: readTextFile(teams, 'list of the teams') },
    { name: plans, text: readTextFile(plans, 'list of the plans') },
  );
  if (parsed.kind === 'valid') {
    return { lists: parsed.lists, warnings: parsed.warnings.map(formatProblem) };
  }
  const errorCount = parsed.problems.filter(({ severity }) => severity === 'error').length;
  throw new CommandError({
    kind: 'invalid',
    message: `the lists have ${errorCount} ${errorCount === 1 ? 'error' : 'errors'}`,
    details: parsed.problems.map(formatProblem),
  });
}

function baseFileOf({ teams }: ListFiles): string {
  return path.join(path.dirname(teams), BASE_FILE);
}

/** The lists revision that the files are based on, if known. */
export function readBaseRevision(files: ListFiles): number | undefined {
  const file = baseFileOf(files);
  if (!existsSync(file)) return undefined;
  try {
    return baseSchema.parse(JSON.parse(readFileSync(file, 'utf8'))).listsRevision;
  } catch {
    const message = `${file} is damaged; run pull again or give --base`;
    throw new CommandError({ kind: 'usage', message });
  }
}

export function writeBaseRevision(files: ListFiles, listsRevision: number): string {
  const file = baseFileOf(files);
  writeFileSync(file, `${JSON.stringify({ listsRevision })}\n`);
  return file;
}
