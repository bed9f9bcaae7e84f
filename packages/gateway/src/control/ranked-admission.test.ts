/** Admission by rank from the demand that entries count to the refusals that they decide, in virtual time. */
import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import {
  EntryReportSchema,
  HubRelaySchema,
  HubUpdateSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { makePlan, makeRoute, makeTarget } from '@marigoldbank/routing/fixtures';
import { diffPlanItems, toPlanItems } from '@marigoldbank/routing/plan-items';
import { pickService } from '@marigoldbank/routing/RouteTable';
import { expect } from 'earl';
import { CapacityExtension } from '../entry/CapacityExtension.js';
import { createEntryExtensions } from '../entry/entry-extensions.js';
import { EntryState } from '../entry/EntryState.js';
import { RankedAdmission } from '../entry/RankedAdmission.js';
import { RequestRun } from '../entry/RequestRun.js';
import type { RunContext } from '../entry/run-types.js';
import { makeSettings } from '../testing/fake-fleet-parts.js';
import { makeAnnouncement, makeRunRequest } from '../testing/fixtures.js';
import type { GatewaySettings } from '../settings.js';
import { EntryRegistry, OWN_HUB } from './EntryRegistry.js';
import type { HubUpdateInit } from './EntrySession.js';
import { createHubExtensions } from './hub-extensions.js';
import { HubTargets } from './HubTargets.js';
import { LevelDistributor } from './LevelDistributor.js';
import { PlanStateMachine } from './PlanStateMachine.js';
import type { HubRelayInit } from './RelayLink.js';

const SLOTS = 6;
const TARGETS = 5;
const TICK_MS = 200;
const DUE_MS = 3_000;
const URGENT = makeRoute({ name: 'read', prefix: '/read/', priority: 0 });
const OTHER = makeRoute({ name: 'sync', prefix: '/sync/', priority: 2 });
const PLAN = makePlan({ routes: [URGENT, OTHER], teams: [], hasTeams: false });
const OFF = makeSettings('10.0.0.1', 'dc-1');
const ON: GatewaySettings = {
  ...OFF,
  overload: {
    rankedAdmission: true,
    slotQueue: true,
    offeredRetryBudget: 'none',
    teamTolerance: 'none',
  },
};

function makeState(seed: number): EntryState {
  const state = new EntryState({ ratio: 0.2, slack: 0, windowMs: 10_000 }, new Random(seed));
  state.applyPlan(undefined, 1, diffPlanItems(new Map(), toPlanItems(PLAN)));
  return state;
}

/** Two hubs with one entry each. All slots of the targets are in use. */
class Fixture {
  public readonly clock = new VirtualClock();

  public readonly relays: HubRelayInit[] = [];

  public refused = new Map<string, number>();

  private readonly entries = [1, 2].map((seed) => {
    const state = makeState(seed);
    const ctx = { clock: this.clock, logger: new NullLogger(), settings: ON, state };
    const extension = createEntryExtensions(ctx).find((part) => part instanceof RankedAdmission);
    state.applyPlan(undefined, 1, diffPlanItems(new Map(), toPlanItems(PLAN)));
    return extension as RankedAdmission;
  });

  private readonly hubs = this.entries.map((entry, i) => this.makeHub(entry, i));

  /** Requests of each kind arrive at each entry with this rate, and targets end them with another one. */
  public run(durationMs: number, perSecond: number, endedPerSecond: number): void {
    this.refused = new Map();
    const target = {
      info: makeTarget('t1'),
    } as Parameters<RankedAdmission['noteCancelled']>[0];
    Array.from({ length: durationMs / TICK_MS }).forEach(() => {
      this.clock.advance(TICK_MS);
      const now = this.clock.now();
      this.entries.forEach((entry, i) => {
        const times = (rate: number): undefined[] =>
          Array.from({ length: (rate * TICK_MS) / 1_000 });
        times(perSecond).forEach(() => {
          this.request(entry, URGENT, now);
          this.request(entry, OTHER, now);
        });
        times(endedPerSecond).forEach(() => entry.noteCancelled(target));
        const report = create(EntryReportSchema, entry.takeReport());
        this.hubs[i]!.handleReport({ vm: `e${i}`, address: '', dataCentre: 'dc-1' }, report, now);
      });
      this.hubs.forEach((hub) => hub.tick(now));
    });
  }

  private request(entry: RankedAdmission, route: typeof URGENT, now: number): void {
    const { error } = entry.decide(route, undefined, now + DUE_MS);
    if (error === undefined) return;
    expect(error.verdict).toEqual('notRun');
    this.refused.set(route.name, (this.refused.get(route.name) ?? 0) + 1);
  }

  private makeHub(entry: RankedAdmission, index: number): LevelDistributor {
    const { clock } = this;
    const logger = new NullLogger();
    const stateMachine = new PlanStateMachine();
    const targets = new HubTargets({ clock, stateMachine, logger });
    Array.from({ length: TARGETS }, (_, i) => i).forEach((i) =>
      targets.register(makeAnnouncement({ id: `t${i}`, address: `10.0.1.${i}:80` }), 0),
    );
    const entries = new EntryRegistry();
    entries.set(OWN_HUB, { vm: `e${index}`, address: '', dataCentre: 'dc-1' }, true);
    const extension = createHubExtensions({
      clock,
      logger,
      settings: ON,
      stateMachine,
      entries,
      targets,
      inFlight: () => SLOTS,
      reachableShare: () => 1,
      sendToEntries: (update: HubUpdateInit) =>
        entry.apply(create(HubUpdateSchema, update), false, clock.now()),
      sendToHubs: (relay) => {
        this.relays.push(relay);
        const other = this.hubs[1 - index]!;
        other.handleRelay(create(HubRelaySchema, relay), undefined, clock.now());
      },
    }).find((part) => part instanceof LevelDistributor);
    const hub = extension as LevelDistributor;
    hub.planChanged(PLAN);
    return hub;
  }
}

describe('ranked admission of hubs and entries', () => {
  // Guards against counts that do not reach all hubs, and levels that do not reach entries.
  it('refuses the least urgent requests while demand exceeds the room', () => {
    const fixture = new Fixture();
    fixture.run(4_000, 50, 70);
    expect(fixture.refused.size).toEqual(1);
    expect(fixture.refused.get(OTHER.name)! > 0).toEqual(true);
    // One message for each tick and hub, not for each request.
    expect(fixture.relays.length).toBeLessThanOrEqual((2 * 4_000) / TICK_MS);
  });

  // Guards against refusals while the slots are in use but demand does not exceed what they process.
  it('admits all requests while targets keep up', () => {
    const fixture = new Fixture();
    fixture.run(6_000, 50, 100);
    expect(fixture.refused.size).toEqual(0);
  });

  // Guards against levels that outlive the overload.
  it('relaxes by steps when the demand falls', () => {
    const fixture = new Fixture();
    fixture.run(6_000, 100, 50);
    expect(fixture.refused.get(OTHER.name)! > 0).toEqual(true);
    fixture.run(10_000, 15, 50);
    fixture.run(2_000, 15, 50);
    expect(fixture.refused.size).toEqual(0);
  });

  // Guards against other decisions of fleets that do not enable it: the previous code drew one random number for a run.
  it('changes nothing while the setting is off', () => {
    const state = makeState(5);
    const clock = new VirtualClock();
    const ctx = { clock, logger: new NullLogger(), settings: OFF, state };
    const isOverloadPart = (part: object): boolean =>
      part instanceof RankedAdmission || part instanceof CapacityExtension;
    expect(createEntryExtensions(ctx).filter(isOverloadPart)).toEqual([]);
    expect(state.rankedAdmission).toEqual(undefined);
    const shares = [
      { service: 'orders', weight: 1 },
      { service: 'stock', weight: 2 },
    ];
    const route = makeRoute({ shares });
    const previous = new Random(5);
    Array.from({ length: 500 }).forEach(() => {
      const request = { ...makeRunRequest(0, true), route };
      const { trace } = new RequestRun({ clock, state } as unknown as RunContext, request);
      expect(trace.service).toEqual(pickService(route, previous.float()));
    });
    expect(state.random.float()).toEqual(previous.float());
  });
});
