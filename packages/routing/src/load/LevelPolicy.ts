/** Decides at a hub which requests to one service are admitted. Times are monotonic ms. */
import type { OfferedRate } from './ServiceLoadTable.js';
import type { UsedRoom } from './ServiceRoom.js';

/** Admitted shares, from 0 to 1. A request is admitted with the product of the shares of its rank and its team. */
export interface Level {
  /** Ranks that are not named are admitted. */
  readonly ranks: ReadonlyMap<number, number>;
  /** Teams that are not named have no share of their own. */
  readonly teams: ReadonlyMap<string, number>;
  /** Expected time until there is room for the requests that are not admitted. */
  readonly waitMs: number;
}

export interface LevelInput extends UsedRoom {
  readonly offered: readonly OfferedRate[];
}

export const OPEN_LEVEL: Level = { ranks: new Map(), teams: new Map(), waitMs: 0 };

export function isOpen({ ranks, teams }: Level): boolean {
  return [...ranks.values(), ...teams.values()].every((share) => share >= 1);
}

export abstract class LevelPolicy {
  /** Computes the level that is in force from now on. */
  public abstract update(input: LevelInput, now: number): Level;
}
