/** The member stopped: it was closed, or its storage or state machine failed. */
export class StoppedError extends Error {
  public readonly kind = 'stopped';

  public constructor(cause?: unknown) {
    super('the replicated log is stopped', { cause });
    this.name = 'StoppedError';
  }
}
