/** Takes the evacuations that the hub of an entry names, and reports when one begins or ends here. */
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { HubUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { evacuatedDataCentres } from '../metrics.js';
import { toEvacuationNotices } from '../sync/evacuation-codec.js';
import { EntryExtension } from './EntryExtension.js';
import type { EntryState } from './EntryState.js';

export interface EvacuationUpdatesContext {
  readonly logger: Logger;
  readonly state: Pick<EntryState, 'evacuations'>;
}

export class EvacuationUpdates extends EntryExtension {
  public constructor(private readonly ctx: EvacuationUpdatesContext) {
    super();
    const { logger, state } = ctx;
    const { evacuations } = state;
    evacuations.onDidChange(({ dataCentre, isEvacuated }) => {
      logger.info(isEvacuated ? 'evacuation in force' : 'evacuation ended', { dataCentre });
      evacuatedDataCentres.set(evacuations.count);
    });
  }

  public override apply({ evacuations }: HubUpdate, isFirst: boolean, now: number): void {
    if (!isFirst && evacuations.length === 0) return;
    this.ctx.state.evacuations.learn(toEvacuationNotices(evacuations), now);
  }
}
