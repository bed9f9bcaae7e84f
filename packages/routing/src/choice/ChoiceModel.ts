/**
 * Model of a fleet in virtual time: entries that choose targets by what they were told of the requests of the others, and
 * targets with slots and a queue. All entries share one table, in which events appear after a delay; what an entry itself
 * has sent it knows at once.
 */
import { Random } from '@marigoldbank/base/random';
import murmurhash from 'murmurhash';
import { makeTarget } from '../fixtures.js';
import { ServedShares } from '../ServedShares.js';
import { TargetFloor } from '../TargetFloor.js';
import { TargetSelector } from '../TargetSelector.js';
import { TargetTable, type TargetState } from '../TargetTable.js';
import type { ChoicePolicy } from './ChoicePolicy.js';

/** Mean duration of a request at a target that is not cold. */
export const DURATION_MS = 850;

const DURATION_SPREAD = 0.45;
const COLD_FACTOR = 2;

/** Share of the requests that may run more than once. */
const RETRYABLE_SHARE = 0.28;

const REQUEST_TIMEOUT_MS = 5_000;

const MS_PER_SECOND = 1_000;

export interface ModelOptions {
  readonly entries: number;
  readonly targets: number;
  readonly dataCentres?: number;
  readonly slots?: number;
  /** Share of the slots that the requests need. */
  readonly load: number;
  /** Time until an entry is told of the requests of the others. */
  readonly toldAfterMs: number;
  readonly policy: (random: Random, entry: string) => ChoicePolicy;
  readonly seed?: number;
  /** Share of the requests that may run more than once. */
  readonly retryableShare?: number;
  /** Share of the targets that entries keep in use while requests are not served. */
  readonly floorShare?: number;
  /** Intermittent failures: at any time this share of the targets resets most requests, for some seconds. */
  readonly failingShare?: number;
}

/** Factor on the duration, or an immediate failure. */
export type TargetFault =
  { readonly kind: 'slow'; readonly factor: number } | { readonly kind: 'resets' };

interface ModelTarget {
  readonly id: string;
  readonly dataCentre: string;
  coldUntil: number;
  fault: TargetFault | undefined;
  inFlight: number;
  waiting: (() => void)[];
  /** Times at which requests arrived. */
  arrivals: number[];
  most: number;
}

export interface ModelResult {
  sends: number;
  /** Requests that arrived when all slots were in use. */
  withoutSlot: number;
  /** Requests that may run once and were reset. */
  lost: number;
  once: number;
  repeats: number;
  /** Requests to targets of other data centres. */
  remote: number;
}

const FAILURE_PERIOD_MS = 9_000;
const RESET_PROBABILITY = 0.85;

export class ChoiceModel {
  public readonly targets: ModelTarget[] = [];

  public readonly result: ModelResult = {
    sends: 0,
    withoutSlot: 0,
    lost: 0,
    once: 0,
    repeats: 0,
    remote: 0,
  };

  public now = 0;

  private readonly random: Random;

  private readonly told = new TargetTable();

  /** Requests in flight by entry and target. */
  private readonly own = new Map<string, number>();

  private readonly ownTold = new Map<string, number>();

  private readonly ownTargets: Map<string, number>[];

  private readonly selectors: TargetSelector[];

  private readonly floor: TargetFloor;

  /** Requests that found no free slot lately. Targets would reject some of them. */
  private readonly served = new ServedShares();

  private readonly failingPeriods = new Map<string, boolean>();

  private readonly events = new Map<number, (() => void)[]>();

  private nextArrivalAt = 0;

  public constructor(private readonly options: ModelOptions) {
    this.random = new Random(options.seed ?? 1);
    this.selectors = Array.from({ length: options.entries }, (_, i) => {
      const random = this.random.fork();
      return new TargetSelector(this.told, random, undefined, options.policy(random, `e${i}`));
    });
    this.floor = new TargetFloor(
      options.floorShare === undefined ? this.random : this.random.fork(),
      options.floorShare,
    );
    this.ownTargets = this.selectors.map(() => new Map<string, number>());
    Array.from({ length: options.targets }, () => this.addTarget(0));
  }

  /** Requests a second to all targets together. */
  public get rate(): number {
    const { load, slots = 6, targets } = this.options;
    return (load * slots * targets * MS_PER_SECOND) / DURATION_MS;
  }

  /** Adds a target that is cold for a while. */
  public addTarget(coldMs: number): ModelTarget {
    const { dataCentres = 1, slots = 6 } = this.options;
    const i = this.targets.length;
    const target: ModelTarget = {
      id: `t${i}`,
      dataCentre: `dc-${i % dataCentres}`,
      coldUntil: this.now + coldMs,
      fault: undefined,
      inFlight: 0,
      waiting: [],
      arrivals: [],
      most: 0,
    };
    this.targets.push(target);
    const { id, dataCentre } = target;
    this.told.upsert(makeTarget(id, { dataCentre, slots, coldMs }), this.now);
    if (this.now === 0) this.told.observe(id, 'succeeded', 0);
    return target;
  }

  /** Requests that arrived at a target from `from` to `to`. */
  public static arrivalsIn({ arrivals }: ModelTarget, from: number, to: number): number {
    return arrivals.filter((at) => at >= from && at < to).length;
  }

  /** Starts counting anew. */
  public resetCounts(): void {
    Object.assign(this.result, {
      sends: 0,
      withoutSlot: 0,
      lost: 0,
      once: 0,
      repeats: 0,
      remote: 0,
    });
    this.targets.forEach((target) => Object.assign(target, { most: target.inFlight }));
  }

