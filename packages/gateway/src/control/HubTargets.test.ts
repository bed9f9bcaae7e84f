import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { expect } from 'earl';
import { makeAnnouncement } from '../testing/fixtures.js';
import { HubTargets } from './HubTargets.js';
import { PlanStateMachine } from './PlanStateMachine.js';

const HEARTBEAT_MS = 1_500;

describe('HubTargets', () => {
  // Each hub told all others of each heartbeat of each target, which was a third of the bytes between data centres.
  it('has other hubs told of a target that does not change every 5 s, and of changes at once', () => {
    const clock = new VirtualClock();
    const targets = new HubTargets({
      clock,
      stateMachine: new PlanStateMachine(),
      logger: new NullLogger(),
    });
    const isToldOf = (seq: number, isDraining = false): boolean =>
      targets.register(makeAnnouncement({ seq, isDraining }), clock.now());
    const told = Array.from({ length: 9 }, (_, i) => {
      const result = isToldOf(i + 1);
      clock.advance(HEARTBEAT_MS);
      return result;
    });
    expect(told).toEqual([true, false, false, false, true, false, false, false, true]);
    expect(isToldOf(3)).toEqual(false);
    expect(isToldOf(20, true)).toEqual(true);
  });
});
