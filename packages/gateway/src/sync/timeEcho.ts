/** Dates a message by when it was true at its sender, on the clock of its receiver. */

/** A time of the peer's clock that it sent, and the own time at which that message was handled. */
export interface PeerTime {
  readonly sentAtMs: number;
  readonly handledAt: number;
}

export interface TimeEcho {
  readonly sentAtMs: number;
  readonly ageMs: number;
}

/** Echo for a statement that is true at `trueAt`, a time of the own clock. */
export function echoOf(peerTime: PeerTime | undefined, trueAt: number): TimeEcho {
  if (peerTime === undefined) return { sentAtMs: 0, ageMs: 0 };
  return { sentAtMs: peerTime.sentAtMs, ageMs: Math.floor(trueAt - peerTime.handledAt) };
}

/**
 * Time of the own clock since which the statement of a message has been true at the latest. The time that messages wait
 * in either direction makes it earlier. Undefined if the peer has not handled a message of this process yet. A peer of
 * an older release sends no echo; its messages are dated by their arrival.
 */
export function trueSince(echo: TimeEcho | undefined, now: number): number | undefined {
  if (echo === undefined) return now;
  // A time from the future was sent by a previous process at this address.
  if (echo.sentAtMs <= 0 || echo.sentAtMs > now) return undefined;
  return Math.min(now, echo.sentAtMs + echo.ageMs);
}
