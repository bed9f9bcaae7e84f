/**
 * Brings the orders of operators about evacuations into the replicated log. Each order names the number of earlier orders for
 * its data centre, and takes effect only as the next one: one that is still under way when a later order is committed has no
 * effect any more. While the operator waits, it is then sent anew after the later ones. Orders that change nothing are
 * committed as well, since this member may not know the newest one.
 */
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { EvacuationOrder } from './EvacuationTable.js';
import type { CommandSubmitter, SubmitOutcome } from './CommandSubmitter.js';
import type { PlanStateMachine } from './PlanStateMachine.js';

/**
 * Time before an order is sent. A process that was suspended gets calls whose operators have left; it learns that from the
 * end of the connection, which it reads after the call.
 */
const ARRIVAL_MS = 5;

/** Interval at which it is checked whether a committed order has been applied here. */
const CHECK_MS = 5;

export interface EvacuationOrdersContext {
  readonly clock: Clock;
  readonly stateMachine: Pick<
    PlanStateMachine,
    'evacuations' | 'isInEffect' | 'onDidOrderEvacuation'
  >;
  readonly submitter: Pick<CommandSubmitter, 'submit'>;
  /** Returns a different id each time, in all processes. */
  readonly makeId: () => string;
}

export interface OperatorOrder {
  readonly dataCentre: string;
  /** False for an order that ends the evacuation. */
  readonly isEvacuated: boolean;
  /** Whether the operator still waits for the answer. */
  readonly isWaiting: () => boolean;
}

/** `superseded`: another order was committed instead, and this one will have no effect. */
export type OrderOutcome = SubmitOutcome | 'superseded';

export class EvacuationOrders {
  public constructor(private readonly ctx: EvacuationOrdersContext) {}

  /** Submits an order and waits up to `waitMs` until it is committed as the newest one. */
  public async submit(order: OperatorOrder, waitMs: number): Promise<OrderOutcome> {
    const { clock } = this.ctx;
    const until = clock.now() + waitMs;
    await delay(clock, ARRIVAL_MS);
    let outcome: OrderOutcome = 'superseded';
    while (outcome === 'superseded' && clock.now() < until && order.isWaiting()) {
      outcome = await this.submitOnce(order, until);
    }
    return outcome;
  }

  private async submitOnce(
    { dataCentre, isEvacuated }: OperatorOrder,
    until: number,
  ): Promise<OrderOutcome> {
    const { clock, stateMachine, submitter, makeId } = this.ctx;
    const id = makeId();
    const base = stateMachine.evacuations.get(dataCentre)?.orders ?? 0;
    const command: EvacuationOrder = { kind: 'orderEvacuation', dataCentre, isEvacuated, base, id };
    let isApplied = false;
    const listener = stateMachine.onDidOrderEvacuation(() => {
      isApplied ||= stateMachine.evacuations.get(dataCentre)?.lastOrder === id;
    });
    try {
      const outcome = await submitter.submit(command, Math.max(0, until - clock.now()));
      if (outcome !== 'committed') return outcome;
      // The leader answers before this member knows of the commit.
      while (!stateMachine.isInEffect(command) && clock.now() < until) {
        await delay(clock, CHECK_MS);
      }
      if (isApplied) return 'committed';
      return stateMachine.isInEffect(command) ? 'superseded' : 'pending';
    } finally {
      listener.dispose();
    }
  }
}
