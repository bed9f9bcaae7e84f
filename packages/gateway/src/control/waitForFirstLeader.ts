/**
 * Lets a log process that has just started elect a leader before it serves targets and operators. All targets of a fleet
 * announce themselves again when the control VMs return, and each announcement costs such a process as much as several votes.
 */
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { IReplicatedLog } from '@marigoldbank/replicated-log';

/** Longest wait. Without a leader, announcements are still passed on to the hub. */
const LEADER_WAIT_MS = 1_200;

const CHECK_MS = 20;

/** Resolves once a leader is known, or after 1.2 s. */
export async function waitForFirstLeader(
  log: Pick<IReplicatedLog, 'status'>,
  clock: Clock,
): Promise<void> {
  const until = clock.now() + LEADER_WAIT_MS;
  while (log.status().leader === undefined && clock.now() < until) await delay(clock, CHECK_MS);
}
