/** Load on one hub: the reports of its entries, and those of the other entries as relayed by the other hubs. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import http2 from 'node:http2';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { SystemClock, setPeriodic } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import { Random } from '@marigoldbank/base/random';
import { testPorts } from '@marigoldbank/daemon/testing/PortAllocator';
import type { Announcement } from '@marigoldbank/gateway/announcement';
import type { EntryReportInit } from '@marigoldbank/gateway/entry/HubReporter';
import { MessageQueue } from '@marigoldbank/gateway/sync/MessageQueue';
import { SyncClients } from '@marigoldbank/gateway/sync/SyncClients';
import {
  SyncService,
  type HubRelaySchema,
  type HubUpdate,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { readUsage } from '../control/processUsage.js';
import { ReportSource } from './ReportSource.js';

export const HUB_IP = '127.0.0.2';
const PORTS = 5;
const STEP_MS = 5;
const MS_PER_SECOND = 1_000;
const DURATION_MS = 300;
const ANNOUNCE_MS = 1_500;
const ENTRY_FLUSH_MS = 60;
const RELAY_FLUSH_MS = 40;
const SEED = 1;
const DATA_CENTRES = 3;

type HubRelayInit = MessageInitShape<typeof HubRelaySchema>;

export interface HubLoadPoint {
  /** Entries of the measured hub. */
  readonly entries: number;
  /** Entries of the fleet. */
  readonly fleetEntries: number;
  readonly otherHubs: number;
  readonly targets: number;
  readonly teams: number;
  /** Of the whole fleet. */
  readonly requestsPerSecond: number;
  readonly failedShare: number;
  /** Port of the targets, which listen on loopback addresses. Without it, their addresses are not used. */
  readonly targetPort?: number;
  /** Plan of the hub, which otherwise has none. */
  readonly plan?: RoutingPlan;
}

/** What a hub is told at its start. */
export interface HubSetup {
  readonly announcements: readonly Announcement[];
  readonly plan: RoutingPlan | undefined;
}

export interface HubLoadResult {
  /** Mean use of processors by the hub. */
  readonly hubCores: number;
  readonly hubMb: number;
  readonly messagesPerEntryAndSecond: number;
  readonly evidenceBytesPerEntryAndSecond: number;
}

export class HubLoad extends DisposableStore {
  private readonly random = new Random(SEED);

  private readonly sources: { entries: ReportSource[]; hubs: ReportSource[] } = {
    entries: [],
    hubs: [],
  };

  private received = { messages: 0, evidenceBytes: 0 };

  private readonly targets: string[];

  /** Sequence number of the last announcements. */
  private seq = 0;

  private constructor(
    private readonly point: HubLoadPoint,
    private readonly hub: ChildProcess,
    /** First internal port of the hub. */
    public readonly firstPort: number,
  ) {
    super();
    this.targets = Array.from({ length: point.targets }, (_, i) => `i-${i.toString(16)}-target`);
  }

  /** Starts a hub, its entries and the other hubs. */
  public static async start(point: HubLoadPoint): Promise<HubLoad> {
    const firstPort = await testPorts.allocate(HUB_IP, PORTS);
    const script = new URL('./hubProcess.js', import.meta.url).pathname;
    const hub = fork(script, [HUB_IP, String(firstPort)], { execArgv: [] });
    await once(hub, 'message');
    const load = new HubLoad(point, hub, firstPort);
    load.add(setPeriodic(new SystemClock(), () => load.announceTargets(), ANNOUNCE_MS));
    load.announceTargets(point.plan);
    Array.from({ length: point.otherHubs }).forEach((_, i) => load.connectHub(i));
    Array.from({ length: point.entries }).forEach((_, i) => load.connectEntry(i));
    load.generateRequests();
    return load;
  }

  /** Measures for a while. Call after a time in which all connections are established. */
  public async measure(durationMs: number): Promise<HubLoadResult> {
    const clock = new SystemClock();
    const before = readUsage(this.hub.pid!);
    const startedAt = clock.now();
    this.received = { messages: 0, evidenceBytes: 0 };
    await new Promise((resolve) => {
      clock.setTimeout(() => resolve(undefined), durationMs);
    });
    const seconds = (clock.now() - startedAt) / MS_PER_SECOND;
    const after = readUsage(this.hub.pid!);
    const perEntry = (count: number): number => count / seconds / this.point.entries;
    return {
      hubCores: (after.cpuSeconds - before.cpuSeconds) / seconds,
      hubMb: after.rssBytes / 2 ** 20,
      messagesPerEntryAndSecond: perEntry(this.received.messages),
      evidenceBytesPerEntryAndSecond: perEntry(this.received.evidenceBytes),
    };
  }

