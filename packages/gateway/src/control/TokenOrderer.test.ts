/**
 * Guards against refusals of teams within their rate while the VM of the leader is saturated, as after a loss of power of
 * all control VMs: 5 hubs, 80 teams that are all low on tokens, 470 requests a second, answers of the leader after 500 ms.
 */
import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { Random } from '@marigoldbank/base/random';
import { makeTeam } from '@marigoldbank/routing/fixtures';
import { TeamBuckets } from '@marigoldbank/routing/TeamBuckets';
import { TOKEN_LIFETIME_MS } from '@marigoldbank/routing/TeamTokens';
import { expect } from 'earl';
import { TokenOrderer } from './TokenOrderer.js';

const HUBS = 5;
const ANSWER_MS = 500;
const END_MS = 10_000;

/** An entry decides by itself after half of the time of a request, here of one with a deadline of 1,200 ms. */
const PATIENCE_MS = 600;

interface TeamLoad {
  readonly name: string;
  readonly ratePerSecond: number;
  /** Demand as a multiple of the rate. */
  readonly demand: number;
}

interface Counts {
  asked: number;
  granted: number;
  refused: number;
  /** Without an answer in time. */
  late: number;
  readonly grantedAt: number[];
}

function makeTeams(count: number, demand: number): TeamLoad[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `team-${i}`,
    ratePerSecond: i % 10 === 0 ? 40 : 5,
    demand,
  }));
}

/** Sends requests of teams to hubs at random; the leader answers each order after `ANSWER_MS`. */
function simulate(teams: readonly TeamLoad[], seed: number): Map<string, Counts> {
  const clock = new VirtualClock();
  const random = new Random(seed);
  const leader = new TeamBuckets(random);
  leader.configure(
    teams.map(({ name, ratePerSecond }) => makeTeam({ name, ratePerSecond, burst: ratePerSecond })),
    0,
  );
  const hubs = Array.from({ length: HUBS }, () => {
    const orderer: TokenOrderer = new TokenOrderer({
      clock,
      send: ({ id, orders }) => {
        clock.setTimeout(() => {
          const grants = orders.map((order) => leader.takeOrder(order, clock.now()));
          orderer.take(id, grants);
        }, ANSWER_MS);
      },
    });
    return orderer;
  });
  const results = new Map<string, Counts>();
  teams.forEach(({ name, ratePerSecond, demand }) => {
    const counts: Counts = { asked: 0, granted: 0, refused: 0, late: 0, grantedAt: [] };
    results.set(name, counts);
    const arrive = (): void => {
      counts.asked += 1;
      const askedAt = clock.now();
      random.pick(hubs)!.request(name, ({ kind }) => {
        const isLate = clock.now() - askedAt > PATIENCE_MS;
        if (isLate) counts.late += 1;
        else if (kind === 'refused') counts.refused += 1;
        if (kind !== 'granted') return;
        counts.granted += 1;
        counts.grantedAt.push(clock.now());
      });
      const gapMs = random.exponential(1_000 / (ratePerSecond * demand));
      if (clock.now() + gapMs < END_MS) clock.setTimeout(arrive, gapMs);
    };
    clock.setTimeout(arrive, random.float() * 100);
  });
  clock.advance(END_MS + 2_000);
  hubs.forEach((hub) => hub.dispose());
  return results;
}

function total(results: Map<string, Counts>, key: 'asked' | 'refused' | 'late'): number {
  return [...results.values()].reduce((sum, counts) => sum + counts[key], 0);
}

describe('TokenOrderer', () => {
  it('serves teams at 0.63 of their rate beside a leader that answers after half a second', () => {
    const results = simulate(makeTeams(80, 0.63), 1);
    const unserved = total(results, 'refused') + total(results, 'late');
    expect(unserved / total(results, 'asked')).toBeLessThan(0.05);
  });

  it('grants a team at eight times its rate no more than that and its burst', () => {
    const results = simulate(
      [...makeTeams(20, 0.63), { name: 'hot', ratePerSecond: 40, demand: 8 }],
      2,
    );
    const { grantedAt } = results.get('hot')!;
    const WINDOW_MS = 5_000;
    const most = Math.max(
      ...grantedAt.map(
        (from) => grantedAt.filter((at) => at >= from && at < from + WINDOW_MS).length,
      ),
    );
    expect(most).toBeLessThanOrEqual(
      40 + (40 * (WINDOW_MS + TOKEN_LIFETIME_MS + ANSWER_MS)) / 1_000,
    );
  });

  it('leaves the others their share while a team sends eight times its rate', () => {
    const results = simulate(
      [...makeTeams(20, 0.63), { name: 'hot', ratePerSecond: 40, demand: 8 }],
      3,
    );
    results.delete('hot');
    const unserved = total(results, 'refused') + total(results, 'late');
    expect(unserved / total(results, 'asked')).toBeLessThan(0.05);
  });
});
