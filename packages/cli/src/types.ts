/** Types shared by the commands. */
import type { Outcome } from './exit-codes.js';

/** Where a command reads and writes. Tests replace it. */
export interface Io {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Writes a line of the result. */
  readonly print: (line: string) => void;
  /** Writes a line of progress, a warning or an error. */
  readonly note: (line: string) => void;
  /** How long to look for a leader that answers, in ms; 10 s if not given. */
  readonly retryMs?: number;
}

/** What a command answers; `json` is printed with `--json`, otherwise `lines`. */
export interface CommandResult {
  readonly outcome: Outcome;
  readonly json: Readonly<Record<string, unknown>>;
  readonly lines: readonly string[];
}
