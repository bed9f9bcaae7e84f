/** Answers operators who ask a log process for its state: `GET /status` and `GET /audit`. Reads memory only. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { OrderHistory } from './OrderHistory.js';
import type { PlanStateMachine } from './PlanStateMachine.js';

export interface StatusContext {
  readonly vm: string;
  readonly isLeader: () => boolean;
  readonly stateMachine: PlanStateMachine;
  readonly history: OrderHistory;
}

type Handler = (req: IncomingMessage, res: ServerResponse) => void;

function statusOf({ vm, isLeader, stateMachine }: StatusContext): object {
  const { appliedIndex, current, evacuations } = stateMachine;
  return {
    vm,
    isLeader: isLeader(),
    appliedIndex,
    configuration: current?.plan.version ?? null,
    evacuations: Object.entries(evacuations.toRecord()).map(
      ([dataCentre, { isEvacuated, orders }]) => ({ dataCentre, isEvacuated, orders }),
    ),
  };
}

/** Other requests go to `next`. */
export function statusHandler(ctx: StatusContext, next: Handler): Handler {
  const answers: Readonly<Record<string, () => unknown>> = {
    '/status': () => statusOf(ctx),
    '/audit': () => ctx.history.list(),
  };
  return (req, res) => {
    const answer = req.method === 'GET' ? answers[req.url ?? ''] : undefined;
    if (answer === undefined) {
      next(req, res);
      return;
    }
    res.writeHead(200, { 'content-type': 'application/json' });
    res.end(`${JSON.stringify(answer())}\n`);
  };
}
