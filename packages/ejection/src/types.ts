/** Public types of evidence, outlier ejection and target selection. */

/** Outcome of one attempt at a target. */
export type AttemptOutcome =
  | 'succeeded'
  /** An error status or a broken answer. */
  | 'failed'
  /** The target shed load before running the request. */
  | 'shed'
  /** The connection was lost while the request was in flight. */
  | 'connectionLost'
  /**
   * The caller disconnected or its deadline passed. This is no evidence about the target, unless the attempt had
   * already taken far longer than usual.
   */
  | 'cancelled';

export type AnnouncedState = 'up' | 'draining' | 'leaving';

/** What a target announced about itself. */
export interface Announcement {
  readonly service: string;
  readonly target: string;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  /** Grows with each start of the target. */
  readonly incarnation: number;
  /** Grows with each announcement. */
  readonly sequence: number;
  readonly state: AnnouncedState;
  /** Number of requests that the target can run at once. */
  readonly slots: number;
  readonly maxConnections: number;
  readonly isCold: boolean;
  /** Time since the fleet received it, in ms. */
  readonly ageMs: number;
}

/** What one entry observed at one target since its last poll. */
export interface TargetDigest {
  readonly target: string;
  readonly succeeded: number;
  readonly failed: number;
  readonly shed: number;
  readonly outstanding: number;
  /** Successful requests per latency bucket. */
  readonly latencyBuckets: readonly number[];
}

export interface LostRequest {
  readonly fingerprint: string;
  readonly target: string;
}

/** Poll that an entry sends to the coordinator of a service. */
export interface CoordinateRequest {
  readonly from: string;
  readonly service: string;
  /** Revision of the configuration at the entry. */
  readonly revision: number;
  readonly digests: readonly TargetDigest[];
  readonly lost: readonly LostRequest[];
  /** Suspected fingerprints that succeeded at the entry. */
  readonly cleared: readonly string[];
}

export type RotationStatus = 'inRotation' | 'ejected' | 'probation';

export interface TargetStatus {
  readonly announcement: Announcement;
  readonly status: RotationStatus;
  /** Share of a normal target's traffic, 0 to 1, below 1 during probation. */
  readonly share: number;
  /** Requests outstanding at the target over all entries, as last reported. */
  readonly fleetOutstanding: number;
  /** Why the target is not in rotation, empty otherwise. */
  readonly reason: string;
}

export interface CoordinateResponse {
  readonly targets: readonly TargetStatus[];
  /** Entries whose evidence about targets does not count at present. */
  readonly suspectedReporters: readonly string[];
  /** Fingerprints whose requests are refused. */
  readonly quarantined: readonly string[];
  /** Fingerprints that were lost and may be the cause, but are not quarantined. */
  readonly suspectedFingerprints: readonly string[];
}

/** Profile that an operator chooses per service. */
export type ProfileName = 'prompt-detection' | 'fair-share';

export interface ServiceSettings {
  readonly service: string;
  readonly profile: ProfileName;
  /** Minimum share of announced, not draining targets that stay in rotation, 0 to 1. */
  readonly floor: number;
}

/** Coordinator of services: merges evidence, ejects targets, and keeps announcements and quarantined fingerprints. */
export interface ICoordinator {
  setServices(services: readonly ServiceSettings[]): void;
  handleAnnouncements(announcements: readonly Announcement[]): void;
  handleCoordinate(req: CoordinateRequest): CoordinateResponse;
}

/** One chosen target; `finish` must be called exactly once. */
export interface TargetLease {
  readonly target: string;
  readonly address: string;
  readonly maxConnections: number;
  /** Returns whether the target may still be given new requests; call it synchronously at dispatch. */
  mayDispatch(): boolean;
  finish(outcome: AttemptOutcome, latencyMs: number): void;
}

/** Targets of one service at an entry: candidates, selection and evidence for the next poll. */
export interface ITargetPool {
  /** Adopts a coordinator's answer to the poll sent at `askedAt` (monotonic time in ms). */
  update(res: CoordinateResponse, askedAt: number): void;
  /** Chooses a target with capacity, or returns undefined. `exclude` has the targets this request already tried. */
  tryChoose(req: {
    readonly isIdempotent: boolean;
    readonly exclude: ReadonlySet<string>;
  }): TargetLease | undefined;
  /** Number of targets that may currently be given new requests. */
  readonly candidateCount: number;
  /** Returns the observations since the last call and resets them. */
  takeDigest(): Pick<CoordinateRequest, 'digests' | 'lost' | 'cleared'>;
  reportLost(fingerprint: string, target: string): void;
  reportSucceeded(fingerprint: string): void;
  isQuarantined(fingerprint: string): boolean;
  readonly isSuspectedReporter: boolean;
  status(): readonly TargetStatus[];
}

/** Limits retries to a share of the requests. */
export interface IRetryBudget {
  recordRequest(): void;
  tryRetry(): boolean;
}
