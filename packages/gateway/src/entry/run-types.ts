/** What a run of a request starts with, and how it ends. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Route } from '@marigoldbank/routing/plan';
import type { EntryState } from './EntryState.js';
import type { ErrorResponse } from './ErrorResponse.js';
import type { RequestHead } from './requestHead.js';
import type { AttemptContext, AttemptResult, SendAttempt } from './SendAttempt.js';

export type UpstreamResponse = Extract<AttemptResult, { kind: 'answered' }>;

export type RunOutcome =
  | {
      readonly kind: 'answered';
      readonly response: UpstreamResponse;
      readonly attempt: SendAttempt;
    }
  | { readonly kind: 'refused'; readonly error: ErrorResponse }
  | { readonly kind: 'callerGone' };

/** Results of failed attempts, from which the final error response is made. */
export interface Failures {
  notRun: string;
  mayHaveRun: string | undefined;
  /** Error response of a target, which is forwarded if no other target responds. */
  errorResponse: { readonly response: UpstreamResponse; readonly attempt: SendAttempt } | undefined;
}

export interface RunRequest {
  readonly head: RequestHead;
  readonly body: Buffer;
  readonly route: Route;
  /** The service, if it was picked before. */
  readonly service?: string | undefined;
  readonly team: string | undefined;
  /** Priority of the team, or of the route. */
  readonly priority: number;
  /** Deadline of the final response in monotonic ms. */
  readonly dueAt: number;
  /** Arrival of the request in monotonic ms, if it was before the run. Its objective counts from then. */
  readonly receivedAt?: number;
  /** Identifies equal requests. Computed when it is needed for the first time. */
  readonly fingerprint: () => string;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
}

export interface RunContext extends AttemptContext {
  readonly clock: Clock;
  readonly state: EntryState;
  /** Data centre of this entry. */
  readonly dataCentre: string;
}
