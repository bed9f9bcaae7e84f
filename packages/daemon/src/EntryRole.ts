/** Entry role of a daemon: serves callers and takes part in the fleet of entries. */
import { FleetBudgets } from '@marigoldbank/budgets';
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import { ClaimRegistry } from '@marigoldbank/claims';
import type { Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import { Random } from '@marigoldbank/base/random';
import { Coordinator, type Announcement } from '@marigoldbank/ejection';
import type { EntryRecord } from '@marigoldbank/fleet/config';
import { CompiledLists } from '@marigoldbank/lists/CompiledLists';
import { Blackboard } from './Blackboard.js';
import { ConfigController } from './controllers/ConfigController.js';
import { ConfigCopy } from './controllers/ConfigCopy.js';
import { ControlPoller } from './controllers/ControlPoller.js';
import { CoordinationController } from './controllers/CoordinationController.js';
import { FreshnessController } from './controllers/FreshnessController.js';
import {
  explainRequest,
  type ExplainedRequest,
  type Explanation,
} from './controllers/explainRequest.js';
import { LimitController } from './controllers/LimitController.js';
import { PeerDirectory } from './controllers/PeerDirectory.js';
import { ServiceDirectory } from './controllers/ServiceDirectory.js';
import { DEFAULT_LIMITS } from './entry/constants.js';
import { EntryServer } from './entry/EntryServer.js';
import { UpstreamClient } from './entry/UpstreamClient.js';
import type { Settings } from './settings.js';
import type { Logger } from './telemetry/Logger.js';
import type { Metrics } from './telemetry/Metrics.js';
import { parseAddress } from './transport/InternalServer.js';
import type { Channels } from './transport/Channels.js';
import { ConfigClient } from './transport/ConfigClient.js';
import { ConnectBudgetTransport } from './transport/ConnectBudgetTransport.js';
import { ConnectClaimTransport } from './transport/ConnectClaimTransport.js';
import { PeerClient } from './transport/PeerClient.js';
import { registerPeer } from './transport/peer-routes.js';

export interface EntryRoleOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly channels: Channels;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

function toEntryRecord(settings: Settings): EntryRecord {
  const { vm, dataCentre, callerAddress, internalAddress } = settings;
  if (callerAddress === undefined) throw new Error('the role entry needs a callerAddress');
  return { vm, dataCentre, callerAddress, internalAddress };
}

export class EntryRole extends DisposableStore {
  public readonly blackboard = new Blackboard();

  private readonly coordination: CoordinationController;

  private readonly budgets: FleetBudgets;

  private readonly claims: ClaimRegistry;

  private readonly server: EntryServer;

  private readonly config: ConfigController;

  private readonly services: ServiceDirectory;

  private readonly startedAt = Date.now();

  public constructor(private readonly options: EntryRoleOptions) {
    super();
    const { settings, clock, channels } = options;
    const { vm, dataCentre, dataFolder } = settings;
    const { blackboard } = this;
    const peers = new PeerDirectory(blackboard, vm);
    this.config = new ConfigController({
      blackboard,
      compile: (lists) => new CompiledLists(lists),
      copy: dataFolder === undefined ? undefined : new ConfigCopy(dataFolder),
    });
    this.services = this.add(
      new ServiceDirectory({
        clock,
        random: new Random(this.startedAt % 0x7fffffff),
        vm,
        dataCentre,
        blackboard,
      }),
    );
    this.coordination = this.add(
      new CoordinationController({
        clock,
        self: vm,
        blackboard,
        coordinator: new Coordinator({ clock }),
        client: new PeerClient(channels),
        poolOf: (service) => this.services.poolOf(service),
      }),
    );
    this.budgets = this.createBudgets(peers);
    this.claims = this.createClaims(peers);
    this.add(
      new LimitController({ clock, blackboard, budgets: this.budgets, claims: this.claims }),
    );
    this.server = this.createServer();
  }

  /** Loads the configuration copy from disk, starts polling the control VMs, and listens for callers. */
  public async start(): Promise<void> {
    const { settings, clock, channels, logger } = this.options;
    const loaded = await this.config.restore();
    logger.log('info', 'read configuration copy', { result: loaded.kind });
    this.add(
      new FreshnessController({
        clock,
        blackboard: this.blackboard,
        self: toEntryRecord(settings),
        incarnation: String(this.startedAt),
        config: this.config,
        control: new ControlPoller(
          new ConfigClient(channels),
          settings.control.map(({ address }) => address),
        ),
        peers: new PeerClient(channels),
        knownAddresses: settings.peers,
      }),
    );
    const { host, port } = parseAddress(settings.listen.caller ?? settings.callerAddress ?? '');
    await this.server.listen(port, host);
    this.blackboard.lifecycle.set('serving');
  }

  /** Handles the operator method `explain`. The other methods are handled by the control role. */
  public explain(req: ExplainedRequest): Explanation {
    const { blackboard } = this;
    const { clock } = this.options;
    return explainRequest(
      { clock, blackboard, findRouter: (service) => this.services.find(service) },
      req,
    );
  }

  public register(router: ConnectRouter): void {
    registerPeer(router, {
      blackboard: this.blackboard,
      coordinate: (req) => {
        try {
          return this.coordination.handleCoordinate(req);
        } catch (err) {
          throw new ConnectError(String(err), Code.Unavailable);
        }
      },
      budgets: this.budgets,
      claims: this.claims,
      isCurrent: () => this.isCurrent(),
      onAnnouncements: (announcements) => this.coordination.receiveForwarded(announcements),
    });
  }

  public receiveAnnouncements(announcements: readonly Announcement[]): void {
    this.coordination.receive(announcements);
  }

  /** Why this entry is not ready, or undefined when it is. */
  public findUnreadyReason(): string | undefined {
    if (this.blackboard.lifecycle.value !== 'serving') return this.blackboard.lifecycle.value;
    return this.isCurrent() ? undefined : 'not current';
  }

  /** Has this entry removed from the address lists, finishes the requests in progress, and stops. */
  public async drain(): Promise<void> {
    this.blackboard.lifecycle.set('leaving');
    await this.server.drain();
    this.blackboard.lifecycle.set('stopped');
    this.dispose();
  }

  private isCurrent(): boolean {
    return this.options.clock.now() < this.blackboard.freshness.value.currentUntil;
  }

  private createBudgets(peers: PeerDirectory): FleetBudgets {
    const { settings, clock, channels } = this.options;
    return this.add(
      new FleetBudgets({
        self: settings.vm,
        incarnation: String(this.startedAt),
        clock,
        transport: new ConnectBudgetTransport(channels, peers),
        isCurrent: () => this.isCurrent(),
      }),
    );
  }

  private createClaims(peers: PeerDirectory): ClaimRegistry {
    const { settings, clock, channels } = this.options;
    return this.add(
      new ClaimRegistry({
        self: settings.vm,
        incarnation: this.startedAt,
        clock,
        transport: new ConnectClaimTransport(channels, peers),
      }),
    );
  }

  private createServer(): EntryServer {
    const { settings, clock, logger, metrics } = this.options;
    return new EntryServer({
      vm: settings.vm,
      clock,
      blackboard: this.blackboard,
      budgets: this.budgets,
      claims: this.claims,
      findRouter: (service) => this.services.find(service),
      upstream: this.add(new UpstreamClient(clock)),
      logger,
      metrics,
      limits: DEFAULT_LIMITS,
      isExcludedFromAddresses: () => this.services.isSuspectedReporter,
    });
  }
}
