/** What an entry has of what was committed, when it asks a control VM for the rest. */
export interface HeldState {
  readonly planVersion: number;
  /** Index in the log up to which it knows which targets leave. */
  readonly index: number;
}
