import { MAX_CONFIRMED_AGE_MS } from '../sync/confirmation.js';
import type { TargetRefs } from '../sync/TargetRefs.js';
import type { PeerTime } from '../sync/timeEcho.js';

/** Statement of a hub about itself. */
export interface PeerReport {
  readonly isLate: boolean;
  /** Number of its entries, with those that wait for it. */
  readonly entries: number;
  /** Monotonic ms at which it was true. Much earlier than its arrival if one of the two hubs is busy. */
  readonly trueAt: number;
}

/** State of another hub, updated by its stream to this one. */
export interface PeerHub {
  /** Address of its state synchronization service. */
  readonly address: string;
  dataCentre: string;
  /** Monotonic ms of its last message, -Infinity if none came. */
  lastMessageAt: number;
  /** Time in its last message that had one; it is returned to the hub. */
  time: PeerTime | undefined;
  /** What the hub last said about itself. */
  report: PeerReport | undefined;
  /** Whether it grants several tokens at once, to hubs that order them in advance. */
  takesTokenOrders: boolean;
  /** Numbers of targets in the evidence of its stream. */
  readonly refs: TargetRefs;
}

/** A peer without a message for this long counts as failed, and its entries as lost. */
export const PEER_TIMEOUT_MS = 3_000;

/** Whether the state of a hub is not known to be confirmed. A hub that has not described itself yet is not late. */
export function isLate({ report }: PeerHub, now: number): boolean {
  return report !== undefined && (report.isLate || now - report.trueAt > MAX_CONFIRMED_AGE_MS);
}

export function isAlive(peer: PeerHub, now: number): boolean {
  return now - peer.lastMessageAt < PEER_TIMEOUT_MS;
}
