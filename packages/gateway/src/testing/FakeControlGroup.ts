/** Log processes of control VMs in virtual time, and operators that call them over a network that they can leave. */
import type { HTTPResponse } from 'h3';
import { delay } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { openReplicatedLog } from '@marigoldbank/replicated-log';
import {
  FakeNetwork,
  FakeProcessor,
  FakeTransport,
  MemoryDisk,
  MemoryLogStorage,
  ProcessClock,
} from '@marigoldbank/replicated-log/testing';
import { AnnouncementFeed } from '../control/AnnouncementFeed.js';
import {
  CommandSubmitter,
  type CommandSubmitterContext,
  type ForwardedCommand,
} from '../control/CommandSubmitter.js';
import { commandEncoder } from '../control/command-codec.js';
import { ControlApi } from '../control/ControlApi.js';
import { toConfirmResponse } from '../control/log-routes.js';
import type { LeadershipAnswer } from '../sync/DirectoryClient.js';
import { TUNING } from '../control/ControlProcess.js';
import { waitForFirstLeader } from '../control/waitForFirstLeader.js';
import { ELECTION_WAIT_MS } from '../control/waitForLog.js';
import { PlanStateMachine } from '../control/PlanStateMachine.js';
import { SlotTable } from '../control/SlotTable.js';
import { StateConfirmation, type ConfirmationContext } from '../control/StateConfirmation.js';
import {
  datagramAddress,
  internalAddresses,
  logAddress,
  makeEvacuationCalls,
  type FakeControlVm,
  type FakeHost,
  type StartCosts,
} from './fake-control-parts.js';
import type { ControlReply } from './OperatorClient.js';
import { FREE_BYTES, MessageBytes, type ByteCosts } from './MessageBytes.js';
import { TimedTransport, withTimeout } from './TimedTransport.js';
import { VersionAdapter } from './VersionAdapter.js';

const OPERATOR = 'operator';

/** Operators and control VMs give up a request after this time. */
const ANSWER_TIMEOUT_MS = 1_000;

const CONTROL_PORT = 8_080;

/** Turns of the event loop that a call on a new connection takes: accept, head, body, answer, and a task between two of them. */
const CALL_TURNS = 5;

const WAIT_LIMIT_MS = 20_000;

const adapter = new VersionAdapter();

const encode = commandEncoder({});

type ClientOf = ConfirmationContext['clientOf'] & CommandSubmitterContext['clientOf'];
type Datagrams = ConfirmationContext['datagrams'];

interface CallOptions {
  readonly timeoutMs: number;
}

export class FakeControlGroup {
  public readonly clock = new VirtualClock();

  public readonly random: Random;

  public readonly network: FakeNetwork;

  /** Slots that all hubs know of. */
  public readonly slots = new SlotTable();

  public vms: FakeControlVm[] = [];

  private constructor(seed: number) {
    this.random = new Random(seed);
    this.network = new FakeNetwork(this.clock, this.random);
  }

  /** Starts a group and waits until each VM knows a leader that answers. Bytes cost no processor time by default. */
  public static async start(
    count: number,
    seed: number,
    voters = count,
    costs: ByteCosts = FREE_BYTES,
  ): Promise<FakeControlGroup> {
    const group = new FakeControlGroup(seed);
    const all = Array.from({ length: count }, (_, i) => `10.0.0.${i + 1}`);
    const ips = all.slice(0, voters);
    const hosts = all.map((ip) => ({
      ip,
      clock: new ProcessClock(group.clock),
      disk: new MemoryDisk(ip),
      syncMs: undefined,
      bytes: new MessageBytes(group.clock, costs),
    }));
    group.vms = await group.settle(Promise.all(hosts.map((host) => group.createVm(host, ips))));
    await group.advance(3_000);
    await all.slice(voters).reduce(async (earlier, ip) => {
      await earlier;
      const learner = { vm: ip, incarnation: ip, address: logAddress(ip) };
      await group.settle(group.leader.log.addLearner(learner));
    }, Promise.resolve());
    return group;
  }

  /** Ends the processes of all VMs at the same moment. Their disks keep what was synced. */
  public cutPower(): void {
    this.vms.forEach(({ ip, address, clock, storage, confirmation, submitter }) => {
      clock.stop();
      storage.crash();
      confirmation.dispose();
      submitter.dispose();
      [address, ...internalAddresses(ip)].forEach((attached) => this.network.detach(attached));
    });
  }

  /** Starts the processes of all VMs again within `spreadMs`. Resolves when the last log is open. */
  public async returnPower(costs: StartCosts, spreadMs: number): Promise<void> {
    const ips = this.vms.map(({ ip }) => ip);
    const starts = this.vms.map((vm) => this.restart(vm, ips, costs, spreadMs));
    this.vms = [];
    await this.settle(Promise.all(starts));
  }

  public get leader(): FakeControlVm {
    const leaders = this.vms.filter(({ log }) => log.status().role === 'leader');
    return leaders.sort((a, b) => b.log.status().term - a.log.status().term)[0]!;
  }

