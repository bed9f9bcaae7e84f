/** Ends the stream of an entry for which this hub has no time, and another one has. */
export class StreamRefusedError extends Error {
  public override readonly name = 'StreamRefusedError';
}
