/** Shared types of the HTTP path. */
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

/** Place at a target that the fair queue hands out. */
export interface TargetPermit extends Permit {
  readonly lease: TargetLease;
}

/** What the HTTP path needs of one service. */
export interface ServiceRouter {
  readonly pool: ITargetPool;
  readonly queue: IFairQueue<TargetPermit>;
  readonly retries: IRetryBudget;
}

/** Collaborators of the HTTP path, made by the daemon. */
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
  /** True while this entry must not be given to callers, for example as a suspected reporter. */
  readonly isExcludedFromAddresses: () => boolean;
}

/** Header names (lower case) with their values, in the order received. */
export type HeaderList = readonly (readonly [name: string, value: string])[];

/** A request that passed the checks of its form. */
export interface CheckedRequest {
  readonly method: string;
  /** Normalised path, as matched and as sent to the upstream. */
  readonly path: string;
  /** Query with its question mark, or empty. */
  readonly query: string;
  readonly headers: HeaderList;
  /** Key as sent by the caller. Never logged. */
  readonly presentedKey: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number | undefined;
  readonly contentLength: number | undefined;
  readonly hasBody: boolean;
}

/** A key that matched the configuration in force. */
export interface VerifiedKey {
  readonly keyId: string;
  readonly hash: string;
  readonly team: string;
}

/** A request on its way to dispatch. */
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
  /** Absent on routes open to all. */
  readonly key: VerifiedKey | undefined;
  readonly headers: HeaderList;
  readonly body: Buffer;
  readonly fingerprint: string;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
  readonly claim: OwnedClaim | undefined;
}
