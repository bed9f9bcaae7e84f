/** Decides at the entries of the simulation which requests are admitted. */
import type { EndedAttempt } from '../OwnLevel.js';
import type { LevelRequest } from '../ServiceLevels.js';

export const SERVICE = 'booking-app';

export abstract class SimAdmission {
  /** Returns undefined if the request is admitted, or the expected wait in ms. */
  public abstract decide(entry: number, request: LevelRequest, now: number): number | undefined;

  /** Notes an attempt, and returns whether it was rejected for lack of room. */
  public noteEnded?(entry: number, attempt: EndedAttempt, now: number): boolean;

  /** Notes a request that all targets rejected for other reasons than load. */
  public noteUnplaced?(entry: number): void;

  public loseHub?(): void;
}
