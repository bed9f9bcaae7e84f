import type { RoutingPlan } from '@marigoldbank/routing/plan';
import type { CommandInit } from '../control/commands.js';
import { PlanStateMachine } from '../control/PlanStateMachine.js';
import { makeHistory, VOTERS } from './fake-fleet-parts.js';
import type { FakeFleet } from './FakeFleet.js';

/** Time for which a hub is silent after its VM has power again. */
const HUB_START_MS = 60_000;

/**
 * Lets all control VMs of a fleet lose power for `downMs`, right after a plan was acknowledged that a majority of the voters has
 * stored and nobody else has. Afterwards the log processes answer, without a leader, and the hubs do not. They start within
 * `startWithinMs`, one after the other.
 */
export function losePower(
  fleet: FakeFleet,
  plan: RoutingPlan,
  downMs: number,
  startWithinMs = 0,
): void {
  const voters = fleet.hubs.slice(0, VOTERS);
  const command: CommandInit = { kind: 'putPlan', document: '', plan };
  voters
    .slice(0, Math.floor(voters.length / 2) + 1)
    .forEach(({ storedLog }) => storedLog.store(command));
  Object.assign(fleet, { isLeaderless: true });
  fleet.hubs.forEach((hub, i) => {
    fleet.freeze(hub, downMs + (startWithinMs * i) / Math.max(1, fleet.hubs.length - 1));
    fleet.occupy(hub, HUB_START_MS);
    const { storedLog } = hub;
    storedLog.commitIndex = 0;
    const logState = new PlanStateMachine();
    const history = makeHistory(fleet.clock, () => hub, logState, storedLog);
    Object.assign(hub, { logState, history, logConfirmedAt: -Infinity });
  });
}
