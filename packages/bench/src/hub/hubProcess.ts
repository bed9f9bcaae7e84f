/** A hub in a process of its own, without a replicated log. Started by `HubLoad`; arguments: IP, first internal port. */
import http2 from 'node:http2';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { SystemClock } from '@marigoldbank/base/clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { encodeCommand } from '@marigoldbank/gateway/control/commands';
import { Hub } from '@marigoldbank/gateway/control/Hub';
import { PlanStateMachine } from '@marigoldbank/gateway/control/PlanStateMachine';
import { registerSyncService } from '@marigoldbank/gateway/control/sync-routes';
import type { VoterManager } from '@marigoldbank/gateway/control/VoterManager';
import { gatewaySettingsSchema, syncAddress } from '@marigoldbank/gateway/settings';
import { BatchPace } from '@marigoldbank/gateway/sync/BatchPace';
import { COMPRESS_MIN_BYTES, SyncClients } from '@marigoldbank/gateway/sync/SyncClients';
import type { IReplicatedLog, LogStatus, ReadOutcome } from '@marigoldbank/replicated-log';
import type { HubSetup } from './HubLoad.js';

const [ip = '', firstPort = ''] = process.argv.slice(2);
const port = Number(firstPort);

const settings = gatewaySettingsSchema.parse({
  vm: 'hub',
  ip,
  dataCentre: 'dc-1',
  role: 'control',
  listen: {},
  internalPorts: [port, port + 2],
  seeds: [],
  bootstrap: true,
  toleratedLosses: 1,
  bounds: { grace: '6s', maxTtl: '5s', retryRatio: 0.2, retrySlack: 188, retryWindow: '10s' },
});

const self = { vm: ip, incarnation: '', address: '' };
const leadingLog: Pick<IReplicatedLog, 'status' | 'confirmRead'> = {
  status: (): LogStatus => ({
    self,
    role: 'leader',
    term: 1,
    commitIndex: 1,
    lastIndex: 1,
    leader: self,
    membership: { voters: [self], learners: [] },
    progress: [],
  }),
  confirmRead: (): Promise<ReadOutcome> => Promise.resolve({ kind: 'confirmed', index: 1 }),
};
const log = leadingLog as IReplicatedLog;
const logger = new NullLogger();
const clients = new SyncClients();
const stateMachine = new PlanStateMachine();
const hub = new Hub({
  clock: new SystemClock(),
  settings,
  log,
  stateMachine,
  logger,
  pace: new BatchPace(new SystemClock()),
  clientOf: (address) => clients.client(address),
});
const voterManager = { admit: () => Promise.resolve(false) } as unknown as VoterManager;
const server = http2.createServer(
  connectNodeAdapter({
    compressMinBytes: COMPRESS_MIN_BYTES,
    routes: (router) => registerSyncService(router, hub, voterManager, log, logger),
  }),
);
process.on('message', ({ announcements, plan }: HubSetup) => {
  announcements.forEach((announcement) => hub.announce(announcement));
  if (plan !== undefined) {
    stateMachine.apply(1, encodeCommand({ kind: 'putPlan', document: '', plan }));
  }
});
server.listen(Number(syncAddress(settings, ip).split(':')[1]), ip, () => process.send?.('ready'));
