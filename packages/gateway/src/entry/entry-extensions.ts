/** The extensions that the settings of an entry call for. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { GatewaySettings } from '../settings.js';
import { CapacityExtension } from './CapacityExtension.js';
import type { EntryExtension } from './EntryExtension.js';
import type { EntryState } from './EntryState.js';
import { EvacuationUpdates } from './EvacuationUpdates.js';
import { RankedAdmission } from './RankedAdmission.js';
import { PlacementFollower } from './PlacementFollower.js';
import { TeamHistoryReporter } from './TeamHistoryReporter.js';

export interface EntryExtensionContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly settings: GatewaySettings;
  readonly state: EntryState;
}

export function createEntryExtensions(ctx: EntryExtensionContext): readonly EntryExtension[] {
  const { settings, state } = ctx;
  return [
    new EvacuationUpdates(ctx),
    ...(settings.overload?.rankedAdmission === true ? [new RankedAdmission(ctx)] : []),
    ...(settings.overload?.slotQueue === true ? [new CapacityExtension(ctx)] : []),
    ...((settings.overload?.teamTolerance ?? 'none') === 'none'
      ? []
      : [new TeamHistoryReporter(ctx)]),
    ...(settings.placement?.crossingPrice === undefined
      ? []
      : [
          new PlacementFollower({
            clock: ctx.clock,
            state,
            dataCentre: settings.dataCentre,
            plans: settings.placement.plans,
          }),
        ]),
  ];
}
