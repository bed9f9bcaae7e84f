/** Types shared by the commands. */
import type { Outcome } from './exit-codes.js';

/** Environment and output of a command line; tests pass their own. */
export interface Io {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Writes a line of the result to the standard output. */
  readonly writeStdout: (line: string) => void;
  /** Writes a line of progress, a warning or an error to the standard error. */
  readonly writeStderr: (line: string) => void;
  /** Time to keep looking for a leader that answers, in ms; 10 s if not given. */
  readonly retryMs?: number;
}

/** Result of a command; `json` is printed with `--json`, otherwise `lines`. */
export interface CommandResult {
  readonly outcome: Outcome;
  readonly json: Readonly<Record<string, unknown>>;
  readonly lines: readonly string[];
}
