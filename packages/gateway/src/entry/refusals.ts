/** Refusals of requests that no target could answer in time, decided before anything is sent. */
import type { BodyResult } from '@marigoldbank/daemon/entry/readBody';
import type { EntryState } from './EntryState.js';
import type { ErrorResponse } from './ErrorResponse.js';

/** Maximum Retry-After of a request whose targets all have limits: another entry may have a share left sooner. */
const MAX_LIMIT_RETRY_MS = 1_000;

/** Callers that are refused until the first target of a service ends its pause return over a longer time, by this share. */
const PAUSE_SPREAD = 0.3;

/** Large bodies take some time to be passed on. */
const NO_MEMORY_RETRY_MS = 1_000;

/** What a refusal depends on. */
type RefusalState = Pick<EntryState, 'targets' | 'limits' | 'notices' | 'evacuations' | 'random'>;

/**
 * The refusal of a request that, after its wait for a slot, would miss its deadline, or undefined. The caller can try
 * another entry. All times in ms.
 */
export function overloadError(
  waitMs: number,
  expectedMs: number,
  remainingMs: number,
): ErrorResponse | undefined {
  if (waitMs + expectedMs <= remainingMs) return undefined;
  return { kind: 'overloaded', verdict: 'notRun', retryAfterMs: Math.ceil(waitMs) };
}

/** The refusal of a request for which no target can be selected: all may pause, be evacuated, or have limits that are used up. */
export function noTargetError(
  { targets, limits, notices, evacuations, random }: RefusalState,
  service: string,
  now: number,
): ErrorResponse {
  const infos = targets
    .candidates(service)
    .map(({ info }) => info)
    .filter(({ dataCentre }) => !evacuations.isEvacuated(dataCentre, now));
  const waits = infos.map((info) => notices.waitMs(info, now)).filter((ms) => ms < Infinity);
  const pauseMs = waits.length === 0 ? 0 : Math.min(...waits);
  if (pauseMs > 0) {
    const retryAfterMs = Math.ceil(pauseMs * (1 + PAUSE_SPREAD * random.float()));
    return { kind: 'overloaded', verdict: 'notRun', retryAfterMs };
  }
  const limitWaitMs = limits.waitMs(
    infos.map(({ id }) => id),
    now,
  );
  if (limitWaitMs === undefined) return { kind: 'noTarget', verdict: 'notRun' };
  const retryAfterMs = Math.min(MAX_LIMIT_RETRY_MS, Math.ceil(limitWaitMs));
  return { kind: 'overloaded', verdict: 'notRun', retryAfterMs };
}

/** The refusal of a request whose body could not be read, undefined if its caller has disconnected. */
export function bodyError(kind: Exclude<BodyResult['kind'], 'read'>): ErrorResponse | undefined {
  switch (kind) {
    case 'tooLarge':
      return { kind: 'bodyTooLarge', verdict: 'notRun' };
    case 'noMemory':
      return { kind: 'overloaded', verdict: 'notRun', retryAfterMs: NO_MEMORY_RETRY_MS };
    case 'tooSlow':
      return { kind: 'bodyTooSlow', verdict: 'notRun' };
    case 'broken':
      return { kind: 'badRequest', verdict: 'notRun', detail: 'the body is not valid' };
    default:
      return undefined;
  }
}
