/** Which hub an entry follows next. */

/** A hub that failed is left out for this long, unless all have failed. */
const FAILED_MS = 3_000;

/**
 * An entry that has just started tries one seed for this long. After a stop of all VMs the control VMs come up within
 * some tenths of a second of each other, and the first one could not bear all entries at once.
 */
const FIRST_CHOICE_MS = 800;

export interface HubCandidate {
  readonly address: string;
  /** Empty while unknown. */
  readonly dataCentre: string;
}

export class HubChoice {
  private readonly failedAt = new Map<string, number>();

  private hubs: readonly HubCandidate[];

  private readonly first: { readonly address: string | undefined; readonly until: number };

  private hasLearned = false;

  /** `point` in [0, 1) picks the seed that is tried first. */
  public constructor(
    private readonly dataCentre: string,
    seeds: readonly string[],
    now: number,
    point: number,
  ) {
    this.hubs = seeds.map((address) => ({ address, dataCentre: '' }));
    const address = seeds[Math.floor(point * seeds.length)];
    this.first = { address, until: now + FIRST_CHOICE_MS };
  }

  /** Learns the hubs that are heard, and keeps seeds that are not among them. */
  public learn(heard: readonly HubCandidate[], seeds: readonly string[]): void {
    this.hasLearned = true;
    const known = new Set(heard.map(({ address }) => address));
    const others = seeds.filter((address) => !known.has(address));
    this.hubs = [...heard, ...others.map((address) => ({ address, dataCentre: '' }))];
  }

  public noteFailure(address: string, now: number): void {
    this.failedAt.set(address, now);
  }

  /** A hub of the own data centre before others; if all failed lately, the one whose failure is the oldest. */
  public next(now: number, point: number): string | undefined {
    if (!this.hasLearned && now < this.first.until) return this.first.address;
    const failureOf = ({ address }: HubCandidate): number =>
      this.failedAt.get(address) ?? -Infinity;
    const usable = this.hubs.filter((hub) => now - failureOf(hub) > FAILED_MS);
    const near = usable.filter(({ dataCentre }) => dataCentre === this.dataCentre);
    const pool = near.length > 0 ? near : usable;
    if (pool.length > 0) return pool[Math.floor(point * pool.length)]?.address;
    return [...this.hubs].sort((a, b) => failureOf(a) - failureOf(b))[0]?.address;
  }

  /** Whether another hub in the own data centre can be used instead. */
  public hasNearer(address: string, now: number): boolean {
    const current = this.hubs.find((hub) => hub.address === address);
    if (current?.dataCentre === this.dataCentre) return false;
    return this.hubs.some(
      (hub) =>
        hub.dataCentre === this.dataCentre &&
        now - (this.failedAt.get(hub.address) ?? -Infinity) > FAILED_MS,
    );
  }
}
