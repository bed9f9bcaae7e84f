/**
 * Targets that say in their answers that they leave or want a pause, in virtual time, with the entries of small, grown and
 * large deployments. Entries went on to send them requests, since hubs still announced them as ready.
 */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { makePlan, makeTarget } from '@marigoldbank/routing/fixtures';
import { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';
import { FakeUpstream, type FakeArrival } from '../testing/FakeUpstream.js';
import { HEADER_NAMES, makeRunRequest, TEST_MEMORY_BYTES } from '../testing/fixtures.js';
import { RequestRun } from './RequestRun.js';
import type { RunOutcome } from './run-types.js';

const TARGETS = 10;
const REQUESTS_PER_STEP = 4;
const STEP_MS = 10;
const DURATION_MS = 60;
const ANNOUNCEMENT_MS = 1_500;

/** The targets in question say so from this time on. */
const FROM_MS = 1_000;
const PAUSE_MS = 3_000;
const PAUSING = 9;

const SIZES = [
  { entryCount: 40, hubCount: 2 },
  { entryCount: 111, hubCount: 4 },
  { entryCount: 333, hubCount: 10 },
];

type Notice = 'leaving' | 'pause';

interface Options {
  readonly entryCount: number;
  readonly hubCount: number;
  readonly notice: Notice;
  /** Number of targets that say so. */
  readonly count: number;
  readonly disrupt?: (fleet: FakeFleet, at: number) => void;
}

interface Result {
  readonly arrivals: readonly FakeArrival[];
  readonly outcomes: readonly RunOutcome[];
}

async function play(options: Options, durationMs: number): Promise<Result> {
  const { entryCount, hubCount, notice, count } = options;
  const fleet = new FakeFleet({
    hubs: Array.from({ length: hubCount }, () => 'dc-1'),
    entries: Array.from({ length: entryCount }, () => 'dc-1'),
  });
  const targets = Array.from({ length: TARGETS }, (_, i) => makeTarget(`target-${i}`, { born: 1 }));
  const announce = (seq: number): void =>
    fleet.hubs.forEach(({ hub, clock }) =>
      targets.forEach((info) => hub.announce({ ...info, version: '', seq, born: 1 }, clock.now())),
    );
  announce(1);
  fleet.commit(makePlan());
  await fleet.advance(4_000);
  const startedAt = fleet.clock.now();
  const since = (): number => fleet.clock.now() - startedAt;
  const isConcerned = (target: string): boolean =>
    Number(target.split('-')[1]) < count && since() >= FROM_MS;
  const isRefusing = (target: string): boolean => notice === 'pause' && isConcerned(target);
  const upstream = new FakeUpstream({
    clock: fleet.clock,
    durationMs: DURATION_MS,
    statusOf: (target) => (isRefusing(target) ? 503 : 200),
    headersOf: (target) => ({
      'x-seal': 's',
      ...(isRefusing(target) ? { 'x-not-run': '1', 'retry-after': String(PAUSE_MS / 1_000) } : {}),
      ...(notice === 'leaving' && isConcerned(target) ? { 'x-leaving': '1' } : {}),
    }),
  });
  const outcomes: RunOutcome[] = [];
  const random = new Random(1);
  const request = ({ vm, state, reporter, clock }: (typeof fleet.entries)[number]): void => {
    new RequestRun(
      {
        clock,
        upstream: upstream.clientOf(vm, HEADER_NAMES.expectedTarget),
        reporter,
        names: HEADER_NAMES,
        memory: new MemoryBudget(TEST_MEMORY_BYTES),
        state,
        dataCentre: 'dc-1',
      },
      makeRunRequest(clock.now(), random.chance(0.5)),
    )
      .run()
      .then((outcome) => outcomes.push(outcome))
      .catch(() => undefined);
  };
  while (since() < durationMs) {
    options.disrupt?.(fleet, since());
    if (since() % ANNOUNCEMENT_MS === 0) announce(since() + 2);
    Array.from({ length: REQUESTS_PER_STEP }).forEach(() => request(random.pick(fleet.entries)!));
    await fleet.advance(STEP_MS);
  }
  const arrivals = upstream.arrivals.map((arrival) => ({ ...arrival, at: arrival.at - startedAt }));
  return { arrivals, outcomes };
}

/** Requests of an entry to a target after the first answer that has a notice, by the time since that answer. */
function afterNotice(arrivals: readonly FakeArrival[], count: number): Map<string, number[]> {
  const toldAt = new Map<string, number>();
  const later = new Map<string, number[]>();
  arrivals
    .filter(({ target }) => Number(target.split('-')[1]) < count)
    .forEach(({ entry, target, at }) => {
      const key = `${entry} ${target}`;
      const told = toldAt.get(key);
      if (told !== undefined && at > told) later.set(key, [...(later.get(key) ?? []), at - told]);
      if (told === undefined && at + DURATION_MS >= FROM_MS) toldAt.set(key, at + DURATION_MS);
    });
  return later;
}

describe('targets that say that they leave', () => {
  SIZES.forEach((size) => {
    it(`get nothing more from an entry that they told, ${size.entryCount} entries`, async () => {
      const { arrivals } = await play({ ...size, notice: 'leaving', count: 3 }, 6_000);
      expect(afterNotice(arrivals, 3).size).toEqual(0);
    });

    it(`get nothing more while hubs are late and entries move to others, ${size.entryCount} entries`, async () => {
      const disrupt = (fleet: FakeFleet, at: number): void => {
        if (at === 2_000) fleet.freeze(fleet.hubs[1]!, 3_000);
      };
      const { arrivals } = await play({ ...size, notice: 'leaving', count: 3, disrupt }, 8_000);
      expect(afterNotice(arrivals, 3).size).toEqual(0);
    });
  });
});

describe('targets that want a pause', () => {
  SIZES.forEach((size) => {
    it(`get at most two requests of an entry from 0.5 s after the refusal to its end, ${size.entryCount} entries`, async () => {
      // A third of the targets is avoided without a pause as well; most of them are not.
      const { arrivals } = await play({ ...size, notice: 'pause', count: PAUSING }, 6_000);
      const counts = [...afterNotice(arrivals, PAUSING).values()].map(
        (times) => times.filter((ms) => ms > 500 && ms < PAUSE_MS).length,
      );
      expect(Math.max(0, ...counts)).toBeLessThanOrEqual(2);
    });
  });

  it('get requests again after it', async () => {
    const { arrivals } = await play({ ...SIZES[0]!, notice: 'pause', count: 1 }, 8_000);
    const later = [...afterNotice(arrivals, 1).values()].flat();
    expect(later.some((ms) => ms >= PAUSE_MS)).toEqual(true);
  });

  it('refuse at once, with a time to come back that is spread, if they are all targets', async () => {
    const { outcomes } = await play({ ...SIZES[0]!, notice: 'pause', count: TARGETS }, 4_000);
    const waits = outcomes.flatMap((outcome) =>
      outcome.kind === 'refused' && outcome.error.kind === 'overloaded'
        ? [outcome.error.retryAfterMs]
        : [],
    );
    expect(waits.length).toBeGreaterThan(100);
    expect(new Set(waits).size).toBeGreaterThan(20);
    expect(Math.max(...waits)).toBeLessThanOrEqual(1.3 * PAUSE_MS);
  });
});
