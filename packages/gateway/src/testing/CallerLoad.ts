/** Callers of a fake fleet that return after refusals as they are told, and what became of their requests. */
import { Random } from '@marigoldbank/base/random';
import { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { makePlan, makeRoute, makeTarget } from '@marigoldbank/routing/fixtures';
import type { Route } from '@marigoldbank/routing/plan';
import { RequestRun } from '../entry/RequestRun.js';
import type { RunOutcome } from '../entry/run-types.js';
import { FakeFleet } from './FakeFleet.js';
import { HEADER_NAMES, makeRunRequest, TEST_MEMORY_BYTES } from './fixtures.js';
import { SLOTS, SlottedTargets, type SlottedOptions } from './SlottedTargets.js';

const STEP_MS = 5;
const SETTLE_MS = 3_000;
const MS_PER_SECOND = 1_000;

/** Callers ignore a longer time than this share of what their request has left. */
const MAX_RETURN_SHARE = 1 / 3;

/** Callers give up when less is left. */
const MIN_LEFT_MS = 20;

/** Delay of a caller that was not told when to return, as that of the error responses. */
const USUAL_RETURN_MS = 300;

/** Times of simulated requests; all are of one service. */
const ROUTE_TIMES = { objectiveMs: 500, timeoutMs: 1_200 };

export interface LoadOptions extends Pick<SlottedOptions, 'slownessOf' | 'rejectedShare'> {
  readonly isRanked: boolean;
  readonly entries: number;
  readonly targets: number;
  readonly durationMs: number;
  /** Demand by rank as a share of the room of all targets, after a time since the start. */
  readonly demand: (atMs: number) => Readonly<Record<number, number>>;
  readonly forMs: number;
  readonly seed?: number;
  /** Called before each step with the time since the start. */
  readonly disrupt?: (fleet: FakeFleet, atMs: number) => void;
}

/** What became of a request and its repetitions by the caller. */
export interface CallerResult {
  readonly rank: number;
  /** Time since the start. */
  readonly at: number;
  /** From the first request to the answer, undefined if there was none in time. */
  answeredAfterMs: number | undefined;
  /** Durations of the requests that were refused, and the times after which the caller was told to return. */
  readonly refusals: { readonly afterMs: number; readonly returnMs: number; leftMs: number }[];
}

export class CallerLoad {
  public readonly results: CallerResult[] = [];

  public readonly upstream: SlottedTargets;

  private readonly fleet: FakeFleet;

  private readonly random: Random;

  private readonly routes = new Map<number, Route>();

  private startedAt = 0;

  private constructor(private readonly options: LoadOptions) {
    const { seed = 1, entries, isRanked, durationMs, slownessOf, rejectedShare } = options;
    this.random = new Random(seed);
    this.fleet = new FakeFleet({
      seed,
      hubs: ['dc-1', 'dc-1', 'dc-1'],
      entries: Array.from({ length: entries }, () => 'dc-1'),
      overload: {
        rankedAdmission: false,
        slotQueue: isRanked,
        offeredRetryBudget: 'none',
        teamTolerance: 'none',
      },
    });
    this.upstream = new SlottedTargets({
      clock: this.fleet.clock,
      random: this.random.fork(),
      idHeader: HEADER_NAMES.expectedTarget,
      durationMs,
      ...(slownessOf === undefined ? {} : { slownessOf }),
      rejectedShare: () => (this.startedAt === 0 ? 0 : (rejectedShare?.() ?? 0)),
    });
  }

  /** Plays the load to its end, until the last request has met its deadline. */
  public static async play(options: LoadOptions): Promise<CallerLoad> {
    const load = new CallerLoad(options);
    await load.run();
    return load;
  }

  /** Share of the requests of a rank that were answered within a time. */
  public servedShare(rank: number, withinMs: number = ROUTE_TIMES.timeoutMs): number {
    const ofRank = this.results.filter((result) => result.rank === rank);
    const served = ofRank.filter((result) => (result.answeredAfterMs ?? Infinity) <= withinMs);
    return served.length / ofRank.length;
  }

  /** Share of all requests that were answered within their objective. */
  public get onTimeShare(): number {
    const isOnTime = ({ answeredAfterMs }: CallerResult): boolean =>
      (answeredAfterMs ?? Infinity) <= ROUTE_TIMES.objectiveMs;
    return this.results.filter(isOnTime).length / this.results.length;
  }

  public get refusals(): CallerResult['refusals'] {
    return this.results.flatMap(({ refusals }) => refusals);
  }

  private async run(): Promise<void> {
    const { targets, durationMs, demand, forMs, disrupt } = this.options;
    const infos = Array.from({ length: targets }, (_, i) => makeTarget(`t${i}`, { slots: SLOTS }));
    const { fleet } = this;
    fleet.hubs.forEach(({ hub, clock }) =>
      infos.forEach((info) => hub.announce({ ...info, version: '', seq: 1, born: 1 }, clock.now())),
    );
    fleet.commit(makePlan({ routes: [makeRoute(ROUTE_TIMES)] }));
    await fleet.advance(SETTLE_MS);
    this.startedAt = fleet.clock.now();
    const roomPerStep = (targets * SLOTS * STEP_MS) / durationMs;
    const due = new Map<number, number>();
    for (let at = 0; at < forMs; at += STEP_MS) {
      disrupt?.(fleet, at);
      Object.entries(demand(at)).forEach(([key, share]) => {
        const rank = Number(key);
        const open = (due.get(rank) ?? 0) + share * roomPerStep;
        due.set(rank, open % 1);
        Array.from({ length: Math.floor(open) }).forEach(() => this.call(rank, at));
      });
      await fleet.advance(STEP_MS);
    }
    await fleet.advance(ROUTE_TIMES.timeoutMs + MS_PER_SECOND);
  }

  private call(rank: number, at: number): void {
    const result: CallerResult = { rank, at, answeredAfterMs: undefined, refusals: [] };
    this.results.push(result);
    this.request(result, this.fleet.clock.now()).catch(() => undefined);
  }

  private async request(result: CallerResult, firstAt: number): Promise<void> {
    const { clock } = this.fleet;
    const sentAt = clock.now();
    const leftMs = firstAt + ROUTE_TIMES.timeoutMs - sentAt;
    const outcome = await this.runAtEntry(result.rank, leftMs);
    const afterMs = clock.now() - sentAt;
    if (outcome.kind === 'answered' && outcome.response.status < 500) {
      Object.assign(result, { answeredAfterMs: clock.now() - firstAt });
    }
    if (outcome.kind !== 'refused' || outcome.error.verdict !== 'notRun') return;
    const { error } = outcome;
    const returnMs = 'retryAfterMs' in error ? error.retryAfterMs : USUAL_RETURN_MS;
    const stillMs = leftMs - afterMs;
    result.refusals.push({ afterMs, returnMs, leftMs: stillMs });
    if (returnMs > stillMs * MAX_RETURN_SHARE || stillMs < MIN_LEFT_MS) return;
    // Callers cannot send again in no time.
    clock.setTimeout(
      () => {
        this.request(result, firstAt).catch(() => undefined);
      },
      Math.max(1, returnMs),
    );
  }

  private runAtEntry(rank: number, leftMs: number): Promise<RunOutcome> {
    const entry = this.random.pick(this.fleet.entries)!;
    const { clock, state, reporter } = entry;
    const now = clock.now();
    const route = this.routes.get(rank) ?? makeRoute({ ...ROUTE_TIMES, priority: rank });
    this.routes.set(rank, route);
    return new RequestRun(
      {
        clock,
        upstream: this.upstream.client(),
        reporter,
        names: HEADER_NAMES,
        memory: new MemoryBudget(TEST_MEMORY_BYTES),
        state,
        dataCentre: 'dc-1',
      },
      { ...makeRunRequest(now, true), route, priority: rank, dueAt: now + leftMs, receivedAt: now },
    ).run();
  }
}
