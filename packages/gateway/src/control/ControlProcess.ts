/**
 * Process of the control role: the replicated log, and the interface for operators and targets. The hub of the VM is a
 * process of its own, so that its streams delay neither votes and confirmations nor the answers to operators.
 */
import { randomInt, randomUUID } from 'node:crypto';
import { delay, type Clock } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { Channels } from '@marigoldbank/daemon/transport/Channels';
import { ConnectConsensusTransport } from '@marigoldbank/daemon/transport/ConnectConsensusTransport';
import { InternalServer } from '@marigoldbank/daemon/transport/InternalServer';
import { registerConsensus } from '@marigoldbank/daemon/transport/consensus-routes';
import { LogService } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import {
  FileLogStorage,
  FullDiskError,
  openReplicatedLog,
  type ReplicatedLog,
} from '@marigoldbank/replicated-log';
import type { ProtocolAdapter } from '../ProtocolAdapter.js';
import type { GatewayProcess } from '../GatewayProcess.js';
import { logBytes, metricsHandler } from '../metrics.js';
import {
  consensusAddress,
  INTERNAL_SECRET,
  ipOf,
  portOf,
  type GatewaySettings,
} from '../settings.js';
import { LOG_CHANNELS } from './channel-options.js';
import { commandEncoder } from './command-codec.js';
import { CommandSubmitter } from './CommandSubmitter.js';
import { DirectoryClient } from '../sync/DirectoryClient.js';
import { ControlApi } from './ControlApi.js';
import { DirectoryListener } from './DirectoryListener.js';
import { EvacuationCalls } from './EvacuationCalls.js';
import { EvacuationOrders } from './EvacuationOrders.js';
import { HubDirectory } from './HubDirectory.js';
import { LogFeed } from './LogFeed.js';
import { MeteredTransport } from './MeteredTransport.js';
import { OrderHistory } from './OrderHistory.js';
import { registerLogService, type LogServiceParts } from './log-routes.js';
import { CommitHistory } from './CommitHistory.js';
import { PlanStateMachine } from './PlanStateMachine.js';
import { SlotTable } from './SlotTable.js';
import { StateConfirmation } from './StateConfirmation.js';
import { statusHandler, type StatusContext } from './statusHandler.js';
import { VoterManager } from './VoterManager.js';
import { waitForFirstLeader } from './waitForFirstLeader.js';

/** There are few control VMs, each with a core of its own. The election timeout must exceed a slow disk sync. */
export const TUNING = {
  // Each heartbeat costs the leader processor time for each member. Four fit into the shortest election timeout, so that
  // processes that pause for some tenths of a second do not start elections one after the other.
  heartbeatIntervalMs: 150,
  electionTimeoutMinMs: 700,
  electionTimeoutMaxMs: 1_100,
  firstElectionTimeoutMinMs: 120,
  firstElectionTimeoutMaxMs: 400,
  resendAfterMs: 250,
  // Heartbeats wait behind the entries that are sent to all members at the same moment.
  maxBytesPerAppend: 131_072,
  snapshotEveryEntries: 400,
  // A start reads and applies what was logged since the snapshot, and small disks hold a few of the largest plans only.
  snapshotEveryBytes: 4_194_304,
  retainedEntries: 100,
  retainedBytes: 4_194_304,
};

const MAX_SEED = 0x7fffffff;

/** Interval of attempts to open the log on a full disk. */
const FULL_DISK_RETRY_MS = 500;

/** Time for calls in progress to be answered before the process ends. */
const FINISH_MS = 300;

function requireAddress(address: string | undefined, name: string): string {
  if (address === undefined) throw new Error(`the role control needs listen.${name}`);
  return address;
}

export class ControlProcess implements GatewayProcess {
  private readonly channels = new Channels(LOG_CHANNELS);

  private transport: MeteredTransport | undefined;

  private log: ReplicatedLog | undefined;

  private datagrams: DirectoryClient | undefined;

  private confirmation: StateConfirmation | undefined;

  private feed: LogFeed | undefined;

  private submitter: CommandSubmitter | undefined;

  private voterManager: VoterManager | undefined;

  private api: ControlApi | undefined;

  private server: InternalServer | undefined;

  private listener: DirectoryListener | undefined;

