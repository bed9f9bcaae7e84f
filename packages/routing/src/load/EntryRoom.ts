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
  /** Requests of this entry in flight. */
  readonly own: number;
  /** Requests that this entry may have in flight: its share of the slots, and more while others leave slots free. */
  readonly most: number;
}

/** Estimates the room of a service. `expectedMs` is the expected duration of a request at a target of usual pace. */
export function estimateRoom(
  targets: readonly TargetState[],
  expectedMs: number,
  entries: number,
  now: number,
  paces: ITargetPaces,
): EntryRoom {
  const total = { perMs: 0, slots: 0, own: 0, excess: 0, free: 0 };
  targets.forEach((target) => {
    const { ownInFlight, othersInFlight } = target;
    const slots = usableSlots(target, paces, now);
    total.perMs += slots / (expectedMs * slowdownOf(target, paces, now));
    total.slots += slots;
    total.own += ownInFlight;
    total.excess += Math.max(0, ownInFlight + othersInFlight - slots);
    total.free += Math.max(0, slots - ownInFlight - othersInFlight);
  });
  const { perMs, slots, own, excess, free } = total;
  return {
    waitMs: perMs === 0 ? 0 : excess / perMs,
    perMs: perMs / Math.max(1, entries),
    own,
    most: Math.max(1, Math.ceil((slots + FREE_SLOTS_FACTOR * free) / Math.max(1, entries))),
  };
}
