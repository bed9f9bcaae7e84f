import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { RetryLimiter } from '@marigoldbank/routing/RetryLimiter';
import type { RetryBudgetLimits } from '@marigoldbank/routing/RetryWindow';
import { expect } from 'earl';
import { RetryBudgets } from './RetryBudgets.js';

const SERVICE = 'claims';
const WINDOW_MS = 10_000;
const MAX_SENDS = 4;
const REJECTED_AFTER_MS = 10;
const SHEDDING_FROM_MS = 12_000;
const SHEDDING_TO_MS = 20_500;
const RESTART_AT_MS = 16_000;
const END_MS = 32_000;
const CHECK_STEP_MS = 50;
const STATE_INTERVAL_MS = 200;

interface FleetLoad {
  readonly entries: number;
  readonly requestsPerSecond: number;
  /** Share of the sends that targets reject while they shed load. */
  readonly rejectedShare: number;
  /** Time until the hub has counted a send, and again until an entry knows the hub's sum. */
  readonly lagMs: number;
  readonly limits: RetryBudgetLimits;
  readonly seed: number;
  /** Share of the entries that restart while targets shed load, and lose their counts. */
  readonly restartedShare?: number;
  /** Further requests a second that entries refuse for the rates of their teams, until a time. */
  readonly refused?: { readonly perSecond: number; readonly untilMs: number };
}

interface FleetSends {
  /** Requests that callers sent, also those that entries refused. */
  readonly requests: number[];
  readonly retries: number[];
}

/** Sends of a fleet whose targets reject a share of them for some seconds; each entry retries while it may. */
function simulate(load: FleetLoad): FleetSends {
  const { entries, requestsPerSecond, rejectedShare, lagMs, limits, seed } = load;
  const clock = new VirtualClock();
  const random = new Random(seed);
  const budgets = new RetryBudgets(limits);
  const limiters = Array.from({ length: entries }, () => new RetryLimiter(limits));
  const sends: FleetSends = { requests: [], retries: [] };
  const isRejected = (): boolean =>
    clock.now() >= SHEDDING_FROM_MS && clock.now() < SHEDDING_TO_MS && random.chance(rejectedShare);
  const restart = (): void =>
    limiters.forEach((_, i) => {
      if (i < (load.restartedShare ?? 0) * entries) limiters[i] = new RetryLimiter(limits);
    });
  clock.setTimeout(restart, RESTART_AT_MS);
  const send = (limiter: RetryLimiter, attempt: number): void => {
    const isRetry = attempt > 1;
    const counts = [isRetry ? 0 : 1, isRetry ? 1 : 0] as const;
    (isRetry ? sends.retries : sends.requests).push(clock.now());
    limiter.count(SERVICE, ...counts, clock.now());
    clock.setTimeout(() => budgets.add(SERVICE, ...counts, clock.now()), lagMs);
    if (!isRejected() || attempt === MAX_SENDS) return;
    clock.setTimeout(() => {
      if (limiter.mayRetry(SERVICE, 'urgent', entries, true, clock.now())) {
        send(limiter, attempt + 1);
      }
    }, REJECTED_AFTER_MS);
  };
  const publish = (): void => {
    const states = budgets.takeChanges(clock.now(), 1);
    clock.setTimeout(() => {
      states.forEach(({ service, usedPermille }) =>
        limiters.forEach((limiter) =>
          limiter.setFleetUse(service, usedPermille / 1_000, clock.now()),
        ),
      );
    }, lagMs);
    clock.setTimeout(publish, STATE_INTERVAL_MS);
  };
  const arrive = (): void => {
    send(random.pick(limiters)!, 1);
    clock.setTimeout(arrive, random.exponential(1_000 / requestsPerSecond));
  };
  const refuse = (perSecond: number, untilMs: number): void => {
    if (clock.now() > untilMs) return;
    sends.requests.push(clock.now());
    if (limits.countsOffered?.() === true) {
      random.pick(limiters)!.count(SERVICE, 1, 0, clock.now());
      clock.setTimeout(() => budgets.add(SERVICE, 1, 0, clock.now()), lagMs);
    }
    clock.setTimeout(() => refuse(perSecond, untilMs), random.exponential(1_000 / perSecond));
  };
  publish();
  arrive();
  if (load.refused !== undefined) refuse(load.refused.perSecond, load.refused.untilMs);
  clock.advance(END_MS);
  return sends;
}

/**
 * Largest excess of the retries in any window over those that the limits allow for the requests in it. If refused requests
 * count, those of the window before or of the one half its length before count instead where they are more.
 */
