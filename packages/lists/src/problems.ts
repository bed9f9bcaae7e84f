/** Problems found in a TOML file and their positions. */

/** Keys and array indexes from the top of a document to a value. */
export type KeyPath = readonly (string | number)[];

/** - `error`: the file is rejected. - `warning`: the file is accepted, but probably not what was meant. */
export type Severity = 'error' | 'warning';

export interface Problem {
  readonly severity: Severity;
  readonly file: string;
  /** First line is 1. */
  readonly line: number;
  /** First column is 1. */
  readonly column: number;
  /** Dotted path of the key, empty for the whole file. */
  readonly path: string;
  readonly expected: string;
  readonly found: string;
  /** How to correct the value, such as a similar known name. */
  readonly hint?: string;
}

const BARE_KEY = /^[A-Za-z0-9_-]+$/;

/** Formats a path as TOML does: `teams.barid.keys[0]`. */
export function formatPath(path: KeyPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === 'number') return `${text}[${part}]`;
    const key = BARE_KEY.test(part) ? part : JSON.stringify(part);
    return text === '' ? key : `${text}.${key}`;
  }, '');
}

/** Formats a problem as one line: `file:line:column: path: expected ..., found ... (hint)`. */
export function formatProblem(problem: Problem): string {
  const { severity, file, line, column, path, expected, found, hint } = problem;
  const subject = path === '' ? '' : `${path}: `;
  const label = severity === 'warning' ? 'warning: ' : '';
  const help = hint === undefined ? '' : ` (${hint})`;
  return `${file}:${line}:${column}: ${label}${subject}expected ${expected}, found ${found}${help}`;
}
