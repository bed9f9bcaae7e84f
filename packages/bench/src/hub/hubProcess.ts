/** A hub in a process of its own, without a replicated log. Started by `HubLoad`; arguments: IP, first internal port. */
import http2 from 'node:http2';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { SystemClock } from '@marigoldbank/base/clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { encodeCommand } from '@marigoldbank/gateway/control/commands';
import { Hub } from '@marigoldbank/gateway/control/Hub';
import type { ILogView } from '@marigoldbank/gateway/control/LogView';
import { PlanStateMachine } from '@marigoldbank/gateway/control/PlanStateMachine';
import { registerSyncService } from '@marigoldbank/gateway/control/sync-routes';
import { gatewaySettingsSchema, syncAddress } from '@marigoldbank/gateway/settings';
import { BatchPace } from '@marigoldbank/gateway/sync/BatchPace';
import { COMPRESS_MIN_BYTES, SyncClients } from '@marigoldbank/gateway/sync/SyncClients';
import type { HubSetup } from './HubLoad.js';

const [ip = '', firstPort = ''] = process.argv.slice(2);
const port = Number(firstPort);

const settings = gatewaySettingsSchema.parse({
  vm: 'hub',
  ip,
  dataCentre: 'dc-1',
  role: 'hub',
  listen: {},
  internalPorts: [port, port + 2],
  seeds: [],
  bootstrap: true,
  toleratedLosses: 1,
  bounds: { grace: '6s', maxTtl: '5s', retryRatio: 0.2, retrySlack: 188, retryWindow: '10s' },
});

const clock = new SystemClock();

/** A log that leads and whose state is always confirmed. */
const log: ILogView = {
  isLeader: true,
  leader: ip,
  voters: [ip],
  answerDelayMs: 0,
  isAnswering: true,
  get confirmedAt() {
    return clock.now();
  },
  get leaderSeenAt() {
    return clock.now();
  },
};
const logger = new NullLogger();
const clients = new SyncClients();
const stateMachine = new PlanStateMachine();
const hub = new Hub({
  clock,
  settings,
  log,
  stateMachine,
  logger,
  pace: new BatchPace(clock),
  clientOf: (address) => clients.client(address),
});
const server = http2.createServer(
  connectNodeAdapter({
    compressMinBytes: COMPRESS_MIN_BYTES,
    routes: (router) => registerSyncService(router, hub, logger),
  }),
);
process.on('message', ({ announcements, plan }: HubSetup) => {
  announcements.forEach((announcement) => hub.announce(announcement, clock.now()));
  if (plan !== undefined) {
    stateMachine.apply(1, encodeCommand({ kind: 'putPlan', document: '', plan }));
  }
});
server.listen(Number(syncAddress(settings, ip).split(':')[1]), ip, () => process.send?.('ready'));
