/** Public types of at-most-once claims. */
import type { RankedVm } from '@marigoldbank/base/rendezvous';

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
  /** Hash of method, path and body: a resend with other content is an error of the caller. */
  readonly fingerprint: string;
  readonly state: ClaimState;
  /** Serialised response, present when done. */
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

export interface RecoverClaimsResponse {
  readonly records: readonly ClaimRecord[];
  readonly shards: readonly { readonly shard: number; readonly viewEpoch: number }[];
  readonly incarnations: readonly HolderIncarnation[];
}

/** Sends claim messages to other entries. A rejected promise means that no answer came. */
export abstract class ClaimTransport {
  public abstract claim(to: string, req: ClaimRequest): Promise<ClaimResponse>;

  public abstract resolve(to: string, req: ResolveClaimRequest): Promise<ResolveClaimResponse>;

  public abstract recover(to: string, req: RecoverClaimsRequest): Promise<RecoverClaimsResponse>;
}

/** A claim that this entry won. */
export interface OwnedClaim {
  /** False once the claim is older than 5 s: the request must not be dispatched any more. Call it synchronously at dispatch. */
  mayDispatch(): boolean;
  /** Stores the outcome at the holders, so that a resend gets it. */
  complete(outcome: Uint8Array): Promise<void>;
  /** Gives the claim up after a `notRun`, so that a resend may run. */
  release(): Promise<void>;
}

export type ClaimOutcome =
  | { readonly kind: 'owned'; readonly claim: OwnedClaim }
  /** Another attempt completed; this is its stored outcome. */
  | { readonly kind: 'completed'; readonly outcome: Uint8Array }
  /** Another attempt holds the claim and may have run. */
  | { readonly kind: 'inProgress' }
  /** The key was used with another request. */
  | { readonly kind: 'mismatch' }
  /** No majority of holders answered: the request has not run. */
  | { readonly kind: 'unavailable'; readonly reason: string };

/** At-most-once claims as one entry sees them. */
export interface IClaimRegistry {
  setView(view: ClaimView): void;
  claim(team: string, key: string, fingerprint: string, deadlineMs: number): Promise<ClaimOutcome>;
  handleClaim(req: ClaimRequest): ClaimResponse;
  handleResolve(req: ResolveClaimRequest): ResolveClaimResponse;
  handleRecover(req: RecoverClaimsRequest): RecoverClaimsResponse;
  dispose(): void;
}
