import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { expect } from 'earl';
import { makeAnnouncement } from '../testing/fixtures.js';
import { encodeCommand } from './commands.js';
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

  // Levels and placement counted on the slots of targets that get no requests.
  it('leaves targets that leave and those of evacuated data centres out of the usable ones', () => {
    const stateMachine = new PlanStateMachine();
    const targets = new HubTargets({
      clock: new VirtualClock(),
      stateMachine,
      logger: new NullLogger(),
    });
    const announced = [
      { id: 't1', address: '10.0.1.1:80', dataCentre: 'dc-1' },
      { id: 't2', address: '10.0.1.2:80', dataCentre: 'dc-2' },
      { id: 't3', address: '10.0.1.3:80', dataCentre: 'dc-2', isDraining: true },
    ];
    announced.forEach((fields) => targets.register(makeAnnouncement(fields), 0));
    const usable = (): string[] => targets.describeUsable().map(({ id }) => id);
    expect(usable()).toEqual(['t1', 't2']);
    const order = { dataCentre: 'dc-1', isEvacuated: true, base: 0, id: 'o1' };
    stateMachine.apply(1, encodeCommand({ kind: 'orderEvacuation', ...order }));
    expect(usable()).toEqual(['t2']);
  });
});
