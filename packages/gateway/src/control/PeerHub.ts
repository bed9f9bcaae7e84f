import type { PeerTime } from '../sync/timeEcho.js';

/** State of another hub, updated by its stream to this one. */
export interface PeerHub {
  /** Address of its state synchronization service. */
  readonly address: string;
  dataCentre: string;
  /** Monotonic ms of its last message, -Infinity if none came. */
  lastMessageAt: number;
  /** Time in its last message that had one; it is returned to the hub. */
  time: PeerTime | undefined;
  /** Monotonic ms at which the newest confirmation from this hub was true, undefined if none could be dated. */
  confirmedAt: number | undefined;
}

/** A peer without a message for this long counts as failed, and its entries as lost. */
export const PEER_TIMEOUT_MS = 3_000;

export function isAlive(peer: PeerHub, now: number): boolean {
  return now - peer.lastMessageAt < PEER_TIMEOUT_MS;
}
