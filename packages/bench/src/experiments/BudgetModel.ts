/** Simulates fleet-wide team budgets on virtual time: entries, network delays and callers within their teams' rates. */
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import {
  FleetBudgets,
  type BorrowRequest,
  type BorrowResponse,
  type IFleetBudgets,
} from '@marigoldbank/budgets';
import { CentralCounterBudgets, StaticShareBudgets } from '@marigoldbank/budgets/testing';
import { build } from 'hdr-histogram-js';
import { DEPLOYMENTS } from './deployments.js';
import { ReferenceBucket } from './ReferenceBucket.js';
import { LocalTransport } from './LocalTransport.js';

export type BudgetVariant = 'lending' | 'static rate/N' | 'central counter';
export type BudgetScenario = 'budget-even' | 'budget-skew' | 'budget-lost-data-centre';

export interface BudgetFigures {
  readonly scenario: BudgetScenario;
  readonly variant: BudgetVariant;
  readonly seed: number;
  readonly requests: number;
  /** Share of requests refused although a single token bucket for the whole fleet would have admitted them. */
  readonly wronglyRefusedShare: number;
  /** Largest number of requests that any team was admitted above rate x time + burst; 0 is within the limit. */
  readonly excess: number;
  readonly waitP50Ms: number;
  readonly waitP99Ms: number;
}

/** Callers send at this share of their team's rate; the burst is half a second of the rate. */
const OFFERED_RATE_SHARE = 0.9;
const BURST_SECONDS = 0.5;
const RESERVE_DEADLINE_MS = 50;
const ONE_WAY_DELAY_MS = 1;
const LOSS_TIMEOUT_MS = 100;
const WARM_UP_MS = 6_000;
const FAULT_AT_MS = 2_000;
const DURATION_MS = 12_000;
const FIRST_ENTRY_SHARE = 0.6;
const MICROS_PER_MS = 1_000;

interface EntryNode {
  readonly vm: string;
  readonly dataCentre: string;
  budgets: IFleetBudgets | undefined;
}

export class BudgetModel {
  private readonly clock = new VirtualClock();

  private readonly random: Random;

  private readonly nodes: EntryNode[];

  private readonly buckets = new Map<string, ReferenceBucket>();

  private readonly waits = build({ highestTrackableValue: 1_000 * MICROS_PER_MS });

  private requests = 0;

  private wronglyRefused = 0;

  private lowestBucketLevel = Number.POSITIVE_INFINITY;

  public constructor(
    private readonly scenario: BudgetScenario,
    private readonly variant: BudgetVariant,
    private readonly seed: number,
  ) {
    this.random = new Random(seed);
    const [{ entries, dataCentres, teams }] = DEPLOYMENTS as [(typeof DEPLOYMENTS)[0]];
    this.nodes = Array.from({ length: entries }, (_, i) => ({
      vm: `entry-${i}`,
      dataCentre: `dc-${i % dataCentres}`,
      budgets: undefined,
    }));
    const limits = new Map(
      teams.map(({ team, rate }) => [team, { rate, burst: rate * BURST_SECONDS }]),
    );
    this.nodes.forEach((node) => {
      const budgets = this.makeBudgets(node);
      budgets.setView({ epoch: 1, entries: this.nodes });
      budgets.setLimits((team) => limits.get(team));
      budgets.markViewAccepted(1, 0);
      budgets.markLimitsAccepted(0);
      Object.assign(node, { budgets });
    });
    limits.forEach(({ rate, burst }, team) =>
      this.buckets.set(team, new ReferenceBucket(rate, burst)),
    );
  }

  public async run(): Promise<BudgetFigures> {
    await this.clock.advanceAsync(WARM_UP_MS);
    DEPLOYMENTS[0]!.teams.forEach(({ team, rate }) => this.scheduleArrival(team, rate));
    if (this.scenario === 'budget-lost-data-centre') {
      this.clock.setTimeout(() => this.loseDataCentre('dc-0'), FAULT_AT_MS);
    }
    await this.clock.advanceAsync(DURATION_MS);
    const { scenario, variant, seed, requests, waits } = this;
    const figures = {
      scenario,
      variant,
      seed,
      requests,
      wronglyRefusedShare: this.wronglyRefused / Math.max(1, requests),
      excess: Math.max(0, -this.lowestBucketLevel),
      waitP50Ms: waits.getValueAtPercentile(50) / MICROS_PER_MS,
      waitP99Ms: waits.getValueAtPercentile(99) / MICROS_PER_MS,
    };
    this.nodes.forEach((node) => node.budgets?.dispose());
    return figures;
  }

  private makeBudgets({ vm }: EntryNode): IFleetBudgets {
    const { clock } = this;
    const transport = this.makeTransport();
    if (this.variant === 'static rate/N') return new StaticShareBudgets(vm, clock);
    if (this.variant === 'central counter') return new CentralCounterBudgets(vm, clock, transport);
    const isCurrent = (): boolean => true;
    return new FleetBudgets({ self: vm, incarnation: '1', clock, transport, isCurrent });
  }

  private makeTransport(): LocalTransport {
    const borrow = (to: string, req: BorrowRequest): Promise<BorrowResponse> =>
      new Promise((resolve, reject) => {
        this.clock.setTimeout(() => {
          const res = this.nodes.find(({ vm }) => vm === to)?.budgets?.handleBorrow(req);
          if (res !== undefined) this.clock.setTimeout(() => resolve(res), ONE_WAY_DELAY_MS);
          else this.clock.setTimeout(() => reject(new Error('entry is down')), LOSS_TIMEOUT_MS);
        }, ONE_WAY_DELAY_MS);
      });
    return new LocalTransport(borrow);
  }

  private scheduleArrival(team: string, rate: number): void {
    this.clock.setTimeout(
      () => {
        this.scheduleArrival(team, rate);
        this.handleArrival(team).catch(() => undefined);
      },
      this.random.exponential(1_000 / (rate * OFFERED_RATE_SHARE)),
    );
  }

  private async handleArrival(team: string): Promise<void> {
    const node = this.chooseNode();
    const startedAt = this.clock.now();
    this.requests += 1;
    const outcome = await node.budgets!.reserve(team, RESERVE_DEADLINE_MS);
    const now = this.clock.now();
    const bucket = this.buckets.get(team)!;
    if (outcome.kind === 'reserved' && outcome.reservation.consume()) {
      this.waits.recordValue(Math.round((now - startedAt) * MICROS_PER_MS));
      bucket.refill(now);
      bucket.take();
      this.lowestBucketLevel = Math.min(this.lowestBucketLevel, bucket.refill(now));
    } else if (bucket.refill(now) >= 1) {
      this.wronglyRefused += 1;
    }
  }

  private chooseNode(): EntryNode {
    const [first] = this.nodes;
    if (this.scenario === 'budget-skew' && this.random.chance(FIRST_ENTRY_SHARE)) return first!;
    return this.random.pick(this.nodes.filter(({ budgets }) => budgets !== undefined))!;
  }

  private loseDataCentre(dataCentre: string): void {
    this.nodes
      .filter((node) => node.dataCentre === dataCentre)
      .forEach((node) => {
        node.budgets?.dispose();
        Object.assign(node, { budgets: undefined });
      });
  }
}
