/**
 * Guards against refusals of teams within their rates while no budget holder is reached: with 276 entries an even share of
 * most teams is far below one token, so that three quarters of a quiet day's requests were refused.
 */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { makeTeam } from './fixtures.js';
import type { Team } from './plan.js';
import { TeamBuckets } from './TeamBuckets.js';
import { TeamRateLimiter } from './TeamRateLimiter.js';

const OUTAGE_MS = 10_000;
const WINDOW_MS = 5_000;

/** Terms of the users' platform. */
const ALLOWED_OVERSHOOT = 0.1;
const SLACK = 20;

const SIZES = [
  { entries: 276, teams: 140, holders: 10 },
  { entries: 552, teams: 1_000, holders: 20 },
];

interface Request {
  readonly at: number;
  readonly team: Team;
  readonly entry: number;
}

/** A few large teams and many small ones, whose rates follow a power law. */
function makeTeams(count: number): Team[] {
  return Array.from({ length: count }, (_, i) => {
    const ratePerSecond = Math.max(2, 120 / (i + 1) ** 0.8);
    return makeTeam({ name: `team-${i}`, ratePerSecond, burst: ratePerSecond });
  });
}

function makeRequests(
  random: Random,
  teams: readonly Team[],
  entries: number,
  demand: number,
): Request[] {
  return teams
    .flatMap((team) => {
      const requests: Request[] = [];
      for (let at = 0; at < OUTAGE_MS;) {
        at += random.exponential(1_000 / (demand * team.ratePerSecond));
        requests.push({ at, team, entry: random.int(entries) });
      }
      return requests;
    })
    .sort((a, b) => a.at - b.at);
}

function mostOverLimit(teams: readonly Team[], admitted: readonly Request[]): number {
  return Math.max(
    ...teams.map((team) => {
      const times = admitted.filter((req) => req.team === team).map(({ at }) => at);
      const counts = times.map(
        (from) => times.filter((at) => at >= from && at <= from + WINDOW_MS).length,
      );
      const { ratePerSecond, burst } = team;
      const allowed =
        ((ratePerSecond * WINDOW_MS) / 1_000 + burst) * (1 + ALLOWED_OVERSHOOT) + SLACK;
      return Math.max(0, ...counts) / allowed;
    }),
  );
}

function makeLimiters(
  teams: readonly Team[],
  entries: number,
  isTight: boolean,
): TeamRateLimiter[] {
  return Array.from({ length: entries }, (_, i) => {
    const limiter = new TeamRateLimiter(new Random(i + 1));
    teams.forEach(({ name }) => limiter.setTight(name, isTight));
    return limiter;
  });
}

describe('entries without a budget holder', () => {
  SIZES.forEach(({ entries, teams: count }) => {
    [0.5, 0.75, 0.95].forEach((demand) => {
      it(`refuse at most 5% of the requests of ${count} teams at ${demand} of their rates, ${entries} entries`, () => {
        const random = new Random(3);
        const teams = makeTeams(count);
        const limiters = makeLimiters(teams, entries, false);
        const requests = makeRequests(random, teams, entries, demand);
        const admitted = requests.filter(
          ({ at, team, entry }) =>
            limiters[entry]!.decide(team, false, entries, 0, at).kind === 'admitted',
        );
        expect(1 - admitted.length / requests.length).toBeLessThanOrEqual(0.05);
        expect(mostOverLimit(teams, admitted)).toBeLessThanOrEqual(1);
      });
    });

    it(`keep teams to their rates that were low on tokens before and ask for 2.5 times as much, ${entries} entries`, () => {
      const random = new Random(4);
      const teams = makeTeams(count);
      const limiters = makeLimiters(teams, entries, true);
      const admitted = makeRequests(random, teams, entries, 2.5).filter(
        ({ at, team, entry }) =>
          limiters[entry]!.decide(team, false, entries, 0, at).kind === 'admitted',
      );
      expect(mostOverLimit(teams, admitted)).toBeLessThanOrEqual(1);
    });
  });
});

describe('hubs without a leader', () => {
  SIZES.forEach(({ entries, teams: count, holders }) => {
    [0.5, 0.75].forEach((demand) => {
      it(`refuse at most 5% of the requests of ${count} teams at ${demand} of their rates, ${holders} hubs`, () => {
        const random = new Random(5);
        const teams = makeTeams(count);
        const hubs = Array.from({ length: holders }, (_, i) => {
          const buckets = new TeamBuckets(new Random(i + 1));
          buckets.configure(teams, 0, {
            rateFraction: 0.9 / holders,
            isPart: true,
            wasTight: () => false,
          });
          return buckets;
        });
        const requests = makeRequests(random, teams, entries, demand);
        const admitted = requests.filter(
          ({ at, team, entry }) => hubs[entry % holders]!.take(team.name, at).kind === 'granted',
        );
        expect(1 - admitted.length / requests.length).toBeLessThanOrEqual(0.05);
        expect(mostOverLimit(teams, admitted)).toBeLessThanOrEqual(1);
      });
    });

    it(`keep teams to their rates that ask for five times as much from the start on, ${holders} hubs`, () => {
      const random = new Random(6);
      const teams = makeTeams(count);
      const hubs = Array.from({ length: holders }, (_, i) => {
        const buckets = new TeamBuckets(new Random(i + 1));
        buckets.configure(teams, 0, {
          rateFraction: 0.9 / holders,
          isPart: true,
          wasTight: () => true,
        });
        return buckets;
      });
      const admitted = makeRequests(random, teams, entries, 5).filter(
        ({ at, team, entry }) => hubs[entry % holders]!.take(team.name, at).kind === 'granted',
      );
      expect(mostOverLimit(teams, admitted)).toBeLessThanOrEqual(1);
    });
  });
});
