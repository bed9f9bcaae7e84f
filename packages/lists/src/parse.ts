/** Parses and checks the two TOML files of the operators. */
import type { z } from 'zod';
import { checkLists } from './checks.js';
import { formatPath, type Problem } from './problems.js';
import { schemaProblems } from './schema-problems.js';
import { type Lists, plansListSchema, teamsListSchema } from './schema.js';
import { type SourceFile, TomlDocument } from './TomlDocument.js';

export type ParsedLists =
  | { readonly kind: 'valid'; readonly lists: Lists; readonly warnings: readonly Problem[] }
  /** At least one problem is an error. */
  | { readonly kind: 'invalid'; readonly problems: readonly Problem[] };

export type ParsedFile<T> =
  | { readonly kind: 'valid'; readonly value: T; readonly document: TomlDocument }
  | { readonly kind: 'invalid'; readonly problems: readonly Problem[] };

/** Parses one TOML file, validates it against a schema and reports all problems at once. */
export function parseFile<T>(file: SourceFile, schema: z.ZodType<T>): ParsedFile<T> {
  const readResult = TomlDocument.read(file);
  if (readResult.kind === 'invalid') return readResult;
  const { document } = readResult;
  const result = schema.safeParse(document.value);
  if (result.success) return { kind: 'valid', value: result.data, document };
  return { kind: 'invalid', problems: schemaProblems(result.error.issues, document, schema) };
}

const byPosition = (a: Problem, b: Problem): number => a.line - b.line || a.column - b.column;

/**
 * Parses teams.toml and plans.toml. Problems of both files are reported together; the checks across the files run
 * only when each file satisfies its schema.
 */
export function parseLists(teamsFile: SourceFile, plansFile: SourceFile): ParsedLists {
  const teams = parseFile(teamsFile, teamsListSchema);
  const plans = parseFile(plansFile, plansListSchema);
  if (teams.kind === 'invalid' || plans.kind === 'invalid') {
    const problems = [teams, plans].flatMap((parsed) =>
      parsed.kind === 'invalid' ? parsed.problems : [],
    );
    return { kind: 'invalid', problems };
  }
  const lists: Lists = { ...teams.value, ...plans.value };
  const documents = { teams: teams.document, plans: plans.document };
  const problems = checkLists(lists).map(({ list, path, ...finding }): Problem => {
    const document = documents[list];
    const position = document.positionOf(path);
    return { ...finding, file: document.file, ...position, path: formatPath(path) };
  });
  const sorted = [documents.teams, documents.plans].flatMap(({ file }) =>
    problems.filter((problem) => problem.file === file).sort(byPosition),
  );
  const isInvalid = problems.some(({ severity }) => severity === 'error');
  return isInvalid
    ? { kind: 'invalid', problems: sorted }
    : { kind: 'valid', lists, warnings: sorted };
}
