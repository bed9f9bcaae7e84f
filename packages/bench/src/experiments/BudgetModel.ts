/** Fleet-wide budgets on virtual time: entries, delays between them, and callers within their teams' rates. */
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
import { ExactBucket } from './ReferenceBucket.js';
import { LocalTransport } from './LocalTransport.js';

export type BudgetVariant = 'lending' | 'static rate/N' | 'central counter';
export type BudgetScenario = 'budget-even' | 'budget-skew' | 'budget-lost-data-centre';

export interface BudgetFigures {
  readonly scenario: BudgetScenario;
  readonly variant: BudgetVariant;
  readonly seed: number;
  readonly requests: number;
  /** Requests refused although a bucket with rate and burst over the fleet would have admitted them. */
  readonly wronglyRefusedShare: number;
  /** Most that any team was admitted above rate x time + burst, in requests; 0 or less is within the limit. */
  readonly excess: number;
  readonly waitP50Ms: number;
  readonly waitP99Ms: number;
}

/** Callers use this part of their rate; the burst is half a second of it. */
const USED_SHARE = 0.9;
const BURST_SECONDS = 0.5;
const RESERVE_DEADLINE_MS = 50;
const ONE_WAY_MS = 1;
const LOSS_TIMEOUT_MS = 100;
const WARM_UP_MS = 6_000;
const FAULT_AT_MS = 2_000;
const DURATION_MS = 12_000;
const SKEW = 0.6;
const MICROS = 1_000;

interface Node {
  readonly vm: string;
  readonly dataCentre: string;
  budgets: IFleetBudgets | undefined;
}

export class BudgetModel {
  private readonly clock = new VirtualClock();

  private readonly random: Random;

  private readonly nodes: Node[];

  private readonly buckets = new Map<string, ExactBucket>();

  private readonly waits = build({ highestTrackableValue: 1_000 * MICROS });

  private requests = 0;

  private wronglyRefused = 0;

  private lowest = Number.POSITIVE_INFINITY;

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
    limits.forEach(({ rate, burst }, team) => this.buckets.set(team, new ExactBucket(rate, burst)));
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
      excess: Math.max(0, -this.lowest),
      waitP50Ms: waits.getValueAtPercentile(50) / MICROS,
      waitP99Ms: waits.getValueAtPercentile(99) / MICROS,
    };
    this.nodes.forEach((node) => node.budgets?.dispose());
    return figures;
  }

  private makeBudgets({ vm }: Node): IFleetBudgets {
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
          if (res !== undefined) this.clock.setTimeout(() => resolve(res), ONE_WAY_MS);
          else this.clock.setTimeout(() => reject(new Error('no answer')), LOSS_TIMEOUT_MS);
        }, ONE_WAY_MS);
      });
    return new LocalTransport(borrow);
  }

  private scheduleArrival(team: string, rate: number): void {
    this.clock.setTimeout(
      () => {
        this.scheduleArrival(team, rate);
        this.arrive(team).catch(() => undefined);
      },
      this.random.exponential(1_000 / (rate * USED_SHARE)),
    );
  }

  private async arrive(team: string): Promise<void> {
    const node = this.chooseNode();
    const since = this.clock.now();
    this.requests += 1;
    const outcome = await node.budgets!.reserve(team, RESERVE_DEADLINE_MS);
    const now = this.clock.now();
    const bucket = this.buckets.get(team)!;
    if (outcome.kind === 'reserved' && outcome.reservation.consume()) {
      this.waits.recordValue(Math.round((now - since) * MICROS));
      bucket.tokens(now);
      bucket.take();
      this.lowest = Math.min(this.lowest, bucket.tokens(now));
    } else if (bucket.tokens(now) >= 1) {
      this.wronglyRefused += 1;
    }
  }

  private chooseNode(): Node {
    const [first] = this.nodes;
    if (this.scenario === 'budget-skew' && this.random.chance(SKEW)) return first!;
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
