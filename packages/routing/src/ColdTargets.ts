/**
 * Which targets are cold, as known to one entry. A target says in its announcements how long it is still cold. After a
 * failed connection, a timeout or the end of an evacuation it is assumed to be, until an announcement that is newer says
 * otherwise, at most for the longest time for which targets of its service are cold.
 */
import type { Service } from './plan.js';

/** What an announcement says about the coldness of a target. Times are monotonic ms of this entry. */
export interface ColdAnnouncement {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Start of the incarnation, 0 if unknown. */
  readonly born: number;
  /** Number of the announcement within the incarnation. */
  readonly seq: number;
  /** Time for which the target is still cold, less the age of the announcement. */
  readonly coldMs: number;
  /**
   * Time at which a control VM received the announcement at the earliest. Messages are delayed on the way, so that it may
   * be much earlier than the arrival here. -Infinity if nothing is known.
   */
  readonly receivedAfter: number;
}

interface BoundedService {
  readonly coldMs: number;
  readonly perSecond: number;
}

interface KnownTarget {
  readonly announcement: ColdAnnouncement;
  /** Announced end of the cold time. -Infinity if the target has not been cold. */
  readonly coldUntil: number;
}

/** Time before the first event. */
const NEVER = -Infinity;

function isSameAnnouncement(a: ColdAnnouncement, b: ColdAnnouncement): boolean {
  return a.born === b.born && a.seq === b.seq;
}

function isOlder(next: ColdAnnouncement, known: ColdAnnouncement): boolean {
  return next.born === known.born ? next.seq < known.seq : next.born < known.born;
}

export class ColdTargets {
  /** Services that bound the requests to their cold targets. */
  private services: ReadonlyMap<string, BoundedService> = new Map();

  private readonly targets = new Map<string, KnownTarget>();

  /** Targets that may be cold. Nearly all others are found not to be by one lookup, for each target and request. */
  private readonly possiblyCold = new Set<string>();

  /** Time of the last failed connection or timeout, by target. */
  private readonly failedAt = new Map<string, number>();

  /** Time from which all targets of a data centre are assumed to be cold. */
  private readonly dataCentres = new Map<string, number>();

  public setServices(services: readonly Service[]): void {
    this.services = new Map(
      services.flatMap(({ name, coldMs = 0, coldPerSecond }) =>
        coldPerSecond === undefined ? [] : [[name, { coldMs, perSecond: coldPerSecond }] as const],
      ),
    );
  }

  /** Notes an announcement that arrived at `now`. An older one than the last, from a hub that lags behind, is ignored. */
  public announce(next: ColdAnnouncement, now: number): void {
    const known = this.targets.get(next.id);
    if (next.coldMs > 0 || this.dataCentres.has(next.dataCentre)) this.possiblyCold.add(next.id);
    const coldUntil = next.coldMs > 0 ? now + next.coldMs : NEVER;
    if (known === undefined || known.announcement.service !== next.service) {
      this.targets.set(next.id, { announcement: next, coldUntil });
      return;
    }
    if (isOlder(next, known.announcement)) return;
    // A delay on the way makes the end appear later, so of the same announcement the earlier one is right.
    const isRepeated = isSameAnnouncement(next, known.announcement);
    const receivedAfter = isRepeated
      ? Math.max(known.announcement.receivedAfter, next.receivedAfter)
      : next.receivedAfter;
    this.targets.set(next.id, {
      announcement: { ...next, receivedAfter },
      coldUntil:
        isRepeated || next.coldMs === 0 ? Math.min(known.coldUntil, now + next.coldMs) : coldUntil,
    });
  }

  /** Notes that a connection to a target failed, or that it did not respond in time. */
  public recordFailure(id: string, now: number): void {
    if (!this.targets.has(id)) return;
    this.failedAt.set(id, now);
    this.possiblyCold.add(id);
  }

  /** Assumes from `at` on that all targets of a data centre are cold. */
  public assumeCold(dataCentre: string, at: number): void {
    this.dataCentres.set(dataCentre, at);
    [...this.targets.values()]
      .filter(({ announcement }) => announcement.dataCentre === dataCentre)
      .forEach(({ announcement }) => this.possiblyCold.add(announcement.id));
  }

  /** Requests a second that the target tolerates from all entries now, undefined if it is not cold or has no bound. */
  public limitOf(id: string, now: number): number | undefined {
    if (this.services.size === 0 || !this.possiblyCold.has(id)) return undefined;
    const known = this.targets.get(id);
    const service = known && this.services.get(known.announcement.service);
    if (known === undefined || service === undefined) return undefined;
    const until = Math.max(known.coldUntil, this.assumedUntil(known, service.coldMs));
    if (now < until) return service.perSecond;
    this.possiblyCold.delete(id);
    return undefined;
  }

  /** Whether any target may be cold and have a bound. */
  public get mayHaveCold(): boolean {
    return this.services.size > 0 && this.possiblyCold.size > 0;
  }

  public remove(id: string): void {
    this.targets.delete(id);
    this.possiblyCold.delete(id);
    this.failedAt.delete(id);
  }

  /** Time until which the target is assumed to be cold, whatever it announced before. */
  private assumedUntil({ announcement }: KnownTarget, coldMs: number): number {
    const failedAt = this.failedAt.get(announcement.id) ?? NEVER;
    const assumedAt = Math.max(failedAt, this.dataCentres.get(announcement.dataCentre) ?? NEVER);
    return announcement.receivedAfter > assumedAt ? NEVER : assumedAt + coldMs;
  }
}
