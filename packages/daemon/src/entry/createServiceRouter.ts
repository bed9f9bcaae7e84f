/** Puts the queue of a service in front of its targets. */
import { FairQueue } from '@marigoldbank/admission';
import type { Clock } from '@marigoldbank/base/clock';
import type { IRetryBudget, ITargetPool } from '@marigoldbank/ejection';
import type { ServiceRouter, TargetPermit, TargetRequest } from './types.js';

const MAX_WAITING = 2_000;
const MAX_WAITING_PER_TEAM = 500;

/** Makes the router of a service. Wake its queue after each update of the pool. */
export function createServiceRouter(
  clock: Clock,
  pool: ITargetPool,
  retries: IRetryBudget,
): ServiceRouter {
  const queue = new FairQueue<TargetPermit, TargetRequest>({
    clock,
    maxWaiting: MAX_WAITING,
    maxWaitingPerTeam: MAX_WAITING_PER_TEAM,
    tryAcquire: (req) => {
      const lease = pool.tryChoose(req);
      return lease === undefined ? undefined : { lease, dispose: () => undefined };
    },
  });
  return { pool, queue, retries };
}