  public override dispose(): void {
    super.dispose();
    this.hub.kill('SIGKILL');
  }

  private announceTargets(plan?: RoutingPlan): void {
    const { targetPort } = this.point;
    this.seq += 1;
    const [network, port] = targetPort === undefined ? ['10.128', 8_080] : ['127.128', targetPort];
    const announcements = this.targets.map((id, i) => ({
      id,
      address: `${network}.${Math.floor(i / 250)}.${1 + (i % 250)}:${port}`,
      service: `service-${i % 2}`,
      dataCentre: `dc-${1 + (Math.floor(i / 2) % DATA_CENTRES)}`,
      slots: 6,
      isDraining: false,
      coldMs: 0,
      born: 1,
      seq: this.seq,
      version: 'v1',
    }));
    const setup: HubSetup = { announcements, plan };
    this.hub.send(setup);
  }

  private connectEntry(i: number): void {
    const clients = this.add(new SyncClients());
    const queue = new MessageQueue<EntryReportInit>();
    queue.push({
      hello: { vm: `entry-${i}`, address: `10.0.0.${i}:80`, dataCentre: 'dc-1' },
      isReady: true,
    });
    this.sources.entries.push(
      new ReportSource(ENTRY_FLUSH_MS, (report) => queue.push({ ...report, isReady: true })),
    );
    const updates = clients.client(`${HUB_IP}:${this.firstPort + 1}`).follow(queue);
    this.readUpdates(updates).catch(() => undefined);
  }

  private async readUpdates(updates: AsyncIterable<HubUpdate>): Promise<void> {
    const iterator = updates[Symbol.asyncIterator]();
    let next = await iterator.next();
    while (next.done !== true) {
      this.received.messages += 1;
      this.received.evidenceBytes += next.value.evidenceBatch.length;
      next = await iterator.next();
    }
  }

  private connectHub(i: number): void {
    const address = `127.0.0.${i + 10}`;
    const server = http2.createServer(
      connectNodeAdapter({
        routes: (router) =>
          router.service(SyncService, {
            relay: async (messages) => {
              const iterator = messages[Symbol.asyncIterator]();
              while ((await iterator.next()).done !== true);
              return {};
            },
          }),
      }),
    );
    server.listen(this.firstPort + 1, address);
    this.add({ dispose: () => server.close() });
    const clients = this.add(new SyncClients());
    const queue = new MessageQueue<HubRelayInit>();
    const { fleetEntries, entries, otherHubs } = this.point;
    const ownEntries = Math.round((fleetEntries - entries) / otherHubs);
    queue.push({
      hello: { address: `${address}:${this.firstPort + 1}`, dataCentre: 'dc-1' },
      entries: Array.from({ length: ownEntries }, (_, j) => ({
        identity: { vm: `entry-${i}-${j}`, address: `10.1.${i}.${j}:80`, dataCentre: 'dc-1' },
        isReady: true,
      })),
    });
    this.sources.hubs.push(new ReportSource(RELAY_FLUSH_MS, (report) => queue.push(report)));
    clients
      .client(`${HUB_IP}:${this.firstPort + 1}`)
      .relay(queue)
      .catch(() => undefined);
  }

  /** Each request starts and ends at one target, and is reported by its entry or by another hub. */
  private generateRequests(): void {
    const clock = new SystemClock();
    const { point, random, sources } = this;
    let due = 0;
    let lastAt = clock.now();
    const request = (): void => {
      const isOwn = random.chance(point.entries / point.fleetEntries);
      const source = random.pick(isOwn ? sources.entries : sources.hubs);
      const target = random.pick(this.targets)!;
      source?.start(target, `team-${random.int(point.teams)}`);
      const hasFailed = random.chance(point.failedShare);
      clock.setTimeout(() => source?.end(target, hasFailed), DURATION_MS);
    };
    const step = (): void => {
      due += ((clock.now() - lastAt) * point.requestsPerSecond) / MS_PER_SECOND;
      lastAt = clock.now();
      Array.from({ length: Math.floor(due) }).forEach(request);
      due -= Math.floor(due);
    };
    this.add(setPeriodic(clock, step, STEP_MS));
  }
}
