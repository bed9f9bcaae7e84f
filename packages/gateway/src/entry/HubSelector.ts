/** Selects the hub that an entry follows next. */

/** A hub is not selected for this long after a failure, unless all hubs have failed. */
const FAILURE_BACKOFF_MS = 3_000;

/**
 * Time for which an entry that has just started tries only one random seed. After a restart of all VMs the control VMs
 * come up within some tenths of a second of each other, and the first one could not serve all entries at once.
 */
const INITIAL_SEED_MS = 800;

/** A hub has room for further entries while it has fewer than this multiple of the mean of all hubs. */
const MAX_LOAD = 1.25;

export interface HubCandidate {
  readonly address: string;
  /** Empty if unknown. */
  readonly dataCentre: string;
  /** Number of entries that follow the hub. */
  readonly entries: number;
}

/** Why another hub is better: it is in the data centre of the entry, or the current one has too many entries. */
export type BetterHubReason = 'far' | 'crowded';

export class HubSelector {
  private readonly failedAt = new Map<string, number>();

  private hubs: readonly HubCandidate[];

  private readonly initialSeed: { readonly address: string | undefined; readonly until: number };

  private hasHubList = false;

  /** `fraction` is a random number in [0, 1) that picks the initial seed. */
  public constructor(
    private readonly dataCentre: string,
    seeds: readonly string[],
    now: number,
    fraction: number,
  ) {
    this.hubs = seeds.map((address) => ({ address, dataCentre: '', entries: 0 }));
    const address = seeds[Math.floor(fraction * seeds.length)];
    this.initialSeed = { address, until: now + INITIAL_SEED_MS };
  }

  /** Sets the hubs that the current hub announced, and keeps the seeds that are not among them. */
  public setHubs(announced: readonly HubCandidate[], seeds: readonly string[]): void {
    this.hasHubList = true;
    const announcedAddresses = new Set(announced.map(({ address }) => address));
    const otherSeeds = seeds.filter((address) => !announcedAddresses.has(address));
    this.hubs = [
      ...announced,
      ...otherSeeds.map((address) => ({ address, dataCentre: '', entries: 0 })),
    ];
  }

  public recordFailure(address: string, now: number): void {
    this.failedAt.set(address, now);
  }

  /**
   * Returns a random hub that has room, from the own data centre if possible. If all have failed recently, returns the
   * one whose last failure is the oldest.
   */
  public next(now: number, fraction: number): string | undefined {
    if (!this.hasHubList && now < this.initialSeed.until) return this.initialSeed.address;
    const usable = this.hubs.filter((hub) => !this.hasFailed(hub, now));
    const local = usable.filter((hub) => this.isLocal(hub));
    const pool = [
      local.filter((hub) => this.hasRoom(hub)),
      usable.filter((hub) => this.hasRoom(hub)),
      local,
      usable,
    ].find((hubs) => hubs.length > 0);
    if (pool !== undefined) return pool[Math.floor(fraction * pool.length)]?.address;
    return [...this.hubs].sort((a, b) => this.failureOf(a) - this.failureOf(b))[0]?.address;
  }

  /** Returns why an entry that follows this hub should change to another one that has room, or undefined. */
  public reasonForBetterHub(address: string, now: number): BetterHubReason | undefined {
    const current = this.hubs.find((hub) => hub.address === address);
    const others = this.hubs.filter(
      (hub) => hub.address !== address && !this.hasFailed(hub, now) && this.hasRoom(hub),
    );
    const isFar = current === undefined || !this.isLocal(current);
    if (isFar && others.some((hub) => this.isLocal(hub))) return 'far';
    const isCrowded = current !== undefined && current.entries > this.maxEntries() + 1;
    return isCrowded && others.length > 0 ? 'crowded' : undefined;
  }

  private maxEntries(): number {
    const announced = this.hubs.filter(({ dataCentre }) => dataCentre !== '');
    const total = announced.reduce((sum, { entries }) => sum + entries, 0);
    return Math.ceil((MAX_LOAD * (total + 1)) / Math.max(1, announced.length));
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
