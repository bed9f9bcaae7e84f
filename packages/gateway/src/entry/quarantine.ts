/** Refuses requests under which targets have ended, before anything is sent. */
import { computeFingerprint } from '@marigoldbank/daemon/entry/fingerprint';
import type { PoisonTable } from '@marigoldbank/routing/PoisonTable';
import type { ErrorResponse } from './ErrorResponse.js';
import type { RequestHead } from './requestHead.js';

/** Returns a function that computes the fingerprint of a request once. Most requests need none. */
export function makeFingerprint(
  { method, host, target }: Pick<RequestHead, 'method' | 'host' | 'target'>,
  body: Uint8Array,
  team: string | undefined,
): () => string {
  let known: string | undefined;
  return () => {
    known ??= computeFingerprint(team ?? '', method, `${host.toLowerCase()}${target}`, body);
    return known;
  };
}

/** The refusal of a request that is quarantined, or undefined. Callers are told when its quarantine ends. */
export function quarantineError(
  suspects: PoisonTable,
  fingerprint: () => string,
  now: number,
): ErrorResponse | undefined {
  if (suspects.isEmpty) return undefined;
  const quarantineMs = suspects.quarantineMs(fingerprint(), now);
  if (quarantineMs === 0) return undefined;
  return { kind: 'quarantined', verdict: 'notRun', retryAfterMs: Math.ceil(quarantineMs) };
}
