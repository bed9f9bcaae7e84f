/** Process of the hub role: serves the state streams of entries and of other hubs, and address lookups. */
import http2 from 'node:http2';
import type { Socket } from 'node:net';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { Channels } from '@marigoldbank/daemon/transport/Channels';
import { InternalServer, parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import { LogService } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { BatchPace } from '../sync/BatchPace.js';
import { DirectoryServer } from '../DirectoryServer.js';
import type { GatewayProcess } from '../GatewayProcess.js';
import { metricsHandler } from '../metrics.js';
import type { ProtocolAdapter } from '../ProtocolAdapter.js';
import {
  consensusAddress,
  hubMetricsAddress,
  INTERNAL_SECRET,
  ipOf,
  syncAddress,
  type GatewaySettings,
} from '../settings.js';
import { COMPRESS_MIN_BYTES, MAX_MESSAGE_BYTES, SyncClients } from '../sync/SyncClients.js';
import { LOCAL_CHANNELS } from './channel-options.js';
import { Hub } from './Hub.js';
import { OWN_HUB } from './EntryRegistry.js';
import { LogFollower } from './LogFollower.js';
import { PlanStateMachine } from './PlanStateMachine.js';
import { StreamMeter, type StreamPeer } from './StreamMeter.js';
import { registerSyncService } from './sync-routes.js';

const METER_MS = 1_000;

/** Time for entries to connect to another hub before the process ends. */
const LEAVE_MS = 300;

export class HubProcess implements GatewayProcess {
  private readonly clients = new SyncClients();

  private readonly channels = new Channels(LOCAL_CHANNELS);

  private readonly pace: BatchPace;

  private readonly log: LogFollower;

  private readonly hub: Hub;

  private readonly directory: DirectoryServer;

  private readonly servers: { close(): unknown }[] = [];

  private readonly meter: StreamMeter;

  private readonly meterTimer: IDisposable;

  public constructor(
    private readonly settings: GatewaySettings,
    protocol: ProtocolAdapter,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.pace = new BatchPace(clock);
    const stateMachine = new PlanStateMachine();
    this.log = new LogFollower({
      clock,
      logger,
      stateMachine,
      client: this.channels.client(LogService, consensusAddress(settings, settings.ip)),
      hubs: () => this.hub.peers.listForEntries(clock.now()),
      slots: () => this.hub.targets.slots,
    });
    this.hub = new Hub({
      clock,
      settings,
      log: this.log,
      stateMachine,
      logger,
      pace: this.pace,
      clientOf: (address) => this.clients.client(address),
    });
    this.meter = new StreamMeter(settings.dataCentre, (address) => this.peerAt(address));
    this.meterTimer = setPeriodic(clock, () => this.meter.update(), METER_MS);
    this.log.onDidAnnounce(({ announcement, receivedAt }) =>
      this.hub.announce(announcement, receivedAt),
    );
    this.directory = new DirectoryServer({
      protocol,
      addressesFor: (dataCentre) => this.hub.addressesFor(dataCentre),
      maxTtlMs: settings.bounds.maxTtl,
    });
  }

  /** The hub or entry at an IP address. A VM with both counts as a hub. */
  private peerAt(ip: string): StreamPeer | undefined {
    const hub = this.hub.peers.all.find(({ address }) => ipOf(address) === ip);
    if (hub !== undefined) {
      return hub.dataCentre === '' ? undefined : { kind: 'hub', dataCentre: hub.dataCentre };
    }
    const entry = this.hub.entries
      .entriesOf(OWN_HUB)
      .find(({ identity }) => ipOf(identity.address) === ip);
    return entry && { kind: 'entry', dataCentre: entry.identity.dataCentre };
  }

  public async start(): Promise<void> {
    const { directory } = this.settings.listen;
    this.log.run().catch((err: unknown) => {
      this.logger.error('following the log failed', { error: String(err) });
    });
    await this.serveStreams();
    if (directory !== undefined) await this.directory.listen(directory);
    await this.serveMetrics();
  }

  /** Connects to new seeds. The hub and the servers keep the other settings that they were started with. */
  public reload(settings: GatewaySettings): void {
    this.hub.setSeeds(settings.seeds);
  }

  /** Tells the entries to connect to other hubs, then shuts down. */
  public async stop(): Promise<void> {
    this.hub.leave();
    this.directory.close();
    await new Promise((resolve) => {
      this.clock.setTimeout(() => resolve(undefined), LEAVE_MS);
    });
    this.meterTimer.dispose();
    this.hub.dispose();
    this.log.dispose();
    this.pace.dispose();
    this.channels.dispose();
    this.clients.dispose();
    this.servers.forEach((server) => server.close());
  }

  private serveStreams(): Promise<void> {
    const { hub, logger, settings } = this;
    const server = http2.createServer(
      connectNodeAdapter({
        compressMinBytes: COMPRESS_MIN_BYTES,
        readMaxBytes: MAX_MESSAGE_BYTES,
        routes: (router) => registerSyncService(router, hub, logger),
      }),
    );
    server.on('connection', (socket: Socket) => this.meter.add(socket));
    server.on('sessionError', (err) =>
      logger.info('HTTP/2 session of a state stream failed', { error: String(err) }),
    );
    this.servers.push(server);
    const { host, port } = parseAddress(syncAddress(settings, settings.ip));
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  private async serveMetrics(): Promise<void> {
    const server = new InternalServer({
      address: hubMetricsAddress(this.settings, this.settings.ip),
      secretOf: () => INTERNAL_SECRET,
      register: () => undefined,
      fallback: metricsHandler(),
    });
    await server.listen();
    this.servers.push(server);
  }
}
