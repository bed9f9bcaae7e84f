/**
 * Routing as hubs decide on it, in the simulation: three data centres with uneven demand, shares by the policy of placement, and
 * the shared retry budget with the limits of each entry. Entries hear of decisions late, and of none while their hub is lost.
 */
import type { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { Random } from '@marigoldbank/base/random';
import { RetryLimiter } from '../../RetryLimiter.js';
import { RetryWindow, type RetryBudgetLimits } from '../../RetryWindow.js';
import { PlacementPolicy } from '../PlacementPolicy.js';
import { PlacementShares } from '../PlacementShares.js';
import type { ShareRow } from '../planCrossings.js';
import { RateCounter } from '../RateCounter.js';
import { SERVICE } from './SimAdmission.js';
import { SimRouting, type SimSend } from './SimRouting.js';
import type { SimTargets } from './SimTargets.js';

export const DATA_CENTRES = ['dc-0', 'dc-1', 'dc-2'] as const;

export const RETRY_LIMITS: RetryBudgetLimits = {
  ratio: 0.2,
  slack: 178,
  windowMs: 10_000,
  countsOffered: () => true,
};

/** Parts of the demand by data centre, added up. */
const DEMAND_UP_TO = [0.42, 0.72, 1];

const PRICE = 0.03;
const ONE_WAY_MS = 0.5;
const DECISION_MS = 500;
const BUDGET_MS = 200;
const DELAY_MS = 100;
const RECONNECT_MS = 1_200;
const URGENT_RANK = 1;

export interface SimDecision {
  /** Shares by the data centre that requests leave. */
  readonly table: ReadonlyMap<string, ShareRow>;
  /** Requests a second that callers ask for, by data centre. */
  readonly demand: ReadonlyMap<string, number>;
}

export class HubRouting extends SimRouting {
  /** Times at which callers sent requests, and at which entries sent some again. */
  public readonly offeredAt: number[] = [];

  public readonly retriedAt: number[] = [];

  public readonly decisions: SimDecision[] = [];

  private readonly random: Random;

  private readonly limiters: readonly RetryLimiter[];

  private readonly shares = DATA_CENTRES.map(() => new PlacementShares());

  private readonly demand = DATA_CENTRES.map(() => new RateCounter());

  private readonly budget = new RetryWindow(RETRY_LIMITS);

  private readonly policy = new PlacementPolicy(PRICE);

  private isLost = false;

  /** `durationMs` is the mean duration of a request. */
  public constructor(
    private readonly clock: VirtualClock,
    private readonly targets: SimTargets,
    private readonly entries: number,
    private readonly durationMs: number,
    seed: number,
  ) {
    super();
    this.random = new Random(seed);
    this.limiters = Array.from({ length: entries }, () => new RetryLimiter(RETRY_LIMITS));
    this.every(BUDGET_MS, () => this.sendBudget());
    this.every(DECISION_MS, () => this.decide());
  }

  /** Requests a second for which the targets of one data centre have room. */
  public get roomPerSecond(): number {
    return (this.targets.slots / DATA_CENTRES.length / this.durationMs) * 1_000;
  }

  public override pickEntry(): number {
    const at = this.random.float();
    const dataCentre = DEMAND_UP_TO.findIndex((end) => at < end);
    const own = Math.ceil((this.entries - dataCentre) / DATA_CENTRES.length);
    return dataCentre + DATA_CENTRES.length * this.random.int(own);
  }

  public override targetsOf(entry: number, random: Random): readonly number[] {
    const own = entry % DATA_CENTRES.length;
    const drawn = this.shares[own]!.draw(SERVICE, random.float());
    const dataCentre = drawn === undefined ? own : DATA_CENTRES.findIndex((name) => name === drawn);
    const there = Math.ceil((this.targets.count - dataCentre) / DATA_CENTRES.length);
    return Array.from({ length: there }, (_, i) => dataCentre + i * DATA_CENTRES.length);
  }

  public override mayRetry(entry: number, rank: number, now: number): boolean {
    const value = rank <= URGENT_RANK ? 'urgent' : 'usual';
    return this.limiters[entry]!.mayRetry(SERVICE, value, this.entries, !this.isLost, now);
  }

  public override noteOffered(entry: number, now: number): void {
    this.offeredAt.push(now);
    this.limiters[entry]!.count(SERVICE, 1, 0, now);
    this.demand[entry % DATA_CENTRES.length]!.add(1, now);
    this.clock.setTimeout(() => this.budget.add(1, 0, this.clock.now()), DELAY_MS);
  }

  public override noteSend({ entry, isRetry }: SimSend, now: number): void {
    if (!isRetry) return;
    this.retriedAt.push(now);
    this.limiters[entry]!.count(SERVICE, 0, 1, now);
    this.clock.setTimeout(() => this.budget.add(0, 1, this.clock.now()), DELAY_MS);
  }

  public override loseHub(): void {
    this.isLost = true;
    this.clock.setTimeout(() => {
      this.isLost = false;
    }, RECONNECT_MS);
  }

  private sendBudget(): void {
    if (this.isLost) return;
    const used = this.budget.usedFraction(this.clock.now());
    this.clock.setTimeout(() => {
      const now = this.clock.now();
      this.limiters.forEach((limiter) => limiter.setFleetUse(SERVICE, used, now));
    }, DELAY_MS);
  }

  private decide(): void {
    if (this.isLost) return;
    const now = this.clock.now();
    const dataCentres = DATA_CENTRES.map((dataCentre, i) => ({
      dataCentre,
      demandPerSecond: this.demand[i]!.perSecond(now),
      roomPerSecond: this.roomPerSecond,
      slots: this.targets.slots / DATA_CENTRES.length,
      heardShare: 1,
    }));
    const pathOf = (): { oneWayMs: number; failedShare: number } => ({
      oneWayMs: ONE_WAY_MS,
      failedShare: 0,
    });
    const table = this.policy.decide({ service: SERVICE, dataCentres, pathOf }, now);
    const demand = new Map(
      dataCentres.map(({ dataCentre, demandPerSecond }) => [dataCentre, demandPerSecond]),
    );
    this.decisions.push({ table, demand });
    this.clock.setTimeout(
      () =>
        DATA_CENTRES.forEach((dataCentre, i) => {
          const row = [...(table.get(dataCentre) ?? [])];
          this.shares[i]!.set(
            SERVICE,
            row.map(([to, share]) => ({ dataCentre: to, share })),
          );
        }),
      DELAY_MS,
    );
  }

  private every(periodMs: number, fn: () => void): void {
    this.clock.setTimeout(() => {
      fn();
      this.every(periodMs, fn);
    }, periodMs);
  }
}