function maxExcess({ requests, retries }: FleetSends, limits: RetryBudgetLimits): number {
  const shifts = limits.countsOffered?.() === true ? [0, WINDOW_MS / 2, WINDOW_MS] : [0];
  const countIn = (times: readonly number[], to: number): number =>
    times.filter((at) => at > to - WINDOW_MS && at <= to).length;
  const ends = Array.from(
    { length: (END_MS - WINDOW_MS) / CHECK_STEP_MS },
    (_, i) => WINDOW_MS + i * CHECK_STEP_MS,
  );
  return Math.max(
    ...ends.map(
      (end) =>
        countIn(retries, end) -
        limits.slack -
        limits.ratio * Math.max(...shifts.map((shift) => countIn(requests, end - shift))),
    ),
  );
}

describe('retry budget of a fleet', () => {
  // Entries that go by the fleet's sum alone keep retrying until it reaches them. While targets reject half of all
  // sends, they exceed the budget within that time, the more the busier the hubs are.
  const grown = {
    entries: 111,
    requestsPerSecond: 800,
    rejectedShare: 0.55,
    limits: { ratio: 0.2, slack: 188, windowMs: WINDOW_MS },
  };
  [300, 800, 2_500].forEach((lagMs) => {
    it(`holds while targets shed load and sums are ${lagMs} ms late each way`, () => {
      const sends = simulate({ ...grown, lagMs, seed: 1 });
      expect(maxExcess(sends, grown.limits)).toBeLessThanOrEqual(0);
    });
  });

  it('holds in a fleet of 500 entries with late sums', () => {
    const load = { ...grown, entries: 500, requestsPerSecond: 3_000, lagMs: 800, seed: 2 };
    expect(maxExcess(simulate(load), grown.limits)).toBeLessThanOrEqual(0);
  });

  it('holds when half of the entries restart while targets shed load', () => {
    const load = { ...grown, lagMs: 300, seed: 4, restartedShare: 0.55 };
    expect(maxExcess(simulate(load), grown.limits)).toBeLessThanOrEqual(0);
  });

  it('is used by more than three quarters while targets shed load', () => {
    const { requests, retries } = simulate({ ...grown, lagMs: 300, seed: 5 });
    const isShedding = (at: number): boolean => at >= SHEDDING_FROM_MS && at < SHEDDING_TO_MS;
    const allowed = grown.limits.ratio * requests.filter(isShedding).length + grown.limits.slack;
    expect(retries.length).toBeGreaterThan(allowed * 0.75);
  });

  // Guards against a fleet that gives up half of the requests which targets reject, though callers have asked for enough to
  // earn retries: a team at several times its rate was refused until shortly before.
  describe('with refused requests counted', () => {
    const surge = {
      ...grown,
      limits: { ...grown.limits, countsOffered: () => true },
      refused: { perSecond: 800, untilMs: SHEDDING_FROM_MS + 1_600 },
    };
    [
      { lagMs: 300, seed: 6 },
      { lagMs: 2_500, seed: 7 },
      { lagMs: 300, seed: 8, restartedShare: 0.55 },
      { lagMs: 300, seed: 9, entries: 300, refused: { perSecond: 3_000, untilMs: 12_000 } },
      {
        lagMs: 300,
        seed: 10,
        requestsPerSecond: 300,
        refused: { perSecond: 1_500, untilMs: 9_000 },
      },
    ].forEach((load) => {
      it(`holds while and after many are refused, seed ${load.seed}`, () => {
        expect(maxExcess(simulate({ ...surge, ...load }), surge.limits)).toBeLessThanOrEqual(0);
      });
    });

    it('retries 1.3 times as many of the rejected requests', () => {
      const load = { ...surge, lagMs: 300, seed: 11 };
      const { retries } = simulate(load);
      const sentOnly = simulate({ ...load, limits: grown.limits }).retries;
      expect(retries.length).toBeGreaterThan(1.3 * sentOnly.length);
    });
  });

  it('lets requests retry that fail at a rate well below the budget', () => {
    const load = { ...grown, rejectedShare: 0.1, lagMs: 300, seed: 3 };
    const { requests, retries } = simulate(load);
    const isShedding = (at: number): boolean => at >= SHEDDING_FROM_MS && at < SHEDDING_TO_MS;
    const rejected = (requests.filter(isShedding).length + retries.length) * 0.1;
    expect(retries.length).toBeGreaterThan(rejected * 0.9);
  });
});
