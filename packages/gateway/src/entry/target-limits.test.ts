/** Rates that targets name in their answers, in virtual time, with the entries of the small and the grown deployments. */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { makePlan, makeTarget } from '@marigoldbank/routing/fixtures';
import { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { expect } from 'earl';
import { FakeFleet } from '../testing/FakeFleet.js';
import { FakeUpstream } from '../testing/FakeUpstream.js';
import { HEADER_NAMES, makeRunRequest, TEST_MEMORY_BYTES } from '../testing/fixtures.js';
import { RequestRun } from './RequestRun.js';
import type { RunOutcome } from './run-types.js';

const LIMITED = 'target-0';
const TARGETS = 10;
const REQUESTS_PER_TARGET_AND_SECOND = 10;
const STEP_MS = 10;
const ANNOUNCEMENT_MS = 5_000;

/** A target names its limit from this time on, and not any more after the second. */
const LIMITED_FROM_MS = 3_000;
const LIMITED_UNTIL_MS = 16_000;

/** The rule about limits binds this long after a target has named its limit for the first time. */
const CONTACT_MS = 3_000;

const WINDOW_MS = 4_000;

/** An entry that got an answer which names the limit counts this long after it. */
const KNOWN_MS = 500;

/** Time that a target takes for a request. */
const DURATION_MS = 100;

interface Sent {
  readonly at: number;
  readonly entry: string;
}

interface Result {
  /** Requests to the limited target, by time since the start. */
  readonly sent: readonly Sent[];
  /** Time at which each entry first got an answer that names the limit. */
  readonly toldAt: ReadonlyMap<string, number>;
  readonly outcomes: readonly { readonly at: number; readonly outcome: RunOutcome }[];
}

interface Options {
  readonly entryCount: number;
  readonly hubCount: number;
  readonly limit: number;
  readonly seed: number;
  /** Targets that name the limit. */
  readonly limitedCount?: number;
  /** What happens in between, called before each step with the time since the start. */
  readonly disrupt?: (fleet: FakeFleet, at: number) => void;
}

function isLimitedAt(at: number): boolean {
  return at >= LIMITED_FROM_MS && at < LIMITED_UNTIL_MS;
}

/** Lets the entries of a fleet send requests at a constant rate, each at a random one. */
async function play(options: Options, durationMs: number): Promise<Result> {
  const { entryCount, hubCount, limit, seed, limitedCount = 1 } = options;
  const fleet = new FakeFleet({
    seed,
    hubs: Array.from({ length: hubCount }, () => 'dc-1'),
    entries: Array.from({ length: entryCount }, () => 'dc-1'),
  });
  const targets = Array.from({ length: TARGETS }, (_, i) => makeTarget(`target-${i}`));
  const announce = (seq: number): void =>
    fleet.hubs.forEach(({ hub, clock }) =>
      targets.forEach((info) => hub.announce({ ...info, version: '', seq, born: 1 }, clock.now())),
    );
  announce(1);
  fleet.commit(makePlan());
  await fleet.advance(3_000);
  const startedAt = fleet.clock.now();
  const since = (): number => fleet.clock.now() - startedAt;
  const isLimited = (target: string): boolean =>
    Number(target.split('-')[1]) < limitedCount && isLimitedAt(since());
  const upstream = new FakeUpstream({
    clock: fleet.clock,
    durationMs: DURATION_MS,
    headersOf: (target) => ({
      'x-seal': 's',
      ...(isLimited(target) ? { 'x-rate-limit': String(limit) } : {}),
    }),
  });
  const outcomes: { at: number; outcome: RunOutcome }[] = [];
  const random = new Random(seed);
  const request = ({ vm, state, reporter, clock }: (typeof fleet.entries)[number]): void => {
    const at = since();
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
      .then((outcome) => outcomes.push({ at, outcome }))
      .catch(() => undefined);
  };
  const perStep = (TARGETS * REQUESTS_PER_TARGET_AND_SECOND * STEP_MS) / 1_000;
  while (since() < durationMs) {
    options.disrupt?.(fleet, since());
    if (since() % ANNOUNCEMENT_MS === 0) announce(since());
    Array.from({ length: perStep }).forEach(() => request(random.pick(fleet.entries)!));
    await fleet.advance(STEP_MS);
  }
  const sent = upstream.arrivals
    .filter(({ target }) => target === LIMITED)
    .map(({ at, entry }) => ({ at: at - startedAt, entry }));
  const toldAt = new Map(
    sent
      .filter(({ at }) => isLimitedAt(at + DURATION_MS))
      .reverse()
      .map(({ at, entry }) => [entry, at + DURATION_MS]),
  );
  return { sent, toldAt, outcomes };
}

/**
 * Largest number of requests in a window, once the rule binds: from all entries, or from those that got an answer that
 * names the limit at least `knownMs` before.
 */
function worstWindow({ sent, toldAt }: Result, knownMs?: number): number {
  const isCounted = ({ at, entry }: Sent): boolean =>
    knownMs === undefined || at >= (toldAt.get(entry) ?? Infinity) + knownMs;
  const counted = sent
    .filter(isCounted)
    .map(({ at }) => at)
    .filter((at) => at >= LIMITED_FROM_MS + CONTACT_MS && at < LIMITED_UNTIL_MS);
  const inWindow = counted.map(
    (from) => counted.filter((at) => at >= from && at < from + WINDOW_MS).length,
  );
  return Math.max(0, ...inWindow);
}

function allowed(limit: number): number {
  return 1.5 * limit * (WINDOW_MS / 1_000) + 5;
}

// Each entry sent to a target as before, although the target had named the rate that it takes from all of them together.
describe('the entries of a fleet', () => {
  [
    { entryCount: 40, hubCount: 3, limit: 2.3 },
    { entryCount: 111, hubCount: 7, limit: 2.3 },
    { entryCount: 333, hubCount: 7, limit: 4 },
  ].forEach((size) => {
    it(`together keep to the rate that a target has named, with ${size.entryCount} entries`, async () => {
      const result = await play({ ...size, seed: 1 }, LIMITED_UNTIL_MS);
      expect(worstWindow(result)).toBeLessThanOrEqual(allowed(size.limit));
    });
  });

  const small = { entryCount: 40, hubCount: 3, limit: 2.3 };

  it('keep to it while no hub passes on what a target says', async () => {
    const cut = (fleet: FakeFleet, at: number): void => {
      if (at >= LIMITED_FROM_MS) {
        fleet.hubs.forEach((hub) => Object.assign(hub, { delayMs: 60_000 }));
      }
    };
    const told = await play({ ...small, seed: 2, disrupt: cut }, LIMITED_UNTIL_MS);
    expect(worstWindow(told, KNOWN_MS)).toBeLessThanOrEqual(allowed(small.limit));
  });

  it('send as usual again to a target that names no limit any more', async () => {
    const { sent } = await play({ ...small, seed: 3 }, LIMITED_UNTIL_MS + 8_000);
    const later = sent.filter(({ at }) => at >= LIMITED_UNTIL_MS + 4_000);
    expect(later.length).toBeGreaterThan(allowed(small.limit));
  });

  it('refuse a request at once, and say when to come back, if all targets have used up their limits', async () => {
    const options = { ...small, seed: 4, limitedCount: TARGETS };
    const { outcomes } = await play(options, LIMITED_UNTIL_MS);
    const limited = outcomes.filter(({ at }) => at >= LIMITED_FROM_MS + 1_000);
    const refusals = limited.flatMap(({ outcome }) =>
      outcome.kind === 'refused' ? [outcome.error] : [],
    );
    expect(refusals.length).toBeGreaterThan(limited.length / 2);
    expect(refusals.length).toBeLessThan(limited.length * 0.95);
    expect(new Set(refusals.map(({ kind }) => kind))).toEqual(new Set(['overloaded']));
    const waits = refusals.map((error) => ('retryAfterMs' in error ? error.retryAfterMs : 0));
    expect(Math.min(...waits)).toBeGreaterThan(100);
    expect(Math.max(...waits)).toBeLessThanOrEqual(1_000);
  });
});
