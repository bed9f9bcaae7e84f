/** Hubs and entries in virtual time, connected by a network that delays the messages of busy hubs. */
import { create } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import {
  EntryReportSchema,
  HubRelaySchema,
  HubUpdateSchema,
  type EntryReport,
  type HubUpdate,
  type SyncService,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { encodeCommand, type CommandInit } from '../control/commands.js';
import type { EntryStream } from '../control/EntryStream.js';
import { Hub } from '../control/Hub.js';
import { HubDirectory } from '../control/HubDirectory.js';
import { LOG_TIMEOUT_MS } from '../control/LogFollower.js';
import type { PeerHub } from '../control/PeerHub.js';
import { PlanStateMachine } from '../control/PlanStateMachine.js';
import { HubFollower } from '../entry/HubFollower.js';
import { HubLocator } from '../entry/HubLocator.js';
import type { EntryReportInit } from '../entry/HubReporter.js';
import { HubSelector } from '../entry/HubSelector.js';
import { PlanRefresher } from '../entry/PlanRefresher.js';
import { syncAddress } from '../settings.js';
import { USUAL_PACE } from '../sync/BatchPace.js';
import { MessageQueue } from '../sync/MessageQueue.js';
import {
  isWithoutMajority,
  LEADER_IP,
  makeEntry,
  makeHistory,
  makeSettings,
  makeUnansweredLog,
  VOTERS,
  type FakeEntry,
  type FakeFleetOptions,
  type FakeHub,
} from './fake-fleet-parts.js';
import { FakeLogClients } from './FakeLogClients.js';
import { FakeStoredLog, makeMember } from './FakeStoredLog.js';
import { FakeStream } from './FakeStream.js';
import { OffsetClock } from './OffsetClock.js';
import { aborted, readAll } from './streams.js';

const REPLICATION_MS = 5;

/** Interval at which a hub asks the log process of its VM, and age of the confirmations that it learns there. */
const WATCH_MS = 150;
const CONFIRMATION_AGE_MS = 200;
const MAX_SEED = 0x7fffffff;

/** Work for a stream that a hub refuses, as a share of that for one that it accepts. */
const REFUSED_SHARE = 0.25;

export class FakeFleet {
  public readonly clock = new VirtualClock();

  /** Time for which a hub is busy with each entry that connects from now on. Other messages wait meanwhile. */
  public connectMs = 0;

  /** Time for which a hub is busy with each report of an entry, and what it relays and distributes of it. */
  public reportMs = 0;

  /** Whether there is no leader, so that no log is confirmed. */
  public isLeaderless = false;

  /** Log processes as entries reach them. */
  public readonly logs = new FakeLogClients(this.clock, (address) => this.hubAt(address));

  public readonly hubs: FakeHub[];

  public readonly entries: FakeEntry[];

  private readonly random: Random;

  /** VMs of the hubs, which are also the voters. */
  private readonly ips: readonly string[];

  /** Time since which the log process of a VM has not answered, by IP address. */
  private readonly logFailedAt = new Map<string, number>();

  private readonly refreshers: PlanRefresher[] = [];

  private commitIndex = 0;

  public constructor(private readonly options: FakeFleetOptions) {
    this.random = new Random(options.seed ?? 1);
    this.ips = options.hubs.map((_, i) => `10.0.0.${i + 1}`);
    this.hubs = options.hubs.map((dataCentre, i) => this.createHub(this.ips[i]!, dataCentre));
    this.hubs.forEach(({ hub }) => hub.setSeeds(this.hubs.map(({ ip }) => `${ip}:1`)));
    this.entries = options.entries.map((dataCentre, i) => this.createEntry(`e${i}`, dataCentre));
    this.watchLogs();
    setPeriodic(this.clock, () => this.watchLogs(), WATCH_MS);
  }

  /** Commits a plan at the leader. The hubs that it reaches apply it when its message has passed their delay. */
  public commit(plan: RoutingPlan): void {
    this.commitCommand({ kind: 'putPlan', document: '', plan });
  }

  /** Commits that a target leaves, as a plan is. */
  public commitLeaving(id: string): void {
    this.commitCommand({ kind: 'markLeaving', id, born: 1, isGone: false, at: this.clock.now() });
  }

  /** Commits the next order about the evacuation of a data centre. */
  public commitEvacuation(dataCentre: string, isEvacuated: boolean): void {
    const base = this.hubs[0]!.logState.evacuations.get(dataCentre)?.orders ?? 0;
    const id = `order ${this.commitIndex}`;
    this.commitCommand({ kind: 'orderEvacuation', dataCentre, isEvacuated, base, id });
  }

  private commitCommand(init: CommandInit): void {
    this.commitIndex += 1;
    const index = this.commitIndex;
    const command = encodeCommand(init);
    this.hubs.forEach((hub, i) => {
      const { stateMachine, logState, storedLog, delayMs, isLogDown } = hub;
      if (isWithoutMajority(hub) || isLogDown) return;
      storedLog.store(init);
      storedLog.commitIndex = storedLog.status().lastIndex;
      // The log process of a VM has a share of its own, so that a busy hub does not delay it.
      const applyToLog = (): unknown => logState.apply(index, command);
      if (i === 0) applyToLog();
      else this.clock.setTimeout(applyToLog, REPLICATION_MS);
      const apply = (): unknown => stateMachine.apply(index, command);
      if (i === 0) apply();
      else this.clock.setTimeout(apply, REPLICATION_MS + delayMs);
    });
  }

  public advance(durationMs: number): Promise<void> {
    return this.clock.advanceAsync(durationMs);
  }

  /** Number of entries that follow each hub. */
  public followersByHub(): number[] {
    return this.hubs.map(
      ({ address }) => this.entries.filter(({ followed }) => followed === address).length,
    );
  }

  /** Freezes the VM of a hub: neither the hub nor the log process answers. */
  public freeze(hub: FakeHub, durationMs: number): void {
    Object.assign(hub, { logFrozenUntil: this.clock.now() + durationMs });
    this.occupy(hub, durationMs);
  }

  /** Keeps a hub busy for a while, so that its messages wait. */
  public occupy(hub: FakeHub, durationMs: number): void {
    Object.assign(hub, { busyUntil: Math.max(this.clock.now(), hub.busyUntil) + durationMs });
  }

  private waitMs({ delayMs, busyUntil }: FakeHub): number {
    return delayMs + Math.max(0, busyUntil - this.clock.now());
  }

  private processClock(): Clock {
    return new OffsetClock(this.clock, this.random.int(100_000));
  }

  private createHub(ip: string, dataCentre: string): FakeHub {
    const settings = makeSettings(ip, dataCentre, this.options);
    const stateMachine = new PlanStateMachine();
    const log = makeUnansweredLog(ip === LEADER_IP, this.ips);
    const clock = this.processClock();
    const logState = new PlanStateMachine();
    const address = syncAddress(settings, ip);
    const voters = this.ips.slice(0, VOTERS).map((other) => syncAddress(settings, other));
    const storedLog = new FakeStoredLog(makeMember(address), voters.map(makeMember));
    const hub = new Hub({
      clock,
      settings,
      stateMachine,
      logger: new NullLogger(),
      pace: USUAL_PACE,
      log,
      clientOf: (other) => this.client(other, ip),
    });
    return {
      ip,
      address,
      hub,
      clock,
      log,
      stateMachine,
      directory: new HubDirectory({
        clock: this.clock,
        random: this.random.fork(),
        memberCount: () => this.ips.length,
      }),
      logState,
      history: makeHistory(this.clock, () => this.hubAt(address), logState, storedLog),
      storedLog,
      logConfirmedAt: -Infinity,
      logFrozenUntil: 0,
      delayMs: 0,
      busyUntil: 0,
      connections: 0,
      isCutOff: false,
      isUnheard: false,
      isLogDown: false,
    };
  }

  /**
   * Lets the hubs ask the log processes of their VMs, which answer at once. The answer waits at a busy hub and is dated
   * by when it was asked for. The log of a VM that is cut off hears no leader.
   */
  private watchLogs(): void {
    const now = this.clock.now();
    this.hubs
      .filter(({ isLogDown }) => isLogDown)
      .forEach(({ ip, log }) => {
        const failedAt = this.logFailedAt.get(ip) ?? now;
        this.logFailedAt.set(ip, failedAt);
        const hasAnswered = log.confirmedAt > -Infinity;
        if (hasAnswered && now - failedAt >= LOG_TIMEOUT_MS) {
          Object.assign(log, { isAnswering: false });
        }
      });
    this.hubs
      .filter((hub) => !this.isLeaderless && !isWithoutMajority(hub) && !hub.isLogDown)
      .forEach((hub) => {
        this.clock.setTimeout(
          () => hub.directory.setHubs(hub.hub.peers.listForEntries(hub.clock.now())),
          this.waitMs(hub),
        );
        const ageMs = hub.ip === LEADER_IP ? 0 : CONFIRMATION_AGE_MS;
        Object.assign(hub, { logConfirmedAt: now - ageMs });
        const askedAt = hub.clock.now();
        const learn = (): void => {
          this.logFailedAt.delete(hub.ip);
          Object.assign(hub.log, {
            confirmedAt: askedAt - ageMs,
            leaderSeenAt: hub.clock.now() - ageMs,
            answerDelayMs: hub.clock.now() - askedAt,
            isAnswering: true,
          });
        };
        this.clock.setTimeout(learn, this.waitMs(hub));
      });
  }

  private createEntry(vm: string, dataCentre: string): FakeEntry {
    const clock = this.processClock();
    const seed = this.random.int(MAX_SEED);
    const { entry, extensions } = makeEntry(vm, dataCentre, clock, new Random(seed), this.options);
    const { state, reporter } = entry;
    const seeds = this.hubs.slice(0, 3).map(({ address }) => address);
    const selector = new HubSelector(dataCentre, seeds, clock.now(), state.random.float());
    const refresher = new PlanRefresher({
      clock,
      state,
      logger: new NullLogger(),
      client: this.logs.planClient(),
      addresses: () => [...seeds, ...selector.knownAddresses],
    });
    this.refreshers.push(refresher);
    const follower = new HubFollower({
      clock,
      state,
      reporter,
      hubs: selector,
      extensions,
      logger: new NullLogger(),
      identity: { vm, address: `${vm}:80`, dataCentre },
      seeds: () => seeds,
      locator: new HubLocator({
        clock,
        random: this.random.fork(),
        logger: new NullLogger(),
        dataCentre,
        seeds: () => seeds,
        client: this.logs.directoryClient(),
      }),
      logAddressOf: (hub) => hub,
      clientOf: (address) => this.client(address, vm),
    });
    reporter.setReady(true);
    const delayMs = this.random.float() * (this.options.startWithinMs ?? 0);
    this.clock.setTimeout(() => {
      follower.run().catch(() => undefined);
    }, delayMs);
    return entry;
  }

  /** Client of the process `from` for the hub at `address`. */
  private client(address: string, from: string): Client<typeof SyncService> {
    return {
      relay: (
        messages: AsyncIterable<Parameters<typeof create<typeof HubRelaySchema>>[1]>,
        { signal }: { signal: AbortSignal },
      ) => this.relay(address, from, messages, signal),
      follow: (
        reports: AsyncIterable<EntryReportInit>,
        { signal }: { signal: AbortSignal },
      ): AsyncIterable<HubUpdate> => this.follow(address, from, reports, signal),
    } as unknown as Client<typeof SyncService>;
  }

  private hubAt(address: string): FakeHub {
    return this.hubs.find((hub) => hub.address === address)!;
  }

  private async relay(
    address: string,
    from: string,
    messages: AsyncIterable<Parameters<typeof create<typeof HubRelaySchema>>[1]>,
    signal: AbortSignal,
  ): Promise<object> {
    const stream = new FakeStream(this.clock);
    let peer: PeerHub | undefined;
    const reading = readAll(messages, (message) => {
      const target = this.hubAt(address);
      const sender = this.hubs.find(({ ip }) => ip === from)!;
      if (sender.isCutOff !== target.isCutOff || sender.isUnheard) return;
      stream.deliver(this.waitMs(target) + this.waitMs(sender), () => {
        const relay = create(HubRelaySchema, message);
        const { hello } = relay;
        if (hello !== undefined) peer = target.hub.peers.open(hello.address, hello.dataCentre);
        target.hub.handleRelay(relay, peer!);
      });
    });
    await Promise.race([reading, aborted(signal)]);
    return {};
  }

  private follow(
    address: string,
    vm: string,
    reports: AsyncIterable<EntryReportInit>,
    signal: AbortSignal,
  ): AsyncIterable<HubUpdate> {
    const target = this.hubAt(address);
    const entry = this.entries.find((other) => other.vm === vm)!;
    const [up, down] = [new FakeStream(this.clock), new FakeStream(this.clock)];
    const received = new MessageQueue<HubUpdate>();
    const refusal = new AbortController();
    let stream: EntryStream | undefined;
    const refuse = (): void => {
      down.deliver(this.waitMs(target), () => refusal.abort());
    };
    const open = (report: EntryReport): void => {
      // A hub learns that a stream was given up before it handles the first report.
      if (!signal.aborted) stream = target.hub.connect(report.hello!, report);
      if (stream?.session === undefined) this.occupy(target, this.connectMs * REFUSED_SHARE);
      if (stream === undefined) {
        refuse();
        return;
      }
      let isOpen = false;
      readAll(stream.updates(), (update) => {
        if (!isOpen && update.isWaiting !== true) {
          isOpen = true;
          Object.assign(target, { connections: target.connections + 1 });
          this.occupy(target, this.connectMs);
        }
        down.deliver(this.waitMs(target), () => received.push(create(HubUpdateSchema, update)));
      }).catch(refuse);
    };
    readAll(reports, (init) => {
      const report = create(EntryReportSchema, init);
      if (report.hello === undefined) this.occupy(target, this.reportMs);
      up.deliver(this.waitMs(target), () => {
        if (report.hello !== undefined) open(report);
        else if (stream?.session !== undefined) target.hub.handleReport(stream.session, report);
      });
    }).catch(() => undefined);
    signal.addEventListener('abort', () =>
      up.deliver(this.waitMs(target), () => {
        if (stream !== undefined) target.hub.disconnect(stream);
      }),
    );
    const abort = aborted(signal);
    abort.catch(() => undefined);
    const refused = aborted(refusal.signal);
    refused.catch(() => undefined);
    const inner = received[Symbol.asyncIterator]();
    const next = async (): Promise<IteratorResult<HubUpdate>> => {
      const result = await Promise.race([inner.next(), abort, refused]);
      Object.assign(entry, { followed: address });
      if (result.done !== true) entry.updates.push(result.value);
      return result;
    };
    return { [Symbol.asyncIterator]: () => ({ next }) };
  }
}
