/** The entry role: serves callers, readiness, addresses and metrics, and follows a hub. */
import { createServer, type Server } from 'node:http';
import { delay, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { UpstreamClient } from '@marigoldbank/daemon/entry/UpstreamClient';
import { Channels } from '@marigoldbank/daemon/transport/Channels';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import type { ProtocolAdapter } from '../ProtocolAdapter.js';
import { DirectoryServer } from '../DirectoryServer.js';
import type { GatewayProcess } from '../GatewayProcess.js';
import { metricsHandler } from '../metrics.js';
import {
  coldBoundsOf,
  consensusAddress,
  INTERNAL_SECRET,
  ipOf,
  metricsAddress,
  retryBudgetLimits,
  teamToleranceOf,
  syncAddress,
  type GatewaySettings,
} from '../settings.js';
import { SyncClients } from '../sync/SyncClients.js';
import { CallerServer } from './CallerServer.js';
import { DirectoryClient } from '../sync/DirectoryClient.js';
import { createEntryExtensions } from './entry-extensions.js';
import { EntryState } from './EntryState.js';
import { HubSelector } from './HubSelector.js';
import { HubFollower } from './HubFollower.js';
import { HubLocator } from './HubLocator.js';
import { HubReporter } from './HubReporter.js';
import { PlanClient } from './PlanClient.js';
import { PlanRefresher } from './PlanRefresher.js';
import { RequestLog } from './RequestLog.js';
import { UnusedTargetsMonitor } from './UnusedTargetsMonitor.js';

/** Connection timeout for targets. Within a region a connection takes milliseconds. */
const CONNECT_TIMEOUT_MS = 150;

/** Keep-alive of idle connections to targets, which is shorter than that of the targets. */
const UPSTREAM_KEEP_ALIVE_MS = 4_000;

/**
 * Bodies of all requests and answers in progress. A request may have 64 MiB by the usual limit of plans, and is copied once when
 * it is complete; the process has 250 MB.
 */
const MAX_BODIES_BYTES = 73_400_320;

const DRAIN_CHECK_MS = 25;

/** Delay before the process ends, so that the socket buffers of the last responses are flushed. */
const FLUSH_DELAY_MS = 100;

/** Share of the memory of the VM for bodies. The process itself takes more than half of it. */
const BODIES_MEMORY_SHARE = 0.35;

const BYTES_PER_MB = 1_000_000;

function bodyBytesOf({ memoryMb = Infinity }: GatewaySettings): number {
  return Math.min(MAX_BODIES_BYTES, BODIES_MEMORY_SHARE * memoryMb * BYTES_PER_MB);
}

export class EntryProcess extends DisposableStore implements GatewayProcess {
  private readonly state: EntryState;

  private readonly reporter: HubReporter;

  private readonly server: CallerServer;

  private readonly follower: HubFollower;

  private readonly directory: DirectoryServer;

  private readonly listeners: Server[] = [];

  private stopped: Promise<void> | undefined;

  public constructor(
    private settings: GatewaySettings,
    private readonly protocol: ProtocolAdapter,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    const clients = this.add(new SyncClients());
    this.state = new EntryState(
      retryBudgetLimits(settings, () => this.state.currentRouteTable?.plan),
      undefined,
      undefined,
      {
        coldBounds: coldBoundsOf(settings),
        crossingPrice: settings.placement?.crossingPrice,
        floorShare: settings.bounds.floorShare,
        teamTolerance: teamToleranceOf(settings, () => this.state.currentRouteTable?.plan),
      },
    );
    this.reporter = this.add(new HubReporter(clock, this.state, logger));
    const extensions = createEntryExtensions({ clock, logger, settings, state: this.state });
    extensions.forEach((extension) => this.reporter.addExtension(extension));
    const names = protocol.headers;
    const upstream = this.add(
      new UpstreamClient(clock, {
        requestIdHeader: names.requestId,
        requiresEcho: true,
        timeoutHeader: names.deadlineMs,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        keepAliveTimeoutMs: UPSTREAM_KEEP_ALIVE_MS,
      }),
    );
    const hubs = new HubSelector(
      settings.dataCentre,
      this.seedAddresses(),
      clock.now(),
      this.state.random.float(),
    );
    const seedLogs = (): string[] => this.settings.seeds.map((seed) => this.logAddress(ipOf(seed)));
    const datagrams = this.add(new DirectoryClient(clock, logger));
    const channels = this.add(
      new Channels({ secret: INTERNAL_SECRET, outgoingAddress: undefined }),
    );
    const plans = this.add(
      new PlanRefresher({
        clock,
        state: this.state,
        logger,
        client: new PlanClient(datagrams, channels),
        addresses: () => [
          ...seedLogs(),
          ...hubs.knownAddresses.map((hub) => this.logAddress(ipOf(hub))),
        ],
      }),
    );
    this.server = new CallerServer({
      clock,
      state: this.state,
      upstream,
      reporter: this.reporter,
      names,
      dataCentre: settings.dataCentre,
      log: new RequestLog(clock, logger),
      memory: new MemoryBudget(bodyBytesOf(settings)),
      linkMbps: settings.linkMbps,
      plans,
      refuseKeysAfterMs: settings.refuseKeysAfter,
    });
    this.follower = this.add(
      new HubFollower({
        clock,
        state: this.state,
        reporter: this.reporter,
        hubs,
        extensions,
        logger,
        identity: {
          vm: settings.vm,
          address: settings.listen.caller ?? '',
          dataCentre: settings.dataCentre,
        },
        seeds: () => this.seedAddresses(),
        locator: new HubLocator({
          clock,
          random: this.state.random,
          logger,
          dataCentre: settings.dataCentre,
          seeds: seedLogs,
          client: datagrams,
        }),
        logAddressOf: (hub) => this.logAddress(ipOf(hub)),
        clientOf: (address) => clients.client(address),
      }),
    );
    this.directory = new DirectoryServer({
      protocol,
      addressesFor: (dataCentre) => this.addressesFor(dataCentre),
      maxTtlMs: settings.bounds.maxTtl,
    });
    const { dataCentre } = settings;
    this.add(new UnusedTargetsMonitor({ clock, logger, state: this.state, dataCentre }));
    this.add(this.state.onDidChangePlan(() => this.updateReadiness()));
  }

  public async start(): Promise<void> {
    const { listen, ip } = this.settings;
    if (listen.caller === undefined) throw new Error('the role entry needs listen.caller');
    await this.server.listen(listen.caller);
    if (listen.ready !== undefined) await this.serveReadiness(listen.ready);
    if (listen.directory !== undefined) await this.directory.listen(listen.directory);
    await this.serveMetrics(metricsAddress(this.settings, ip));
    this.follower.run().catch((err: unknown) => {
      this.logger.error('following a hub failed', { error: String(err) });
    });
  }

  public reload(settings: GatewaySettings): void {
    this.settings = settings;
  }

  /** Stops once, however often it is called. */
  public stop(): Promise<void> {
    this.stopped ??= this.shutDown();
    return this.stopped;
  }

  /** Reports the entry as not ready, serves new requests for a while, then finishes or answers those in progress. */
  private async shutDown(): Promise<void> {
    const { clock, settings, server, state } = this;
    const { shutdown, addresses } = state;
    shutdown.begin(clock.now(), settings.bounds.grace);
    if (settings.listen.caller !== undefined) addresses.withdraw(settings.listen.caller);
    this.updateReadiness();
    server.drain();
    const at = (time: number, fn: () => void): unknown =>
      this.add(clock.setTimeout(fn, time - clock.now()));
    at(shutdown.endWaitsAt, () => server.endWaits());
    at(shutdown.answerBy, () => server.giveUp());
    await delay(clock, shutdown.refuseAt - clock.now());
    await server.close(shutdown.answerBy);
    // A request may have arrived on an open connection that the event loop has not read yet.
    await this.waitWhile(async () => (await server.countConnections()) > 0, shutdown.endWaitsAt);
    await this.waitWhile(() => server.inProgressCount > 0, shutdown.endAt);
    await delay(clock, FLUSH_DELAY_MS);
    this.listeners.forEach((listener) => listener.close());
    this.directory.close();
    this.dispose();
  }

  /** Resolves when the condition no longer holds, at the latest at `until` in monotonic ms. */
  private async waitWhile(
    condition: () => boolean | Promise<boolean>,
    until: number,
  ): Promise<void> {
    const { clock } = this;
    while (clock.now() < until && (await condition())) await delay(clock, DRAIN_CHECK_MS);
  }

  private updateReadiness(): void {
    this.reporter.setReady(
      !this.state.shutdown.isStopping && this.state.currentRouteTable !== undefined,
    );
  }

  private addressesFor(dataCentre: string): string[] {
    const { addresses, random } = this.state;
    return addresses.addressesFor(dataCentre, (items) => random.shuffle(items), this.clock.now());
  }

  private seedAddresses(): string[] {
    return this.settings.seeds.map((seed) => syncAddress(this.settings, ipOf(seed)));
  }

  private logAddress(ip: string): string {
    return consensusAddress(this.settings, ip);
  }

  private serveReadiness(address: string): Promise<void> {
    return this.serve(address, (req, res) => {
      const isReady = req.url === this.protocol.readyPath && this.reporter.isReady;
      res.writeHead(isReady ? 200 : 503, { 'content-length': '0' });
      res.end();
    });
  }

  private serveMetrics(address: string): Promise<void> {
    return this.serve(address, metricsHandler());
  }

  private serve(address: string, handler: Parameters<typeof createServer>[1]): Promise<void> {
    const server = createServer(handler as NonNullable<typeof handler>);
    this.listeners.push(server);
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }
}
