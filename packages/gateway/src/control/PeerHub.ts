/** Another hub, as heard through its stream to this one. */
export interface PeerHub {
  /** Address of its state streams. */
  readonly address: string;
  dataCentre: string;
  /** Monotonic ms of its last message, -Infinity if none came. */
  heardAt: number;
}

/** A peer that was silent for this long is not counted on; its entries are no longer named to callers. */
export const PEER_SILENCE_MS = 3_000;

export function isHeard(peer: PeerHub, now: number): boolean {
  return now - peer.heardAt < PEER_SILENCE_MS;
}
