/** Types shared by the modules that serve caller requests. */
import type { IFairQueue, Permit } from '@marigoldbank/admission';
import type { Clock } from '@marigoldbank/base/clock';
import type { IFleetBudgets } from '@marigoldbank/budgets';
import type { IClaimRegistry, OwnedClaim } from '@marigoldbank/claims';
import type { IRetryBudget, ITargetPool, TargetLease } from '@marigoldbank/ejection';
import type { CompiledRoute } from '@marigoldbank/lists/compiled';
import type { Blackboard } from '../Blackboard.js';
import type { Logger } from '../telemetry/Logger.js';
import type { Metrics } from '../telemetry/Metrics.js';
import type { EntryLimits } from './constants.js';
import type { UpstreamClient } from './UpstreamClient.js';

/** Concurrency slot at a target, granted by the fair queue. */
export interface TargetPermit extends Permit {
  readonly lease: TargetLease;
}

/** Target pool, request queue and retry budget of one service. */
export interface ServiceRouter {
  readonly pool: ITargetPool;
  readonly queue: IFairQueue<TargetPermit>;
  readonly retries: IRetryBudget;
}

/** Dependencies of the request path, created by the daemon. */
export interface EntryContext {
  /** Id of this VM. */
  readonly vm: string;
  readonly clock: Clock;
  readonly blackboard: Blackboard;
  readonly budgets: IFleetBudgets;
  readonly claims: IClaimRegistry;
  readonly findRouter: (service: string) => ServiceRouter | undefined;
  readonly upstream: UpstreamClient;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly limits: EntryLimits;
  /** True while the address list must omit this entry, e.g. while a coordinator suspects its network links. */
  readonly isExcludedFromAddresses: () => boolean;
}

/** Header names (lower case) with their values, in the order received. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** A request whose syntax and framing were validated. */
export interface CheckedRequest {
  readonly method: string;
  /** Normalised path, used both for route matching and for the upstream request. */
  readonly path: string;
  /** Query including the leading question mark, or an empty string. */
  readonly query: string;
  readonly headers: HeaderList;
  /** API key as sent by the caller. Never logged. */
  readonly presentedKey: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number | undefined;
  readonly contentLength: number | undefined;
  readonly hasBody: boolean;
}

/** An API key that was verified against the adopted configuration. */
export interface VerifiedKey {
  readonly keyId: string;
  readonly hash: string;
  readonly team: string;
}

/** A request that passed authentication and authorisation and is ready for dispatch. */
export interface AdmittedRequest {
  readonly id: string;
  readonly startedAt: number;
  /** Monotonic ms. */
  readonly deadlineAt: number;
  readonly method: string;
  readonly path: string;
  /** Path and query as sent to the upstream. */
  readonly target: string;
  readonly route: CompiledRoute;
  /** Undefined on open routes, which need no API key. */
  readonly key: VerifiedKey | undefined;
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly fingerprint: string;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
  readonly claim: OwnedClaim | undefined;
}