  public get followers(): FakeControlVm[] {
    const { leader } = this;
    return this.vms.filter((vm) => vm !== leader);
  }

  public advance(durationMs: number): Promise<void> {
    return this.clock.advanceAsync(durationMs);
  }

  /** Lets time pass until the condition holds. Rejects after `WAIT_LIMIT_MS`. */
  public async runUntil(hasHappened: () => boolean): Promise<void> {
    const end = this.clock.now() + WAIT_LIMIT_MS;
    while (!hasHappened() && this.clock.now() < end) await this.advance(1);
    if (!hasHappened()) throw new Error(`has not happened within ${WAIT_LIMIT_MS} ms`);
  }

  /** Lets time pass until the promise settles. */
  public async settle<T>(work: Promise<T>): Promise<T> {
    let isSettled = false;
    const markSettled = (): void => {
      isSettled = true;
    };
    work.then(markSettled, markSettled);
    await this.runUntil(() => isSettled);
    return work;
  }

  /** Stops the process of a VM: its timers do not fire, and messages to it wait. */
  public freeze(vm: FakeControlVm): void {
    vm.clock.freeze();
    [vm.address, ...internalAddresses(vm.ip)].forEach((address) => this.network.freeze(address));
  }

  public thaw(vm: FakeControlVm): void {
    vm.clock.thaw();
    [vm.address, ...internalAddresses(vm.ip)].forEach((address) => this.network.thaw(address));
  }

  /**
   * Lets each turn of the event loop of a log process take `turnMs`, as on a VM without processor time left. Messages on open
   * connections wait for the next turn, calls of operators for several.
   */
  public saturate(vm: FakeControlVm, turnMs: number): void {
    const { clock, network, random } = this;
    internalAddresses(vm.ip).forEach((address) => {
      network.setReceiver(address, (_from, handle) => {
        clock.setTimeout(handle, random.float() * turnMs);
      });
    });
    network.setReceiver(vm.address, (_from, handle) => {
      clock.setTimeout(handle, CALL_TURNS * turnMs);
    });
  }

  /** Drops all messages between the log processes of two groups of VMs, until `healCut`. */
  public cut(side: readonly FakeControlVm[], other: readonly FakeControlVm[]): void {
    side.forEach((a) => {
      other.forEach((b) => {
        [logAddress, datagramAddress].forEach((addressOf) => {
          this.network.block(addressOf(a.ip), addressOf(b.ip));
          this.network.block(addressOf(b.ip), addressOf(a.ip));
        });
      });
    });
  }

  public healCut(): void {
    this.network.unblockAll();
  }

  /** Keeps the process of each VM busy for a random part of the time, up to `maxBusyMs` at once. */
  public keepBusy(maxBusyMs: number, maxFreeMs: number): void {
    const occupy = (vm: FakeControlVm): void => {
      this.freeze(vm);
      this.clock.setTimeout(() => {
        this.thaw(vm);
        this.clock.setTimeout(() => occupy(vm), this.random.int(maxFreeMs));
      }, this.random.int(maxBusyMs));
    };
    this.vms.forEach(occupy);
  }

  /** Sends one request of an operator. Rejects without an answer within a second. */
  public async send(address: string, target: string, body: string): Promise<ControlReply> {
    const vm = this.vms.find((other) => other.address === address)!;
    const call = adapter.parseControlCall('POST', target);
    let isWaiting = true;
    const answer = this.network.call(OPERATOR, address, () =>
      vm.api.respond(call, target, body, () => isWaiting),
    );
    const reply = withTimeout(this.clock, answer, ANSWER_TIMEOUT_MS);
    const res: HTTPResponse = await reply.finally(() => {
      isWaiting = false;
    });
    return {
      status: res.status ?? 200,
      body: String(res.body),
      location: res.headers.get('location') ?? undefined,
    };
  }

  /** The hub of the VM starts at the same moment, waits for the log process, and then goes on. */
  private async restart(
    { ip, address, disk }: FakeControlVm,
    ips: readonly string[],
    costs: StartCosts,
    spreadMs: number,
  ): Promise<void> {
    const { clock, network, random } = this;
    await delay(clock, random.float() * spreadMs);
    const half = costs.share / 2;
    const hubWaitsFrom = clock.now() + costs.hubBaseMs / half;
    let openAt = Infinity;
    let servesAt = Infinity;
    const isHubBusy = (now: number): boolean => {
      const goesOnAt = Math.min(servesAt, openAt + ELECTION_WAIT_MS);
      return now < hubWaitsFrom || (now >= goesOnAt && now < goesOnAt + costs.hubMs / half);
    };
    const share = (): number => {
      const now = clock.now();
      return (isHubBusy(now) ? half : costs.share) * (now < servesAt ? 1 : 1 - costs.otherLoad);
    };
    const processor = new FakeProcessor(clock, share);
    const known = new Set<string>();
    const receive = (from: string, handle: () => void): void => {
      processor.run(known.has(from) ? costs.messageMs : costs.firstMessageMs, handle);
      known.add(from);
    };
    await new Promise<void>((resolve) => {
      processor.run(costs.logMs, resolve);
    });
    openAt = clock.now();
    const host: FakeHost = {
      ip,
      clock: new ProcessClock(processor.timers(costs.timerMs)),
      disk,
      syncMs: costs.syncMs,
      bytes: new MessageBytes(clock, FREE_BYTES),
    };
    const vm = await this.createVm(host, ips);
    this.vms.push(vm);
    waitForFirstLeader(vm.log, clock)
      .then(() => {
        servesAt = clock.now();
      })
      .catch(() => undefined);
    network.setReceiver(logAddress(ip), receive);
    network.setReceiver(datagramAddress(ip), (_from, handle) =>
      processor.run(costs.datagramMs, handle),
    );
    network.setReceiver(address, receive);
  }

