/** Interface of the replicated state machine. */

/** Deterministic state machine fed by committed commands. */
export abstract class StateMachine {
  /** Applies one committed command and returns its result for the proposer. Must not throw. */
  public abstract apply(index: number, data: Uint8Array): Uint8Array;

  /** Serialises the whole state. */
  public abstract snapshot(): Uint8Array;

  /** Replaces the state with a snapshot. */
  public abstract restore(snapshot: Uint8Array): void;
}
