/** Entries after a loss of power of all control VMs, in virtual time, while the log processes answer and have no leader. */
import { describe, it } from 'node:test';
import { makeRoute } from '@marigoldbank/routing/fixtures';
import { isNewerVersion, type RoutingPlan } from '@marigoldbank/routing/plan';
import { expect } from 'earl';
import type { EntryState } from '../entry/EntryState.js';
import { FakeFleet } from '../testing/FakeFleet.js';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { losePower } from '../testing/losePower.js';

/** Time from the start of the last log process until no request is handled by a plan that was replaced. */
const KNOWN_MS = 2_500;

const DOWN_MS = 1_400;

const HOST = 'shop.example';

const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3', 'dc-4'];

/** Routes `kept` and `moved`, the second of which leads to a service of its own in each version. */
function makePlan(version: number, routeCount = 0): RoutingPlan {
  const others = Array.from({ length: routeCount }, (_, i) => makeRoute({ prefix: `/r-${i}/` }));
  const service = `orders-${version}`;
  return {
    ...makeEmptyPlan(version),
    hasTeams: false,
    routes: [
      makeRoute({ host: HOST, prefix: '/kept/' }),
      makeRoute({ host: HOST, prefix: '/moved/', shares: [{ service, weight: 1 }] }),
      ...others,
    ],
  };
}

/** Whether a request is handled by the plan in effect although that was replaced. */
function servesByOldPlan(state: EntryState, path: string): boolean {
  return isNewerVersion(2, state.planVersion) && !state.mayHandleOtherwise(HOST, path, undefined);
}

interface Scenario {
  readonly hubs: number;
  readonly entries: number;
  /** Time for an answer of a log process, and for the fetch of a plan besides. */
  readonly answerMs: number;
  readonly fetchMs?: number;
  /** Further routes of the second plan. With many of them it does not fit into a datagram. */
  readonly routeCount?: number;
  /** Share of the questions that are lost. */
  readonly loss?: number;
  /** The log processes start one after the other within this time. */
  readonly startWithinMs?: number;
  /** Time for the entries to find hubs before the loss of power. */
  readonly settleMs?: number;
}

async function startWithoutLeader(scenario: Scenario): Promise<FakeFleet> {
  const { hubs, entries, answerMs, fetchMs = 20, routeCount = 0 } = scenario;
  const { loss = 0, startWithinMs = 0, settleMs = 5_000 } = scenario;
  const fleet = new FakeFleet({
    hubs: Array.from({ length: hubs }, (_, i) => DATA_CENTRES[i % 4]!),
    entries: Array.from({ length: entries }, (_, i) => DATA_CENTRES[i % 4]!),
  });
  fleet.commit(makePlan(1));
  await fleet.advance(settleMs);
  Object.assign(fleet.logs, { planAnswerMs: answerMs, planFetchMs: fetchMs, planLoss: loss });
  losePower(fleet, makePlan(2, routeCount), DOWN_MS, startWithinMs);
  await fleet.advance(DOWN_MS + startWithinMs + KNOWN_MS);
  return fleet;
}

function expectKnownEverywhere(fleet: FakeFleet): void {
  const outdated = fleet.entries.filter(({ state }) => servesByOldPlan(state, '/moved/x'));
  expect(outdated.length).toEqual(0);
  const refusing = fleet.entries.filter(({ state }) =>
    state.mayHandleOtherwise(HOST, '/kept/x', undefined),
  );
  expect(refusing.length).toEqual(0);
}

const SIZES = [
  { hubs: 7, entries: 111 },
  { hubs: 11, entries: 276 },
  { hubs: 20, entries: 1_104 },
];

// Entries asked control VMs and got no answer of use before there was a leader, and served by the plan before for as long.
describe('a plan that was acknowledged right before all control VMs lost power', () => {
  const sizes = SIZES.filter(({ hubs }) => hubs !== 11);
  const speeds = [
    { answerMs: 2, fetchMs: 20, routeCount: 0 },
    { answerMs: 350, fetchMs: 20, routeCount: 0 },
    { answerMs: 150, fetchMs: 600, routeCount: 200 },
  ];
  sizes.forEach((size) => {
    speeds.forEach((speed) => {
      const name = `${size.entries} entries, answers after ${speed.answerMs} ms, ${speed.routeCount} more routes`;
      it(`is not ignored 2.5 s after the start, and the rest is served: ${name}`, async () => {
        expectKnownEverywhere(await startWithoutLeader({ ...size, ...speed, settleMs: 15_000 }));
      });
    });
  });
});

// Answers that took more than a second were thrown away: entries whose log processes answered after 1.05 s served by the plan
// before for as long as that lasted.
describe('a plan that was acknowledged before a loss of power, while log processes are saturated', () => {
  const speeds = [1_050, 1_500];
  SIZES.forEach((size) => {
    speeds.forEach((answerMs) => {
      it(`is not ignored 2.5 s after the start: ${size.entries} entries, answers after ${answerMs} ms`, async () => {
        expectKnownEverywhere(await startWithoutLeader({ ...size, answerMs }));
      });
    });
  });

  [0.1, 0.3].forEach((loss) => {
    it(`is not ignored 2.5 s after the start if ${loss} of the questions are lost`, async () => {
      expectKnownEverywhere(
        await startWithoutLeader({ hubs: 7, entries: 111, answerMs: 1_050, loss }),
      );
    });
  });

  it('is not ignored 2.5 s after the last start if log processes start within a second', async () => {
    expectKnownEverywhere(
      await startWithoutLeader({ hubs: 11, entries: 276, answerMs: 1_500, startWithinMs: 1_000 }),
    );
  });

  // Changes of six routes did not fit into a datagram, so that entries refused all requests until a call for them ended.
  it('leaves the rest served without any call for the plan: 111 entries, 6 more routes', async () => {
    expectKnownEverywhere(
      await startWithoutLeader({
        hubs: 7,
        entries: 111,
        answerMs: 1_050,
        routeCount: 6,
        fetchMs: 60_000,
      }),
    );
  });
});
