/** Selects the hub that an entry follows next. */

/** A hub is not selected for this long after a failure, unless all hubs have failed. */
const FAILURE_BACKOFF_MS = 3_000;

/**
 * Time for which an entry that has just started tries only one random seed. After a restart of all VMs the control VMs
 * come up within some tenths of a second of each other, and the first one could not serve all entries at once.
 */
const INITIAL_SEED_MS = 800;

export interface HubCandidate {
  readonly address: string;
  /** Empty if unknown. */
  readonly dataCentre: string;
}

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
    this.hubs = seeds.map((address) => ({ address, dataCentre: '' }));
    const address = seeds[Math.floor(fraction * seeds.length)];
    this.initialSeed = { address, until: now + INITIAL_SEED_MS };
  }

  /** Sets the hubs that the current hub announced, and keeps the seeds that are not among them. */
  public setHubs(announced: readonly HubCandidate[], seeds: readonly string[]): void {
    this.hasHubList = true;
    const announcedAddresses = new Set(announced.map(({ address }) => address));
    const otherSeeds = seeds.filter((address) => !announcedAddresses.has(address));
    this.hubs = [...announced, ...otherSeeds.map((address) => ({ address, dataCentre: '' }))];
  }

  public recordFailure(address: string, now: number): void {
    this.failedAt.set(address, now);
  }

  /**
   * Returns a random hub, from the own data centre if possible. If all have failed recently, returns the one whose last
   * failure is the oldest.
   */
  public next(now: number, fraction: number): string | undefined {
    if (!this.hasHubList && now < this.initialSeed.until) return this.initialSeed.address;
    const failureOf = ({ address }: HubCandidate): number =>
      this.failedAt.get(address) ?? -Infinity;
    const usable = this.hubs.filter((hub) => now - failureOf(hub) > FAILURE_BACKOFF_MS);
    const local = usable.filter(({ dataCentre }) => dataCentre === this.dataCentre);
    const pool = local.length > 0 ? local : usable;
    if (pool.length > 0) return pool[Math.floor(fraction * pool.length)]?.address;
    return [...this.hubs].sort((a, b) => failureOf(a) - failureOf(b))[0]?.address;
  }

  /** Whether the hub is in another data centre and one in the own data centre is available. */
  public hasCloserHub(address: string, now: number): boolean {
    const current = this.hubs.find((hub) => hub.address === address);
    if (current?.dataCentre === this.dataCentre) return false;
    return this.hubs.some(
      (hub) =>
        hub.dataCentre === this.dataCentre &&
        now - (this.failedAt.get(hub.address) ?? -Infinity) > FAILURE_BACKOFF_MS,
    );
  }
}
