/** Where the entries of the simulation send requests, and which they send again. */
import type { Random } from '@marigoldbank/base/random';

export interface SimSend {
  readonly entry: number;
  readonly target: number;
  readonly isRetry: boolean;
}

export abstract class SimRouting {
  /** The entry that a caller uses. */
  public abstract pickEntry(): number;

  /** Targets among which an entry chooses for one request. */
  public abstract targetsOf(entry: number, random: Random): readonly number[];

  public abstract mayRetry(entry: number, rank: number, now: number): boolean;

  /** Notes a request that a caller has sent to an entry. */
  public abstract noteOffered(entry: number, now: number): void;

  public abstract noteSend(send: SimSend, now: number): void;

  public loseHub?(): void;
}
