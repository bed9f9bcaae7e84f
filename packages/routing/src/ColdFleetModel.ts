/**
 * Model of entries that select targets, some of which are cold, in virtual time. Each entry has its own state. It is told of
 * the requests of the others after a while, as by hubs, or never.
 */
import { Random } from '@marigoldbank/base/random';
import { makeTarget } from './fixtures.js';
import type { ColdBounds } from './sharedRate.js';
import { TargetLimits } from './TargetLimits.js';
import { TargetSelector } from './TargetSelector.js';
import { TargetTable, type TargetInfo, type TargetState } from './TargetTable.js';

export const COLD_MS = 3_000;
export const COLD_PER_SECOND = 5.8;
export const COLD_BOUNDS: ColdBounds = { overshoot: 1.5, slack: 8 };

/** Requests that a cold target tolerates in any second. */
export const MOST_PER_SECOND = COLD_PER_SECOND * COLD_BOUNDS.overshoot + COLD_BOUNDS.slack;

const DURATION_MS = 240;
const REQUEST_MS = 1_500;

/** Share of the requests that may run more than once. */
const RETRYABLE_SHARE = 0.5;

const MAX_RETRY_MS = 1_000;
const MS_PER_SECOND = 1_000;

export interface ModelEntry {
  readonly dataCentre: string;
  readonly limits: TargetLimits;
  readonly targets: TargetTable;
  readonly selector: TargetSelector;
}

export interface ColdFleetOptions {
  readonly seed: number;
  readonly entries: number;
  readonly dataCentres: number;
  /** Time until entries are told of the requests of the others. Infinity without hubs. */
  readonly toldAfterMs: number;
  /** Number of entries as counted by one of them. */
  readonly countOf?: (entry: number, now: number) => number;
}

interface Caller {
  readonly at: number;
  readonly entry: number;
  readonly giveUpAt: number;
}

export class ColdFleetModel {
  public now = 0;

  public readonly entries: ModelEntry[];

  public refused = 0;

  public readonly random: Random;

  /** Times of the requests to each target. */
  private readonly arrivals = new Map<string, number[]>();

  private callers: Caller[] = [];

  private readonly events = new Map<number, (() => void)[]>();

  public constructor(private readonly options: ColdFleetOptions) {
    this.random = new Random(options.seed);
    this.entries = Array.from({ length: options.entries }, (_, i) => this.createEntry(i));
  }

  /** Tells entries of a target, which is cold for a while. */
  public announce(
    info: Partial<TargetInfo> & { readonly id: string },
    coldMs: number,
    seq = 1,
    entries: readonly ModelEntry[] = this.entries,
  ): void {
    const target = makeTarget(info.id, { ...info, slots: 3, coldMs, born: 1 });
    entries.forEach(({ targets, limits }) => {
      targets.upsert(target, this.now);
      const { id, service, dataCentre } = target;
      const receivedAfter = this.now;
      limits.announce({ id, service, dataCentre, born: 1, seq, coldMs, receivedAfter }, this.now);
    });
  }

  /** Lets callers send requests at a rate, each to one of the first `active` entries. Refused callers return. */
  public advance(durationMs: number, perSecond: number, active = this.entries.length): void {
    const until = this.now + durationMs;
    for (; this.now < until; this.now += 1) {
      this.events.get(this.now)?.forEach((run) => run());
      this.events.delete(this.now);
      const due = this.callers.filter(({ at }) => at <= this.now);
      this.callers = this.callers.filter(({ at }) => at > this.now);
      if (this.random.chance(perSecond / MS_PER_SECOND)) {
        const entry = this.random.int(active);
        due.push({ at: this.now, entry, giveUpAt: this.now + REQUEST_MS });
      }
      due.forEach((caller) => this.request(caller));
    }
  }

  /** Adds callers that return within a time, each at one of the entries. */
  public addReturning(count: number, withinMs: number): void {
    const callers = Array.from({ length: count }, () => {
      const at = this.now + this.random.int(withinMs);
      return { at, entry: this.random.int(this.entries.length), giveUpAt: at + REQUEST_MS };
    });
    this.callers.push(...callers);
  }

  /** Requests to a target from `from` to `to`. */
  public countOf(id: string, from: number, to: number): number {
    return this.timesOf(id).filter((at) => at >= from && at < to).length;
  }

  /** Most requests to any of the targets in a window of one second that lies within a time. */
  public mostInASecond(ids: readonly string[], from: number, to: number): number {
    const counts = ids.flatMap((id) => {
      const times = this.timesOf(id).filter((at) => at >= from && at < to);
      return times.map(
        (start) => times.filter((at) => at >= start && at < start + MS_PER_SECOND).length,
      );
    });
    return Math.max(0, ...counts);
  }

  private timesOf(id: string): number[] {
    return this.arrivals.get(id) ?? [];
  }

  private createEntry(index: number): ModelEntry {
    const { entries, dataCentres, countOf } = this.options;
    const random = this.random.fork();
    const count = (): number => countOf?.(index, this.now) ?? entries;
    const limits = new TargetLimits(random, count, { bounds: COLD_BOUNDS, entryCount: count });
    limits.setServices([
      { name: 'orders', maxConnections: 10, coldMs: COLD_MS, coldPerSecond: COLD_PER_SECOND },
    ]);
    const targets = new TargetTable();
    const selector = new TargetSelector(targets, random, limits);
    return { dataCentre: `dc-${index % dataCentres}`, limits, targets, selector };
  }

  private request({ entry, giveUpAt }: Caller): void {
    const { now, random } = this;
    const { dataCentre, limits, targets, selector } = this.entries[entry]!;
    const req = {
      service: 'orders',
      canRetry: random.chance(RETRYABLE_SHARE),
      dataCentre,
      excluded: new Set<string>(),
      expectedMs: DURATION_MS,
      remainingMs: REQUEST_MS,
    };
    const selection = selector.select(req, now);
    if (selection === undefined) {
      this.refused += 1;
      const ids = targets.candidates('orders').map(({ info }) => info.id);
      const waitMs = Math.min(MAX_RETRY_MS, limits.waitMs(ids, now) ?? MAX_RETRY_MS);
      const at = now + Math.ceil(waitMs);
      if (at < giveUpAt) {
        this.callers.push({ at, entry: random.int(this.entries.length), giveUpAt });
      }
      return;
    }
    const { target } = selection;
    const { id } = target.info;
    limits.spend(id, now);
    this.arrivals.set(id, [...this.timesOf(id), now]);
    target.ownInFlight += 1;
    target.lastTriedAt = now;
    const tellOthers = (change: (known: TargetState) => void): void =>
      this.at(this.now + this.options.toldAfterMs, () =>
        this.entries.forEach((other) => {
          const known = other.targets.get(id);
          if (known !== undefined && known !== target) change(known);
        }),
      );
    tellOthers((known) =>
      Object.assign(known, { othersInFlight: known.othersInFlight + 1, lastTriedAt: this.now }),
    );
    this.at(now + DURATION_MS, () => {
      target.ownInFlight -= 1;
      targets.observe(id, 'succeeded', this.now);
      tellOthers((known) => {
        Object.assign(known, { othersInFlight: known.othersInFlight - 1, lastOutcomeAt: this.now });
        known.belief.observe('succeeded', this.now);
      });
    });
  }

  private at(time: number, run: () => void): void {
    if (time < Infinity) this.events.set(time, [...(this.events.get(time) ?? []), run]);
  }
}