  private async createVm(host: FakeHost, ips: readonly string[]): Promise<FakeControlVm> {
    const { network, random } = this;
    const { ip, clock, disk, syncMs, bytes } = host;
    const storage = new MemoryLogStorage(disk, clock, random.fork(), syncMs);
    const stateMachine = new PlanStateMachine();
    const logger = new NullLogger();
    const address = `${ip}:${CONTROL_PORT}`;
    const log = await openReplicatedLog({
      vm: ip,
      address: logAddress(ip),
      storage,
      transport: new TimedTransport(
        clock,
        bytes.transport(new FakeTransport(network, logAddress(ip))),
      ),
      stateMachine,
      bootstrap: ips.includes(ip)
        ? ips.map((vm) => ({ vm, address: logAddress(vm), incarnation: '' }))
        : undefined,
      clock,
      random: random.fork(),
      tuning: TUNING,
    });
    const handler = bytes.handler(log);
    [address, ...internalAddresses(ip)].forEach((attached) => network.attach(attached, handler));
    stateMachine.onDidApply(({ command }) => bytes.apply(command));
    const clientOf = this.clientOf(ip);
    const datagrams = this.datagramsOf(ip);
    const confirmation = new StateConfirmation({ clock, log, logger, datagrams, clientOf });
    const submitter = new CommandSubmitter({ clock, log, stateMachine, logger, encode, clientOf });
    const evacuations = makeEvacuationCalls(clock, stateMachine, submitter, this.slots);
    const api = new ControlApi({
      clock,
      protocol: adapter,
      feed: { announce: () => undefined, announcements: new AnnouncementFeed() },
      log,
      submitter,
      evacuations,
      confirmation,
      stateMachine,
      logger,
      controlPort: CONTROL_PORT,
    });
    return { ...host, address, storage, log, stateMachine, confirmation, submitter, api };
  }

  /** Sends a message over the internal addresses of two VMs. */
  private callInternal<T>(
    from: string,
    to: string,
    addressOf: (ip: string) => string,
    timeoutMs: number,
    handle: (vm: FakeControlVm) => Promise<T>,
  ): Promise<T> {
    const self = this.vms.find(({ ip }) => ip === from)!;
    const receiver = this.vms.find(({ ip }) => logAddress(ip) === to)!;
    const answer = this.network.call(addressOf(from), addressOf(receiver.ip), () =>
      handle(this.vms.find(({ ip }) => ip === receiver.ip)!),
    );
    return withTimeout(self.clock, answer, timeoutMs);
  }

  /** The datagrams with which a VM asks for confirmations. */
  private datagramsOf(from: string): Datagrams {
    const confirm: Datagrams['confirmLeadership'] = async (to, timeoutMs) => {
      const index = await this.callInternal(from, to, datagramAddress, timeoutMs, (vm) =>
        vm.confirmation.confirmLeadership(),
      );
      return toConfirmResponse(index) as LeadershipAnswer;
    };
    return {
      confirmLeadership: (to, timeoutMs) => confirm(to, timeoutMs).catch(() => undefined),
    };
  }

  /** Clients of the log service with which a VM reaches the others. */
  private clientOf(from: string): ClientOf {
    const call = <T>(
      to: string,
      timeoutMs: number,
      handle: (vm: FakeControlVm) => Promise<T>,
    ): Promise<T> => this.callInternal(from, to, logAddress, timeoutMs, handle);
    const confirm = async (to: string, timeoutMs: number): Promise<object> =>
      toConfirmResponse(await call(to, timeoutMs, (vm) => vm.confirmation.confirmLeadership()));
    const submit = async (
      to: string,
      commands: readonly ForwardedCommand[],
      timeoutMs: number,
    ): Promise<object> => ({
      isCommitted: await call(to, timeoutMs, (vm) => vm.submitter.accept(commands)),
    });
    return ((to: string) => ({
      confirm: (_req: object, { timeoutMs }: CallOptions) => confirm(to, timeoutMs),
      submit: (
        { commands }: { commands: readonly ForwardedCommand[] },
        { timeoutMs }: CallOptions,
      ) => submit(to, commands, timeoutMs),
    })) as unknown as ClientOf;
  }
}
