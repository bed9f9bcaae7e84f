/** What a request to a service in one data centre costs by the load there, in units of the value of an average answer. */
import { WAIT_COST } from '../TargetSelector.js';

/**
 * Slots among which a request finds a free one. Entries compare a sample of targets by state that is some tenths of a second old, so
 * that the slots of a data centre are not one queue. In the model of the choice (34 entries, 50 targets of 3 slots, 220 ms), requests
 * wait 0.20, 0.27, 0.45 durations at 0.6, 0.7, 0.8 of the room if entries are told after 100 ms, and 0.06, 0.10, 0.18 after 40 ms; by
 * this constant it is 0.10, 0.21, 0.45.
 */
const SHARED_SLOTS = 6;

/** Targets queue more, but a request that waits this many durations is mostly late. */
const MAX_WAIT_DURATIONS = 1;

/** What a data centre has for a service. */
export interface SiteRoom {
  readonly roomPerSecond: number;
  readonly slots: number;
}

/** Share of the room that is used. Infinity for demand without any room. */
export function utilisation(loadPerSecond: number, { roomPerSecond }: SiteRoom): number {
  if (loadPerSecond <= 0) return 0;
  return roomPerSecond > 0 ? loadPerSecond / roomPerSecond : Infinity;
}

/** Mean wait for a slot, in durations of a request, by Sakasegawa's approximation for several servers with one queue. */
export function waitDurations(loadPerSecond: number, site: SiteRoom): number {
  const used = utilisation(loadPerSecond, site);
  if (used >= 1) return MAX_WAIT_DURATIONS;
  const servers = Math.max(1, Math.min(SHARED_SLOTS, site.slots));
  const wait = used ** (Math.sqrt(2 * (servers + 1)) - 1) / (servers * (1 - used));
  return Math.min(MAX_WAIT_DURATIONS, wait);
}

/** Duration of a request by the room of a data centre, in ms. */
export function durationMsOf({ roomPerSecond, slots }: SiteRoom): number {
  return roomPerSecond > 0 ? (slots / roomPerSecond) * 1_000 : 0;
}

/**
 * Expected cost of one request at a load. Beyond the room, the share of the load that cannot be served is lost as a whole.
 * `durationMs` is the usual duration of the service, so that waits at slow targets count for more.
 */
export function loadCost(loadPerSecond: number, site: SiteRoom, durationMs: number): number {
  const used = utilisation(loadPerSecond, site);
  const pace = site.roomPerSecond > 0 ? durationMsOf(site) / durationMs : 1;
  const lostShare = used > 1 ? 1 - 1 / used : 0;
  return WAIT_COST * pace * waitDurations(loadPerSecond, site) + lostShare;
}