  public constructor(
    private settings: GatewaySettings,
    private readonly protocol: ProtocolAdapter,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  public async start(): Promise<void> {
    const { settings, clock, logger, protocol } = this;
    const control = requireAddress(settings.listen.control, 'control');
    const stateMachine = new PlanStateMachine();
    const orderHistory = new OrderHistory(stateMachine);
    const log = await this.openLog(stateMachine);
    const clientOf = (
      address: string,
    ): ReturnType<typeof this.channels.client<typeof LogService>> =>
      this.channels.client(LogService, address);
    const datagrams = new DirectoryClient(clock, logger);
    this.datagrams = datagrams;
    const confirmation = new StateConfirmation({ clock, log, logger, datagrams, clientOf });
    const feed = new LogFeed({ clock, log, stateMachine, confirmation, lifetime: randomUUID() });
    const voterManager = new VoterManager({
      clock,
      log,
      logger,
      desiredVoters: 2 * settings.toleratedLosses + 1,
      seeds: () => this.seedAddresses(),
      clientOf,
    });
    const encode = commandEncoder(settings);
    const submitter = new CommandSubmitter({ clock, log, stateMachine, logger, encode, clientOf });
    this.submitter = submitter;
    this.confirmation = confirmation;
    this.feed = feed;
    this.voterManager = voterManager;
    const directory = new HubDirectory({
      clock,
      random: new Random(randomInt(MAX_SEED)),
      memberCount: () => {
        const { voters, learners } = log.status().membership;
        return voters.length + learners.length;
      },
    });
    const slots = new SlotTable();
    const makeId = randomUUID;
    const evacuations = new EvacuationCalls({
      clock,
      logger,
      stateMachine,
      orders: new EvacuationOrders({ clock, stateMachine, submitter, makeId }),
      slots,
      dataCentres: settings.dataCentres,
    });
    const history = new CommitHistory({ clock, stateMachine, confirmation, log, logger });
    const isLeader = (): boolean => log.status().role === 'leader';
    const status = { vm: settings.vm, isLeader, stateMachine, history: orderHistory };
    await this.serveLog(log, status, {
      log,
      feed,
      directory,
      slots,
      history,
      confirmation,
      submitter,
      voterManager,
    });
    this.listener = new DirectoryListener({ clock, directory, history, confirmation, logger });
    await this.listener.listen(consensusAddress(settings, settings.ip));
    this.api = new ControlApi({
      clock,
      protocol,
      feed,
      log,
      submitter,
      evacuations,
      confirmation,
      stateMachine,
      logger,
      controlPort: portOf(control),
    });
    await waitForFirstLeader(log, clock);
    await this.api.listen(control);
  }

  /** Uses new seeds. The servers keep the other settings that they were started with. */
  public reload(settings: GatewaySettings): void {
    this.settings = settings;
  }

  /** Ends the calls in progress, lets another member replace this voter, then shuts down. */
  public async stop(): Promise<void> {
    this.api?.close();
    await Promise.all([delay(this.clock, FINISH_MS), this.voterManager?.leave()]);
    this.voterManager?.dispose();
    this.submitter?.dispose();
    this.confirmation?.dispose();
    this.datagrams?.dispose();
    this.feed?.dispose();
    await this.log?.close();
    this.transport?.dispose();
    this.channels.dispose();
    this.listener?.close();
    await this.server?.close();
  }

  private async openLog(stateMachine: PlanStateMachine): Promise<ReplicatedLog> {
    const { settings } = this;
    const { dataFolder } = settings;
    if (dataFolder === undefined) throw new Error('the role control needs dataFolder');
    // In the replicated log, the `vm` of a member is its IP address, not the id in the settings.
    const seedIps = settings.seeds.map(ipOf);
    const isFounder = settings.bootstrap && seedIps.includes(settings.ip);
    const founders = seedIps.map((ip) => ({
      vm: ip,
      address: consensusAddress(settings, ip),
      incarnation: '',
    }));
    const transport = new MeteredTransport(
      new ConnectConsensusTransport(this.channels),
      this.logger,
      this.clock,
    );
    this.transport = transport;
    const open = (): Promise<ReplicatedLog> =>
      openReplicatedLog({
        vm: settings.ip,
        address: consensusAddress(settings, settings.ip),
        storage: new FileLogStorage(dataFolder),
        transport,
        stateMachine,
        bootstrap: isFounder ? founders : undefined,
        clock: this.clock,
        tuning: TUNING,
      });
    const startedAt = this.clock.now();
    const log = await this.openWithSpace(open);
    const tookMs = Math.round(this.clock.now() - startedAt);
    this.logger.info('the log is open', { ...log.size(), tookMs });
    const countBytes = (): void => {
      const { entryBytes, snapshotBytes } = log.size();
      logBytes.set({ part: 'entries' }, entryBytes);
      logBytes.set({ part: 'snapshot' }, snapshotBytes);
    };
    stateMachine.onDidApply(countBytes);
    stateMachine.onDidRestore(countBytes);
    countBytes();
    log.onDidChangeSpace((hasSpace) => {
      if (hasSpace) this.logger.info('the data folder has space again');
      else {
        this.logger.error('the data folder has no space left, changes are not acknowledged here');
      }
    });
    log.onFailure((err) => {
      this.logger.error('storage in the data folder failed, stopping the process', {
        error: String(err),
      });
      process.exitCode = 1;
      process.kill(process.pid, 'SIGTERM');
    });
    this.log = log;
    return log;
  }

  /** Opens the log once the disk has space for what the start writes. A process that ended would only be restarted. */
  private async openWithSpace(open: () => Promise<ReplicatedLog>): Promise<ReplicatedLog> {
    try {
      return await open();
    } catch (err) {
      if (!(err instanceof FullDiskError)) throw err;
      this.logger.error('the data folder has no space left, the log is not opened yet');
      await delay(this.clock, FULL_DISK_RETRY_MS);
      return this.openWithSpace(open);
    }
  }

  private async serveLog(
    log: ReplicatedLog,
    status: StatusContext,
    parts: LogServiceParts,
  ): Promise<void> {
    const server = new InternalServer({
      address: consensusAddress(this.settings, this.settings.ip),
      secretOf: () => INTERNAL_SECRET,
      register: (router) => {
        registerConsensus(router, log);
        registerLogService(router, parts);
      },
      fallback: statusHandler(status, metricsHandler()),
    });
    await server.listen();
    this.server = server;
  }

  private seedAddresses(): string[] {
    return this.settings.seeds.map((seed) => consensusAddress(this.settings, ipOf(seed)));
  }
}
