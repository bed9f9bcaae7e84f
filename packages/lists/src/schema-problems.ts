/** Converts the issues of a zod schema to problems with file, line and column. */
import { z } from 'zod';
import { formatPath, type KeyPath, type Problem } from './problems.js';
import { suggest } from './suggestions.js';
import type { TomlDocument } from './TomlDocument.js';

type Issue = z.core.$ZodIssue;

const MAX_SHOWN_CHARS = 60;
const EXPECTED_PREFIX = /^expected /;

/** Formats a value of a file for a message; long texts are truncated. */
export function describeValue(value: unknown): string {
  if (value === undefined) return 'nothing';
  if (value instanceof Date) return 'a date';
  if (typeof value === 'number') return String(value);
  if (Array.isArray(value)) return value.length === 0 ? 'an empty array' : 'an array';
  if (typeof value === 'object') return 'a table';
  const text = JSON.stringify(value);
  return text.length <= MAX_SHOWN_CHARS ? text : `${text.slice(0, MAX_SHOWN_CHARS)}...`;
}

const isTable = (value: unknown): value is Record<string | number, unknown> =>
  typeof value === 'object' && value !== null;

/** The value at the path, or undefined. */
export function valueAt(root: unknown, path: KeyPath): unknown {
  return path.reduce<unknown>(
    (value, part) => (isTable(value) && Object.hasOwn(value, part) ? value[part] : undefined),
    root,
  );
}

function unwrap(schema: unknown): unknown {
  let inner = schema;
  while (inner instanceof z.ZodDefault || inner instanceof z.ZodOptional) inner = inner.unwrap();
  return inner;
}

function schemaAt(root: z.ZodType, path: KeyPath): unknown {
  return path.reduce<unknown>((schema, part) => {
    const inner = unwrap(schema);
    if (inner instanceof z.ZodObject) {
      return (inner.shape as Record<string, unknown>)[String(part)];
    }
    if (inner instanceof z.ZodRecord) return inner.valueType;
    return inner instanceof z.ZodArray ? inner.element : undefined;
  }, root);
}

/** Names of the fields that the schema allows at the path. */
export function fieldsAt(root: z.ZodType, path: KeyPath): string[] {
  const schema = unwrap(schemaAt(root, path));
  return schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
}

const withArticle = (type: string): string => (/^[aeiou]/.test(type) ? `an ${type}` : `a ${type}`);

const TYPE_NAMES: Record<string, string> = {
  int: 'a whole number',
  object: 'a table',
  record: 'a table',
};

const formatValues = (values: readonly unknown[]): string =>
  values.map((value) => JSON.stringify(value)).join(', ');

const UNITS: Record<string, string> = { string: ' characters', array: ' elements' };

function describeLimit(issue: z.core.$ZodIssueTooSmall | z.core.$ZodIssueTooBig): string {
  const isMinimum = issue.code === 'too_small';
  const limit = isMinimum ? issue.minimum : issue.maximum;
  const strict = isMinimum ? 'more than' : 'less than';
  const inclusive = isMinimum ? 'at least' : 'at most';
  const relation = issue.inclusive === false ? strict : inclusive;
  return `${relation} ${limit}${UNITS[issue.origin] ?? ''}`;
}

function describeExpected(issue: Issue): string {
  switch (issue.code) {
    case 'invalid_type':
      return TYPE_NAMES[issue.expected] ?? withArticle(issue.expected);
    case 'invalid_value':
      return issue.values.length === 1
        ? formatValues(issue.values)
        : `one of ${formatValues(issue.values)}`;
    case 'too_small':
    case 'too_big':
      return issue.message.startsWith('expected ')
        ? issue.message.replace(EXPECTED_PREFIX, '')
        : describeLimit(issue);
    case 'invalid_key':
      return (issue.issues[0]?.message ?? 'a valid name').replace(EXPECTED_PREFIX, '');
    default:
      return issue.message.replace(EXPECTED_PREFIX, '');
  }
}

function toProblems(issue: Issue, document: TomlDocument, schema: z.ZodType): Problem[] {
  const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
  const { file } = document;
  if (issue.code === 'unrecognized_keys') {
    const fields = fieldsAt(schema, path);
    return issue.keys.map((key) => ({
      severity: 'error',
      file,
      ...document.positionOf([...path, key]),
      path: formatPath([...path, key]),
      expected: fields.length === 0 ? 'no such field' : `one of the fields ${fields.join(', ')}`,
      found: `the unknown field ${JSON.stringify(key)}`,
      hint: suggest(key, fields),
    }));
  }
  const isKey = issue.code === 'invalid_key';
  const value = valueAt(document.value, path);
  const found = isKey ? JSON.stringify(path.at(-1)) : describeValue(value);
  const problem: Problem = {
    severity: 'error',
    file,
    ...document.positionOf(path),
    path: formatPath(path),
    expected: describeExpected(issue),
    found,
  };
  const valueSchema = schemaAt(schema, path);
  if (!isKey || !(valueSchema instanceof z.ZodType)) return [problem];
  // zod does not validate the value under an invalid key.
  const issuesBelow = valueSchema.safeParse(value).error?.issues ?? [];
  const problemsBelow = issuesBelow.flatMap((below) =>
    toProblems({ ...below, path: [...path, ...below.path] }, document, schema),
  );
  return [problem, ...problemsBelow];
}

/** Converts the issues to problems in the order of their positions in the file. */
export function schemaProblems(
  issues: readonly Issue[],
  document: TomlDocument,
  schema: z.ZodType,
): Problem[] {
  return issues
    .flatMap((issue) => toProblems(issue, document, schema))
    .sort((a, b) => a.line - b.line || a.column - b.column);
}
