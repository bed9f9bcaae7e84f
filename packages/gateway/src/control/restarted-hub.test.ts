/** Guards against targets that are used again after a restart of a hub, though their end was acknowledged before. */
import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { expect } from 'earl';
import { makeAnnouncement } from '../testing/fixtures.js';
import { encodeCommand } from './commands.js';
import { HubTargets } from './HubTargets.js';
import { PlanStateMachine } from './PlanStateMachine.js';

/** A hub that has just started, with what the log process of its VM knows. */
function startHub(stateMachine: PlanStateMachine): HubTargets {
  return new HubTargets({ clock: new VirtualClock(), stateMachine, logger: new NullLogger() });
}

/** The state of a log in which a target has said that it leaves, as the hub gets it after a restart. */
function restore(isGone: boolean): PlanStateMachine {
  const before = new PlanStateMachine();
  before.apply(1, encodeCommand({ kind: 'markLeaving', id: 't1', born: 100, isGone, at: 0 }));
  const after = new PlanStateMachine();
  after.restore(before.snapshot());
  return after;
}

describe('a hub that has restarted', () => {
  it('does not list a target that is gone, whatever other hubs still relay', () => {
    const targets = startHub(restore(true));
    targets.register(makeAnnouncement({ seq: 9, born: 100 }), 0);
    expect(targets.describeAll().filter(({ isDraining }) => isDraining !== true)).toEqual([]);
  });

  it('lists a target that is draining as such', () => {
    const targets = startHub(restore(false));
    targets.register(makeAnnouncement({ seq: 9, born: 100 }), 0);
    expect(targets.describeAll().map(({ isDraining }) => isDraining)).toEqual([true]);
  });

  it('lists a new incarnation of the target', () => {
    const targets = startHub(restore(true));
    targets.register(makeAnnouncement({ born: 101, seq: 1 }), 0);
    expect(targets.describeAll().map(({ isDraining }) => isDraining)).toEqual([false]);
  });
});
