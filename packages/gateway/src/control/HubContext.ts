/** What a hub gets from its process. */
import type { Client } from '@connectrpc/connect';
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { SyncService } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { GatewaySettings } from '../settings.js';
import type { Pace } from '../sync/BatchPace.js';
import type { ILogView } from './LogView.js';
import type { PlanStateMachine } from './PlanStateMachine.js';

export interface HubContext {
  readonly clock: Clock;
  readonly settings: GatewaySettings;
  readonly log: ILogView;
  readonly stateMachine: PlanStateMachine;
  readonly logger: Logger;
  /** Pace of the batches to entries and other hubs. */
  readonly pace: Pace;
  readonly clientOf: (address: string) => Client<typeof SyncService>;
}
