/** A command that ends early. */
import type { Outcome } from './exit-codes.js';

/** Why a command ended; shown without a stack trace. */
export interface Failure {
  readonly kind: Outcome;
  readonly message: string;
  /** Further lines, such as one for each problem of a file. */
  readonly details?: readonly string[];
}

export class CommandError extends Error {
  public constructor(public readonly failure: Failure) {
    super(failure.message);
    this.name = 'CommandError';
  }
}
