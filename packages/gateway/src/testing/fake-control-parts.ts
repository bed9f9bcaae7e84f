/** Costs, internal addresses and parts of fake control VMs. */
import { randomUUID } from 'node:crypto';
import type { Clock } from '@marigoldbank/base/clock';
import type { ReplicatedLog } from '@marigoldbank/replicated-log';
import type {
  MemoryDisk,
  MemoryLogStorage,
  ProcessClock,
} from '@marigoldbank/replicated-log/testing';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import type { ControlApi } from '../control/ControlApi.js';
import type { CommandSubmitter } from '../control/CommandSubmitter.js';
import { EvacuationCalls } from '../control/EvacuationCalls.js';
import { EvacuationOrders } from '../control/EvacuationOrders.js';
import type { PlanStateMachine } from '../control/PlanStateMachine.js';
import type { SlotTable } from '../control/SlotTable.js';
import type { StateConfirmation } from '../control/StateConfirmation.js';
import type { MessageBytes } from './MessageBytes.js';

const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3'];

/** What a control VM does when its power returns, in ms of a whole core, and the core that it has. */
export interface StartCosts {
  /** Share of a core that the log process and the hub have together; half of it each while both are busy. */
  readonly share: number;
  /** Part of that which the log process spends on questions of entries and announcements of targets once it has started. */
  readonly otherLoad: number;
  /** Start of the log process, of the hub until it waits for that, and of the hub afterwards. */
  readonly logMs: number;
  readonly hubBaseMs: number;
  readonly hubMs: number;
  /** The first message from another process, which opens a connection and compiles what handles it. */
  readonly firstMessageMs: number;
  readonly messageMs: number;
  readonly datagramMs: number;
  readonly timerMs: number;
  /** Longest sync of the disk. */
  readonly syncMs: number;
}

/** Costs of the grown deployments, from the logs of a day on which all control VMs lost power. */
export const GROWN_COSTS: StartCosts = {
  share: 0.405,
  otherLoad: 0.5,
  logMs: 190,
  hubBaseMs: 60,
  hubMs: 220,
  firstMessageMs: 12,
  messageMs: 2,
  datagramMs: 0.4,
  timerMs: 0.2,
  syncMs: 4,
};

/** The clock on which a process runs, its disk, and what the bytes of its messages cost. */
export interface FakeHost {
  readonly ip: string;
  readonly clock: ProcessClock;
  readonly disk: MemoryDisk;
  readonly syncMs: number | undefined;
  readonly bytes: MessageBytes;
}

export interface FakeControlVm extends FakeHost {
  /** Address at which operators reach the VM. */
  readonly address: string;
  readonly storage: MemoryLogStorage;
  readonly log: ReplicatedLog;
  readonly stateMachine: PlanStateMachine;
  readonly confirmation: StateConfirmation;
  readonly submitter: CommandSubmitter;
  readonly api: ControlApi;
}

export function logAddress(ip: string): string {
  return `${ip}:7600`;
}

export function datagramAddress(ip: string): string {
  return `${logAddress(ip)}/udp`;
}

export function internalAddresses(ip: string): string[] {
  return [logAddress(ip), datagramAddress(ip)];
}

export function makeEvacuationCalls(
  clock: Clock,
  stateMachine: PlanStateMachine,
  submitter: CommandSubmitter,
  slots: SlotTable,
): EvacuationCalls {
  return new EvacuationCalls({
    clock,
    logger: new NullLogger(),
    stateMachine,
    orders: new EvacuationOrders({ clock, stateMachine, submitter, makeId: randomUUID }),
    slots,
    dataCentres: DATA_CENTRES,
  });
}
