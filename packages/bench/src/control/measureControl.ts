/** Measures CPU time and memory of idle daemons, the time until a change is in force, and the failover time. */
import type { Lists } from '@marigoldbank/lists/schema';
import { Fleet, waitUntil } from '../process/Fleet.js';
import { OperatorClient } from '../process/OperatorClient.js';
import { readUsage } from './processUsage.js';

const READY_TIMEOUT_MS = 30_000;

const USAGE_SAMPLE_MS = 10_000;

const CHANGES_PER_FLEET = 5;

export interface ControlPoint {
  readonly entries: number;
  readonly services: number;
  readonly teams: number;
}

export interface ControlMeasurement extends ControlPoint {
  /** Share of one core, in percent. */
  readonly entryCpuPercent: number;
  readonly leaderCpuPercent: number;
  readonly followerCpuPercent: number;
  readonly entryRssMb: number;
  readonly leaderRssMb: number;
  /** Time from the proposal until the change is in force on every entry, in milliseconds, for each change. */
  readonly inForceMs: readonly number[];
  /** Time from the leader's kill until the next change is recorded, in milliseconds. */
  readonly failoverMs: number;
}

interface UsageDelta {
  readonly cpuPercent: number;
  readonly rssMb: number;
}

function createLists({ services, teams }: ControlPoint, rate: number): Lists {
  const names = Array.from({ length: services }, (_, i) => `service-${i}`);
  return {
    teams: Object.fromEntries(
      Array.from({ length: teams }, (_, i) => [`team-${i}`, { plan: 'basic', keys: [] }]),
    ),
    services: Object.fromEntries(
      names.map((name) => [name, { profile: 'prompt-detection' as const, floor: 0.6 }]),
    ),
    routes: {},
    plans: { basic: { rate, burst: 100, routes: [], services: names } },
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

async function sampleUsage(fleet: Fleet): Promise<Map<string, UsageDelta>> {
  const vms = [...fleet.controls, ...fleet.entries];
  const read = (): ReturnType<typeof readUsage>[] =>
    vms.map((vm) => readUsage(fleet.process(vm).pid!));
  const before = read();
  await new Promise((resolve) => {
    setTimeout(resolve, USAGE_SAMPLE_MS);
  });
  const after = read();
  return new Map(
    vms.map((vm, i) => [
      vm,
      {
        cpuPercent:
          ((after[i]!.cpuSeconds - before[i]!.cpuSeconds) / (USAGE_SAMPLE_MS / 1_000)) * 100,
        rssMb: after[i]!.rssBytes / 1_048_576,
      },
    ]),
  );
}

async function measureChange(
  operator: OperatorClient,
  point: ControlPoint,
  rate: number,
): Promise<number> {
  const base = Number((await operator.status()).listsRevision);
  const start = performance.now();
  const result = await operator.applyLists(createLists(point, rate), base);
  if (result.kind !== 'recorded') throw new Error(`lists not recorded: ${result.kind}`);
  await waitUntil(
    'the change is in force everywhere',
    async () => (await operator.progress(result.revision)).missing.length === 0,
    READY_TIMEOUT_MS,
  );
  return Math.round(performance.now() - start);
}

async function measureFailover(
  fleet: Fleet,
  operator: OperatorClient,
  leader: string,
  point: ControlPoint,
): Promise<number> {
  const base = Number((await operator.status()).listsRevision);
  await fleet.process(leader).kill();
  const start = performance.now();
  await operator.applyLists(createLists(point, 1), base);
  return Math.round(performance.now() - start);
}

/** Starts a fleet of the given size and measures it without traffic. */
export async function measureControl(point: ControlPoint): Promise<ControlMeasurement> {
  const fleet = await Fleet.start({
    controlCount: 3,
    entryCount: point.entries,
    hasRelays: false,
  });
  try {
    await fleet.waitReady(READY_TIMEOUT_MS);
    const operator = new OperatorClient(fleet.controlAddresses);
    const inForceMs: number[] = [];
    for (let i = 0; i < CHANGES_PER_FLEET; i += 1) {
      inForceMs.push(await measureChange(operator, point, 100 + i));
    }
    const usage = await sampleUsage(fleet);
    const status = await operator.status();
    const leader = status.voters.find(({ isLeader }) => isLeader)!.member!.vm;
    const followers = fleet.controls.filter((vm) => vm !== leader);
    const cpuOf = (vms: readonly string[]): number =>
      mean(vms.map((vm) => usage.get(vm)!.cpuPercent));
    const rssOf = (vms: readonly string[]): number => mean(vms.map((vm) => usage.get(vm)!.rssMb));
    const failoverMs = await measureFailover(fleet, operator, leader, point);
    return {
      ...point,
      entryCpuPercent: cpuOf(fleet.entries),
      leaderCpuPercent: cpuOf([leader]),
      followerCpuPercent: cpuOf(followers),
      entryRssMb: rssOf(fleet.entries),
      leaderRssMb: rssOf([leader]),
      inForceMs,
      failoverMs,
    };
  } finally {
    await fleet.stop();
  }
}
