/**
 * Load: teams at their usual rates, or at eight times these, while the holder of the budgets is lost and another one takes over.
 * Guards against refusals of teams within their rates, as entries without a holder and new holders assume the worst, and
 * against teams beyond their limits, as nobody knows what the others have admitted.
 */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { makeTeam } from './fixtures.js';
import type { Team } from './plan.js';
import { ISOLATED_RATE_FRACTION, TeamBuckets } from './TeamBuckets.js';
import { TeamRateLimiter } from './TeamRateLimiter.js';
import type { TeamTolerance } from './teamTolerance.js';

const ENTRIES = 24;
const END_MS = 16_000;
const WINDOW_MS = 5_000;

/** Time at which the previous holder is lost. */
const LOST_AT_MS = 6_000;

/** Usual demand of a team, as a part of its rate. */
const USUAL = 0.625;

const TOLERANCE: TeamTolerance = { overshoot: 0.1, slack: 20, windowMs: WINDOW_MS };

interface Outage {
  readonly lastsMs: number;
  /** Time from the first to the last entry that finds the new holder. */
  readonly joiningMs: number;
}

interface Played {
  readonly admitted: readonly number[];
  readonly refused: readonly number[];
}

/** Sets the share of a holder that withholds what `missing` entries without it may use. */
function configure(holder: TeamBuckets, team: Team, missing: number, now: number): void {
  holder.configure([team], now, {
    rateFraction: 1 - (ISOLATED_RATE_FRACTION * missing) / ENTRIES,
    wasTight: () => undefined,
    tolerance: TOLERANCE,
  });
}

/** Plays one team. Entries ask the holder for each request, as if the team were always low on tokens. */
function play(team: Team, demand: number, { lastsMs, joiningMs }: Outage, seed: number): Played {
  const random = new Random(seed);
  const restartedAt = LOST_AT_MS + lastsMs;
  const entries = Array.from({ length: ENTRIES }, (_, i) => ({
    limiter: new TeamRateLimiter(new Random(seed * ENTRIES + i), () => TOLERANCE),
    foundAt: restartedAt + random.float() * joiningMs,
    hasReported: false,
  }));
  const first = new TeamBuckets(new Random(1));
  const second = new TeamBuckets(new Random(2));
  configure(first, team, 0, 0);
  const admitted: number[] = [];
  const refused: number[] = [];
  const gapMs = 1_000 / (team.ratePerSecond * demand);
  for (let now = 0; now < END_MS; now += random.exponential(gapMs)) {
    const entry = entries[random.int(ENTRIES)]!;
    const { limiter, foundAt } = entry;
    if (now >= foundAt && !entry.hasReported) {
      entry.hasReported = true;
      configure(second, team, entries.filter((other) => other.foundAt > now).length, now);
      limiter.recentHistories(now).forEach((history) => second.addHistory(history, now));
    }
    const hasHolder = now < LOST_AT_MS || now >= foundAt;
    const holder = now < LOST_AT_MS ? first : second;
    const isAdmitted = hasHolder
      ? holder.take(team.name, now).kind === 'granted'
      : limiter.decide(team, false, ENTRIES, 0, now).kind === 'admitted';
    if (isAdmitted) limiter.countAdmitted(team.name, 1, now);
    (isAdmitted ? admitted : refused).push(now);
  }
  return { admitted, refused };
}

function mostInWindow(times: readonly number[]): number {
  const counts = times.map(
    (from, i) => times.slice(i).filter((at) => at <= from + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

const OUTAGES: readonly Outage[] = [
  { lastsMs: 1_000, joiningMs: 300 },
  { lastsMs: 3_000, joiningMs: 1_500 },
  { lastsMs: 6_000, joiningMs: 3_000 },
];
const RATES = [3, 12, 40, 120];
const SEEDS = [1, 2, 3, 4, 5];

describe('limits of teams around an outage of the budget holder', () => {
  OUTAGES.forEach((outage) => {
    const title = `${outage.lastsMs} ms, found within ${outage.joiningMs} ms`;

    it(`refuse at most 5% of teams within their rates, ${title}`, () => {
      const plays = RATES.flatMap((rate) =>
        SEEDS.map((seed) =>
          play(makeTeam({ ratePerSecond: rate, burst: rate }), USUAL, outage, seed),
        ),
      );
      const countOf = (key: keyof Played): number =>
        plays.flatMap((played) => played[key].filter((at) => at >= LOST_AT_MS)).length;
      const refused = countOf('refused');
      expect(refused / (refused + countOf('admitted'))).toBeLessThanOrEqual(0.05);
    });

    RATES.forEach((rate) => {
      it(`hold a team at eight times its usual, ${rate} requests/s, ${title}`, () => {
        const team = makeTeam({ ratePerSecond: rate, burst: rate });
        const limit = rate * (1 + WINDOW_MS / 1_000) * (1 + TOLERANCE.overshoot) + TOLERANCE.slack;
        const most = SEEDS.map((seed) =>
          mostInWindow(play(team, 8 * USUAL, outage, seed).admitted),
        );
        expect(Math.max(...most)).toBeLessThanOrEqual(limit);
      });
    });
  });
});
