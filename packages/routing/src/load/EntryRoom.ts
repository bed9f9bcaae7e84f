/** What one entry may count on at the targets of a service. */
import { slowdownOf, usableSlots } from '../TargetSelector.js';
import type { TargetState } from '../TargetTable.js';
import type { ITargetPaces } from './TargetPaces.js';

/**
 * Free slots are divided among the entries by this multiple of the even share: most entries use less than theirs. What
 * others report of free slots is some tenths of a second old and known to all entries, which took each slot several times.
 */
const FREE_SLOTS_FACTOR = 2;

export interface EntryRoom {
  /** Expected time until the requests beyond the slots of all targets have got one, in ms. */
  readonly waitMs: number;
  /** Requests a millisecond that the entry may start: its even share of what the targets complete. 0 without targets. */
  readonly perMs: number;
  /** Requests that the entry may have in flight: its share of the slots, and more while others leave slots free. */
  readonly most: number;
}

/** Slots of all targets of a service. */
export interface SlotTotals {
  readonly slots: number;
  /** Requests that the targets complete within the usual duration of one. */
  readonly perDuration: number;
  /** Slots that no request uses. */
  readonly free: number;
  /** Requests beyond the slots of their targets. */
  readonly excess: number;
}

export function measureSlots(
  targets: readonly TargetState[],
  now: number,
  paces: ITargetPaces,
): SlotTotals {
  const total = { slots: 0, perDuration: 0, free: 0, excess: 0 };
  targets.forEach((target) => {
    const slots = usableSlots(target, paces, now);
    const unused = slots - target.ownInFlight - target.othersInFlight;
    total.slots += slots;
    total.perDuration += slots / slowdownOf(target, paces, now);
    total.free += Math.max(0, unused);
    total.excess += Math.max(0, -unused);
  });
  return total;
}

/** Estimates the room of a service for one of so many entries. `expectedMs` is the usual duration of a request. */
export function estimateRoom(
  { slots, perDuration, free, excess }: SlotTotals,
  expectedMs: number,
  entries: number,
): EntryRoom {
  return {
    waitMs: perDuration === 0 ? 0 : (excess / perDuration) * expectedMs,
    perMs: perDuration / expectedMs / entries,
    most: Math.max(1, Math.ceil((slots + FREE_SLOTS_FACTOR * free) / entries)),
  };
}
