/** Error that ends a command with an outcome and a message. */
import type { Outcome } from './exit-codes.js';

/** Outcome and message of a failed command, printed without a stack trace. */
export interface Failure {
  readonly kind: Outcome;
  readonly message: string;
  /** Lines printed before the message, such as one for each problem of a file. */
  readonly details?: readonly string[];
}

export class CommandError extends Error {
  public constructor(public readonly failure: Failure) {
    super(failure.message);
    this.name = 'CommandError';
  }
}
