/** Selects the hub that an entry follows next. */
import { maxEntriesOf } from '../sync/hub-share.js';
import type { HubCandidate } from '../sync/HubCandidate.js';

/** A hub is not selected for this long after a failure, unless all hubs have failed. */
const FAILURE_BACKOFF_MS = 3_000;

/**
 * Time for which an entry that has just started tries only one random seed. After a restart of all VMs the control VMs
 * come up within some tenths of a second of each other, and the first one could not serve all entries at once.
 */
const INITIAL_SEED_MS = 800;

/**
 * A hub that is no longer announced is remembered for this long. One that is cut off announces only hubs that are cut off
 * as well.
 */
const REMEMBERED_MS = 30_000;

/** Why another hub is better: it is in the data centre of the entry, or the current one has too many entries. */
export type BetterHubReason = 'far' | 'crowded';

interface RememberedHub {
  readonly hub: HubCandidate;
  readonly since: number;
}

function unannouncedSeed(address: string): HubCandidate {
  return { address, dataCentre: '', entries: 0, isSilent: false, isLate: false };
}

export class HubSelector {
  private readonly failedAt = new Map<string, number>();

  private hubs: readonly HubCandidate[];

  /** Hubs that are no longer announced, with the time (monotonic ms) since when. */
  private remembered: readonly RememberedHub[] = [];

  private readonly initialSeed: { readonly address: string | undefined; readonly until: number };

  private hasHubList = false;

  /** The hub that a control VM has named for this entry, until it is selected. */
  private assigned: string | undefined;

  /** `fraction` is a random number in [0, 1) that picks the initial seed. */
  public constructor(
    private readonly dataCentre: string,
    seeds: readonly string[],
    now: number,
    fraction: number,
  ) {
    this.hubs = seeds.map(unannouncedSeed);
    const address = seeds[Math.floor(fraction * seeds.length)];
    this.initialSeed = { address, until: now + INITIAL_SEED_MS };
  }

  /** Sets the hubs that the current hub announced, and keeps the seeds that are not among them. */
  public setHubs(announced: readonly HubCandidate[], seeds: readonly string[], now: number): void {
    this.hasHubList = true;
    const addresses = new Set(announced.map(({ address }) => address));
    const dropped = this.hubs
      .filter(({ address, dataCentre }) => dataCentre !== '' && !addresses.has(address))
      .map((hub) => ({ hub, since: now }));
    this.remembered = [...this.remembered, ...dropped].filter(
      ({ hub, since }) => !addresses.has(hub.address) && now - since < REMEMBERED_MS,
    );
    const otherSeeds = seeds.filter((address) => !addresses.has(address));
    this.hubs = [...announced, ...otherSeeds.map(unannouncedSeed)];
  }

  /** Sets the hubs as a control VM lists them, of which this entry is to follow the first one. */
  public assign(listed: readonly HubCandidate[], seeds: readonly string[], now: number): void {
    this.setHubs(listed, seeds, now);
    this.assigned = listed[0]?.address;
  }

  public recordFailure(address: string, now: number): void {
    this.failedAt.set(address, now);
  }

  /** Records that the current hub is cut off from a majority of the voters, and so are the hubs that it hears. */
  public recordCutOff(address: string, now: number): void {
    this.hubs
      .filter((hub) => hub.address === address || (hub.dataCentre !== '' && !hub.isSilent))
      .forEach((hub) => this.recordFailure(hub.address, now));
  }

  /**
   * Returns a random hub that has room, from the own data centre if possible. Hubs that the current one does not hear
   * come next, then remembered ones. If all have failed recently, returns the one whose last failure is the oldest, or
   * undefined for an entry that still follows the hub `current`, which is never returned.
   */
  public next(now: number, fraction: number, current?: string): string | undefined {
    const { assigned } = this;
    this.assigned = undefined;
    const isAssignable = assigned !== undefined && assigned !== current;
    if (isAssignable && now - (this.failedAt.get(assigned) ?? -Infinity) > FAILURE_BACKOFF_MS) {
      return assigned;
    }
    if (!this.hasHubList && now < this.initialSeed.until) return this.initialSeed.address;
    const usable = this.hubs.filter((hub) => hub.address !== current && !this.hasFailed(hub, now));
    const heard = usable.filter(({ isSilent }) => !isSilent);
    const onTime = heard.filter(({ isLate }) => !isLate);
    const remembered = this.remembered.map(({ hub }) => hub);
    const pool = [
      onTime.filter((hub) => this.isLocal(hub) && this.hasRoom(hub)),
      onTime.filter((hub) => this.hasRoom(hub)),
      onTime.filter((hub) => this.isLocal(hub)),
      onTime,
      heard,
      usable,
      remembered.filter((hub) => !this.hasFailed(hub, now)),
    ].find((hubs) => hubs.length > 0);
    if (pool !== undefined) return pool[Math.floor(fraction * pool.length)]?.address;
    if (current !== undefined) return undefined;
    const byFailure = [...this.hubs, ...remembered].sort(
      (a, b) => this.failureOf(a) - this.failureOf(b),
    );
    return byFailure[0]?.address;
  }

  /** Addresses of all hubs that have been announced. */
  public get addresses(): string[] {
    return this.hubs.filter(({ dataCentre }) => dataCentre !== '').map(({ address }) => address);
  }

  /** The same with those that were announced until a short time ago. A hub that is cut off announces only some. */
  public get knownAddresses(): string[] {
    return [...this.addresses, ...this.remembered.map(({ hub }) => hub.address)];
  }

  /** Returns why an entry that follows this hub should change to another one that has room, or undefined. */
  public reasonForBetterHub(address: string, now: number): BetterHubReason | undefined {
    const current = this.hubs.find((hub) => hub.address === address);
    const others = this.othersWithRoom(address, now);
    const isFar = current === undefined || !this.isLocal(current);
    if (isFar && others.some((hub) => this.isLocal(hub))) return 'far';
    const isCrowded = current !== undefined && current.entries > this.maxEntries() + 1;
    return isCrowded && others.length > 0 ? 'crowded' : undefined;
  }

  /** Whether an entry that follows this hub could follow another one that is not late and has room. */
  public hasAlternative(address: string, now: number): boolean {
    return this.othersWithRoom(address, now).length > 0;
  }

  private othersWithRoom(address: string, now: number): HubCandidate[] {
    return this.hubs.filter(
      (hub) =>
        hub.address !== address &&
        !hub.isSilent &&
        !hub.isLate &&
        !this.hasFailed(hub, now) &&
        this.hasRoom(hub),
    );
  }

  private maxEntries(): number {
    return maxEntriesOf(this.hubs.filter(({ dataCentre }) => dataCentre !== ''));
  }

  /** A seed that no hub has announced may be down, so it counts as full. */
  private hasRoom({ dataCentre, entries }: HubCandidate): boolean {
    return dataCentre !== '' && entries < this.maxEntries();
  }

  private isLocal({ dataCentre }: HubCandidate): boolean {
    return dataCentre === this.dataCentre;
  }

  private hasFailed(hub: HubCandidate, now: number): boolean {
    return now - this.failureOf(hub) <= FAILURE_BACKOFF_MS;
  }

  private failureOf({ address }: HubCandidate): number {
    return this.failedAt.get(address) ?? -Infinity;
  }
}
