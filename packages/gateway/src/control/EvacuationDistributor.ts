/** Tells the entries of a hub which data centres are evacuated: when they connect, and after each order. */
import { evacuatedDataCentres } from '../metrics.js';
import { HubExtension, type HubExtensionContext, type UpdateFields } from './HubExtension.js';

export class EvacuationDistributor extends HubExtension {
  public constructor(ctx: HubExtensionContext) {
    super(ctx);
    ctx.stateMachine.onDidOrderEvacuation((dataCentre) => this.handleOrder(dataCentre));
  }

  public override forEntry(): UpdateFields {
    return { evacuations: this.ctx.stateMachine.evacuations.messages() };
  }

  private handleOrder(dataCentre: string): void {
    const { logger, sendToEntries, stateMachine } = this.ctx;
    const { evacuations } = stateMachine;
    const { isEvacuated = false, index = 0 } = evacuations.get(dataCentre) ?? {};
    logger.info(isEvacuated ? 'evacuation in force' : 'no evacuation in force', {
      dataCentre,
      index,
    });
    evacuatedDataCentres.set(evacuations.evacuated.length);
    sendToEntries({ evacuations: evacuations.messages() });
  }
}