  public advance(durationMs: number): void {
    const until = this.now + durationMs;
    for (; this.now < until; this.now += 1) {
      this.events.get(this.now)?.forEach((run) => run());
      this.events.delete(this.now);
      while (this.nextArrivalAt <= this.now) {
        this.nextArrivalAt += this.random.exponential(MS_PER_SECOND / this.rate);
        this.arrive();
      }
    }
  }

  private at(time: number, run: () => void): void {
    const due = Math.max(this.now + 1, Math.round(time));
    const runs = this.events.get(due) ?? [];
    runs.push(run);
    this.events.set(due, runs);
  }

  private arrive(): void {
    const entry = this.random.int(this.options.entries);
    const { retryableShare = RETRYABLE_SHARE } = this.options;
    const isRetryable = this.random.chance(retryableShare);
    if (!isRetryable) this.result.once += 1;
    this.send(entry, isRetryable, new Set());
  }

  private send(entry: number, isRetryable: boolean, tried: ReadonlySet<string>): void {
    const { dataCentres = 1 } = this.options;
    const dataCentre = `dc-${entry % dataCentres}`;
    const state = this.withOwnLoad(entry, () =>
      this.selectors[entry]!.select(
        {
          service: 'orders',
          canRetry: isRetryable && tried.size === 0,
          dataCentre,
          excluded: tried,
          expectedMs: DURATION_MS,
          remainingMs: REQUEST_TIMEOUT_MS,
          among: tried.size === 0 ? this.pickUnused(dataCentre) : undefined,
        },
        this.now,
      ),
    )?.target;
    if (state === undefined) return;
    const target = this.targets.find(({ id }) => id === state.info.id)!;
    this.result.sends += 1;
    if (tried.size > 0) this.result.repeats += 1;
    if (target.dataCentre !== dataCentre) this.result.remote += 1;
    target.arrivals.push(this.now);
    this.count(entry, target.id, 1);
    const end = (isOk: boolean): void => {
      target.inFlight -= 1;
      this.count(entry, target.id, -1, isOk);
      target.waiting.shift()?.();
      if (isOk) return;
      if (!isRetryable) this.result.lost += 1;
      else if (tried.size === 0) this.send(entry, true, new Set([target.id]));
    };
    this.serve(target, end);
  }

  private pickUnused(dataCentre: string): TargetState[] | undefined {
    const requests = {
      unservedShare: this.served.unservedShare('orders', this.now),
      refusedShare: this.served.refusedShare('orders', this.now),
      perSecond: this.served.perSecond('orders', this.now),
      dataCentre,
    };
    const picked = this.floor.pick(() => this.told.candidates('orders'), requests, this.now);
    return picked === undefined ? undefined : [picked];
  }

  private serve(target: ModelTarget, end: (isOk: boolean) => void): void {
    const { slots = 6 } = this.options;
    Object.assign(target, { inFlight: target.inFlight + 1 });
    Object.assign(target, { most: Math.max(target.most, target.inFlight) });
    if (target.inFlight > slots) this.result.withoutSlot += 1;
    this.served.note('orders', target.inFlight <= slots ? 'served' : 'refused', this.now);
    const run = (): void => {
      const isReset =
        target.fault?.kind === 'resets' ||
        (this.isFailing(target.id) && this.random.chance(RESET_PROBABILITY));
      const factor =
        (this.now < target.coldUntil ? COLD_FACTOR : 1) *
        (target.fault?.kind === 'slow' ? target.fault.factor : 1);
      const durationMs = isReset ? 1 : this.random.logNormal(DURATION_MS, DURATION_SPREAD) * factor;
      this.at(this.now + durationMs, () => end(!isReset));
    };
    if (target.inFlight > slots) target.waiting.push(run);
    else run();
  }

  private isFailing(id: string): boolean {
    const { failingShare = 0, seed = 1 } = this.options;
    if (failingShare === 0) return false;
    const number = Number(id.slice(1));
    const period = Math.floor((this.now + number * 1_237) / FAILURE_PERIOD_MS);
    const key = `${id}/${period}`;
    const known =
      this.failingPeriods.get(key) ??
      new Random(seed * 31 + murmurhash.v3(key)).fork().chance(failingShare);
    this.failingPeriods.set(key, known);
    return known;
  }

  /** Counts a request of an entry, now for the entry itself and after the delay for all others. */
  private count(entry: number, id: string, change: number, isOk?: boolean): void {
    const add = (counts: Map<string, number>, key: string): void => {
      counts.set(key, (counts.get(key) ?? 0) + change);
    };
    add(this.ownTargets[entry]!, id);
    this.at(this.now + this.options.toldAfterMs, () => {
      add(this.ownTold, `${entry}/${id}`);
      const state = this.told.get(id);
      if (state === undefined) return;
      state.othersInFlight += change;
      if (change > 0) state.lastTriedAt = this.now;
      if (isOk !== undefined) this.told.observe(id, isOk ? 'succeeded' : 'failed', this.now);
    });
  }

  /** Calls a function while the table shows the load as this entry knows it. */
  private withOwnLoad<T>(entry: number, fn: () => T): T {
    const changed = [...this.ownTargets[entry]!].flatMap(([id, own]) => {
      const state: TargetState | undefined = this.told.get(id);
      const told = this.ownTold.get(`${entry}/${id}`) ?? 0;
      if (state === undefined || (own === 0 && told === 0)) return [];
      Object.assign(state, { ownInFlight: own, othersInFlight: state.othersInFlight - told });
      return [{ state, told }];
    });
    const result = fn();
    changed.forEach(({ state, told }) =>
      Object.assign(state, { ownInFlight: 0, othersInFlight: state.othersInFlight + told }),
    );
    return result;
  }
}
