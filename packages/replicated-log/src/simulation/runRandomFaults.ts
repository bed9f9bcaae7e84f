/** Seeded randomised runs of a group under faults. */
import type { NetworkFaults } from '../FakeNetwork.js';
import { NO_FAULTS } from '../FakeNetwork.js';
import type { History } from './History.js';
import { SimulatedGroup, type GroupOptions } from './SimulatedGroup.js';
import type { SimulatedVm } from './SimulatedVm.js';

const MAX_STEP_MS = 1_500;

const RECOVERY_LIMIT_MS = 60_000;

export interface RunOptions extends GroupOptions {
  /** Number of faults, injected one after the other. */
  readonly steps: number;
}

type Fault = (group: SimulatedGroup, vm: SimulatedVm, other: SimulatedVm) => void;

function randomFaults({ random }: SimulatedGroup): NetworkFaults {
  return {
    minDelayMs: 0,
    maxDelayMs: random.between(1, 60),
    dropProbability: random.float() * 0.2,
    duplicateProbability: random.float() * 0.2,
  };
}

function isolate(group: SimulatedGroup, isInside: (vm: SimulatedVm) => boolean): void {
  const inside = group.vms.filter(isInside);
  const outside = group.vms.filter((vm) => !isInside(vm));
  inside.forEach((a) =>
    outside.forEach((b) => {
      group.network.block(a.address, b.address);
      group.network.block(b.address, a.address);
    }),
  );
}

/** Wipes a disk, but only once the last lost one is replaced: the group is to tolerate one lost disk at a time. */
function wipe(group: SimulatedGroup, vm: SimulatedVm): void {
  if (!group.isRepaired) return;
  vm.wipe();
  vm.start();
}

/** Isolates the leader and unblocks all other links, so that previously unreachable members can elect a new one. */
function isolateLeader(group: SimulatedGroup): void {
  const { leader } = group;
  group.network.unblockAll();
  isolate(group, (each) => each === leader);
}

const FAULTS: readonly Fault[] = [
  isolateLeader,
  isolateLeader,
  (group) => group.network.setFaults(randomFaults(group)),
  (group, vm, other) => group.network.block(vm.address, other.address),
  (group, vm) => isolate(group, (each) => each === vm),
  (group) => isolate(group, (each) => group.vms.indexOf(each) % 2 === 0),
  (_, vm) => vm.freeze(),
  (_, vm) => vm.thaw(),
  (_, vm) => vm.crash(),
  (_, vm) => {
    vm.crash();
    vm.start();
  },
  (_, vm) => vm.start(),
  (group) => group.vms.forEach((vm) => vm.crash()),
  (group) => group.startAll(),
  (group) => group.heal(),
  (group) => group.heal(),
  wipe,
  wipe,
];

/** Sends proposals and reads to all running members; those that do not lead answer `notLeader`. */
function startClients(group: SimulatedGroup): void {
  const { random } = group;
  group.vms.forEach(({ running }) => {
    if (running === undefined) return;
    Array.from({ length: random.int(4) }).forEach(() => {
      const asked = random.chance(0.5) ? group.propose(running) : group.read(running);
      asked.catch((err: unknown) => group.history.violations.push(String(err)));
    });
  });
}

async function runClients(group: SimulatedGroup, durationMs: number): Promise<void> {
  const end = group.clock.now() + durationMs;
  while (group.clock.now() < end) {
    startClients(group);
    if (group.random.chance(0.3)) {
      group.repairStep().catch((err: unknown) => group.history.violations.push(String(err)));
    }
    await group.run(group.random.between(1, 60));
  }
}

function isSettled(group: SimulatedGroup): boolean {
  const { leader } = group;
  if (leader === undefined || !group.isRepaired) return false;
  const { lastIndex } = leader.running!.status();
  return group.vms.every(({ running }) => running?.status().commitIndex === lastIndex);
}

async function recover(group: SimulatedGroup): Promise<void> {
  group.network.setFaults(NO_FAULTS);
  group.heal();
  const end = group.clock.now() + RECOVERY_LIMIT_MS;
  while (group.clock.now() < end && !isSettled(group)) {
    group.repairStep().catch((err: unknown) => group.history.violations.push(String(err)));
    await group.run(100);
  }
  if (!isSettled(group)) group.history.violations.push('no progress after the faults ended');
}

/** Injects random faults, then ends them and checks that the group recovers and has lost nothing. */
export async function runRandomFaults(options: RunOptions): Promise<History> {
  const group = new SimulatedGroup(options);
  const { random, history } = group;
  group.startAll();
  let step = 0;
  while (step < options.steps && history.violations.length === 0) {
    const fault = random.pick(FAULTS)!;
    fault(group, random.pick(group.vms)!, random.pick(group.vms)!);
    await runClients(group, random.between(1, MAX_STEP_MS));
    group.checkDisks();
    step += 1;
  }
  if (history.violations.length > 0) return history;
  await recover(group);
  group.checkDisks();
  group.vms.forEach(({ stateMachine }) => history.checkComplete(stateMachine.commands));
  return history;
}
