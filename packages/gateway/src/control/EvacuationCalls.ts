/** Answers the calls of operators that start or end the evacuation of a data centre. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { evacuatedDataCentres, evacuationOrdersTotal } from '../metrics.js';
import { CallTrace } from './CallTrace.js';
import type { EvacuationOrders, OperatorOrder, OrderOutcome } from './EvacuationOrders.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import type { SlotTable } from './SlotTable.js';

/** Orders that are not sent, besides the outcomes of those that are. */
type Refusal = 'unknownDataCentre' | 'noTargetsKnown';

export interface OrderAnswer {
  readonly outcome: OrderOutcome | Refusal;
  readonly warnings: readonly string[];
}

export interface EvacuationCallsContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly stateMachine: Pick<PlanStateMachine, 'evacuations' | 'onDidOrderEvacuation'>;
  readonly orders: Pick<EvacuationOrders, 'submit'>;
  readonly slots: Pick<SlotTable, 'dataCentres' | 'warnings'>;
  /** All data centres. If undefined or empty, those that targets have announced. */
  readonly dataCentres: readonly string[] | undefined;
}

export class EvacuationCalls {
  public constructor(private readonly ctx: EvacuationCallsContext) {
    const { stateMachine, logger } = ctx;
    const { evacuations } = stateMachine;
    evacuatedDataCentres.set(evacuations.evacuated.length);
    stateMachine.onDidOrderEvacuation((dataCentre) => {
      const { isEvacuated = false, orders, index } = evacuations.get(dataCentre) ?? {};
      evacuatedDataCentres.set(evacuations.evacuated.length);
      logger.info('evacuation ordered', { dataCentre, isEvacuated, orders, index });
    });
  }

  public async answer(order: OperatorOrder, waitMs: number): Promise<OrderAnswer> {
    const { clock, logger, orders } = this.ctx;
    const { dataCentre, isEvacuated } = order;
    const trace = new CallTrace(clock);
    const outcome =
      this.refusalOf(dataCentre) ??
      (await trace.measure('commit', () => orders.submit(order, waitMs)));
    const warnings = outcome === 'committed' && isEvacuated ? this.warningsFor(dataCentre) : [];
    evacuationOrdersTotal.inc({ order: isEvacuated ? 'start' : 'end', outcome });
    logger.log(warnings.length > 0 ? 'warn' : 'info', 'order about an evacuation answered', {
      dataCentre,
      isEvacuated,
      outcome,
      ...(warnings.length > 0 ? { warnings: warnings.join('; ') } : {}),
      ...trace.fields(),
    });
    return { outcome, warnings };
  }

  /** A data centre without targets is known while it is evacuated, so that this can be ended. */
  private refusalOf(dataCentre: string): Refusal | undefined {
    const { dataCentres = [], slots, stateMachine } = this.ctx;
    if (stateMachine.evacuations.get(dataCentre) !== undefined) return undefined;
    const known = dataCentres.length > 0 ? new Set(dataCentres) : slots.dataCentres;
    if (dataCentre !== '' && known.has(dataCentre)) return undefined;
    // The hub has not told any targets yet, so that the name may be right.
    return known.size === 0 && dataCentre !== '' ? 'noTargetsKnown' : 'unknownDataCentre';
  }

  private warningsFor(dataCentre: string): string[] {
    const { slots, stateMachine } = this.ctx;
    return slots.warnings([...stateMachine.evacuations.evacuated, dataCentre]);
  }
}
