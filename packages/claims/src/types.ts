/** Public types of at-most-once claims. */
import type { RankedVm } from '@marigoldbank/base/rendezvous';

/** Set of entries under one epoch; it determines the holders of each shard. */
export interface ClaimView {
  readonly epoch: number;
  readonly entries: readonly RankedVm[];
}

export type ClaimState = 'pending' | 'done' | 'released';

/** Claim on one idempotency key of one team. */
export interface ClaimRecord {
  readonly team: string;
  readonly key: string;
  /** VM that made the claim. */
  readonly owner: string;
  /** Unique per attempt. */
  readonly claimId: string;
  /** Hash of method, path and body, to detect that the caller reused the key for a different request. */
  readonly fingerprint: string;
  readonly state: ClaimState;
  /** Serialised response; present in state `done` unless it was too large to be stored. */
  readonly outcome: Uint8Array | undefined;
  readonly ageMs: number;
}

export interface HolderIncarnation {
  readonly vm: string;
  readonly incarnation: number;
}

export interface ClaimRequest {
  readonly from: string;
  readonly viewEpoch: number;
  readonly record: ClaimRecord;
}

export interface ClaimResponse {
  readonly result: 'granted' | 'taken' | 'recovering' | 'wrongEpoch';
  readonly existing: ClaimRecord | undefined;
  readonly holder: string;
  readonly incarnations: readonly HolderIncarnation[];
  readonly viewEpoch: number;
}

export interface ResolveClaimRequest {
  readonly from: string;
  readonly viewEpoch: number;
  readonly record: ClaimRecord;
}

export interface ResolveClaimResponse {
  readonly isStored: boolean;
}

export interface RecoverClaimsRequest {
  readonly from: string;
  readonly incarnation: number;
  readonly viewEpoch: number;
  readonly shards: readonly number[];
}

export interface RecoveredShard {
  readonly shard: number;
  /** Epoch of the sender's state. */
  readonly viewEpoch: number;
  /**
   * Present if the receiver may take over the shard from this epoch: the sender grants no more claims in it, no epoch
   * in between was started, and no earlier incarnation of the receiver got the same permission. The receiver needs it
   * from a majority of the holders of this epoch.
   */
  readonly handsOverFrom?: number;
}

export interface RecoverClaimsResponse {
  readonly records: readonly ClaimRecord[];
  /** Requested shards whose state at the sender is complete. */
  readonly shards: readonly RecoveredShard[];
  readonly incarnations: readonly HolderIncarnation[];
}

/** Sends claim messages to other entries. A rejected promise means that no answer came. */
export abstract class ClaimTransport {
  public abstract claim(to: string, req: ClaimRequest): Promise<ClaimResponse>;

  public abstract resolve(to: string, req: ResolveClaimRequest): Promise<ResolveClaimResponse>;

  public abstract recover(to: string, req: RecoverClaimsRequest): Promise<RecoverClaimsResponse>;
}

/** A claim that a majority of the holders granted to this entry. */
export interface OwnedClaim {
  /**
   * False once the claim is 5 s old, completed or released: the request must no longer be dispatched. Call it
   * synchronously at dispatch.
   */
  mayDispatch(): boolean;
  /** Stores the outcome at the holders, so that a resend gets it. */
  complete(outcome: Uint8Array): Promise<void>;
  /** Releases the claim of a request that did not run (`notRun`), so that a resend may run. */
  release(): Promise<void>;
}

export type ClaimOutcome =
  | { readonly kind: 'owned'; readonly claim: OwnedClaim }
  /** Another attempt completed; this is its stored outcome. */
  | { readonly kind: 'completed'; readonly outcome: Uint8Array }
  /** Another attempt completed; its outcome was too large to be stored. */
  | { readonly kind: 'completedNotKept' }
  /** Another attempt holds the claim and may have run. */
  | { readonly kind: 'inProgress' }
  /** The key was already used with a different request. */
  | { readonly kind: 'mismatch' }
  /** No majority of the holders granted the claim, or there is no view yet: the request has not run. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** At-most-once claims of one entry. */
export interface IClaimRegistry {
  /** Adopts a view. */
  setView(view: ClaimView): void;
  /** Records that the fleet accepted the view with this epoch at `at` (monotonic ms) or earlier. */
  markViewAccepted(epoch: number, at: number): void;
  /** Tries to acquire a key for one request. Resolves within `deadlineMs`. */
  claim(team: string, key: string, fingerprint: string, deadlineMs: number): Promise<ClaimOutcome>;
  handleClaim(req: ClaimRequest): ClaimResponse;
  handleResolve(req: ResolveClaimRequest): ResolveClaimResponse;
  handleRecover(req: RecoverClaimsRequest): RecoverClaimsResponse;
  dispose(): void;
}
