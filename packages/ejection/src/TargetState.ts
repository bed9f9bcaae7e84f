/** State of one target at one entry. */
import type { Random } from '@marigoldbank/base/random';
import { isNewer } from './AnnouncementStore.js';
import { CircuitBreaker } from './CircuitBreaker.js';
import { ANNOUNCEMENT_LEASE_MS } from './constants.js';
import { latencyBucket, LATENCY_BUCKET_COUNT } from './latency.js';
import { ConcurrencyLimit } from './ConcurrencyLimit.js';
import type { Announcement, AttemptOutcome, TargetDigest, TargetStatus } from './types.js';

/** How the entry uses a target: not at all, without restriction, or for a share of idempotent requests. */
export type TargetRole = 'unused' | 'normal' | 'probation';

const LATENCY_SMOOTHING = 0.2;

/** Latency that a failure counts as, in typical latencies, since a target that fails fast must not attract requests. */
const FAILURE_LATENCY_FACTOR = 3;

/** An attempt cancelled after this multiple of the typical latency counts as failed: the target may hang. */
const HANGING_FACTOR = 3;

/** Fraction of its distance to the typical latency by which an estimate without new samples moves per update. */
const LATENCY_DECAY = 0.02;

export class TargetState {
  public readonly circuitBreaker = new CircuitBreaker();

  public limit: ConcurrencyLimit;

  private roleValue: TargetRole = 'unused';

  private candidateIndexValue = -1;

  private outstandingValue = 0;

  /** End of the lease given by the newest announcement (monotonic time in ms). */
  private leaseUntil: number;

  private latency: number | undefined;

  private hasNewLatency = false;

  private counts = { succeeded: 0, failed: 0, shed: 0 };

  private buckets = new Array<number>(LATENCY_BUCKET_COUNT).fill(0);

  public constructor(
    private current: TargetStatus,
    askedAt: number,
    private readonly random: Random,
  ) {
    this.leaseUntil = askedAt + ANNOUNCEMENT_LEASE_MS - current.announcement.ageMs;
    this.limit = this.createLimit(current.announcement);
  }

  public get announcement(): Announcement {
    return this.current.announcement;
  }

  public get role(): TargetRole {
    return this.roleValue;
  }

  public setRole(role: TargetRole): void {
    this.roleValue = role;
  }

  /** Position in a `CandidateList`, or -1 if the target is in none. */
  public get candidateIndex(): number {
    return this.candidateIndexValue;
  }

  public setCandidateIndex(position: number): void {
    this.candidateIndexValue = position;
  }

  public get outstanding(): number {
    return this.outstandingValue;
  }

  /** Called when a request starts. */
  public begin(): void {
    this.outstandingValue += 1;
    this.limit.onUse(this.outstandingValue);
  }

  /** Called when a request has ended. */
  public end(): void {
    this.outstandingValue -= 1;
  }

  public get status(): TargetStatus {
    return this.current;
  }

  public get usableUntil(): number {
    return this.announcement.state === 'up' ? this.leaseUntil : Number.NEGATIVE_INFINITY;
  }

  public get expiresAt(): number {
    return this.leaseUntil;
  }

  /** Adopts a coordinator's status, but keeps the known announcement if it is newer. */
  public update(status: TargetStatus, askedAt: number): void {
    const known = this.announcement;
    const { announcement } = status;
    const leaseUntil = askedAt + ANNOUNCEMENT_LEASE_MS - announcement.ageMs;
    if (isNewer(known, announcement)) {
      this.current = { ...status, announcement: known };
    } else {
      const isSame = !isNewer(announcement, known);
      this.leaseUntil = isSame ? Math.max(this.leaseUntil, leaseUntil) : leaseUntil;
      this.current = status;
    }
    if (this.announcement.incarnation !== known.incarnation) {
      this.limit = this.createLimit(this.announcement);
      // The failures were those of the previous process.
      this.circuitBreaker.onSuccess();
      this.latency = undefined;
    }
    this.limit.setSlots(this.announcement.slots);
    this.limit.onFleetLoad(status.fleetOutstanding);
  }

  public hasRoom(now: number, maxOutstanding: number): boolean {
    if (now >= this.usableUntil || this.outstanding >= maxOutstanding) return false;
    if (this.circuitBreaker.allowsOnlyOneRequest && this.outstanding > 0) return false;
    return this.limit.hasRoom(this.outstanding, now);
  }

  /** Expected cost of one more request; lower is better. */
  public score(typicalLatencyMs: number): number {
    return (this.outstanding + 1) * (this.latency ?? typicalLatencyMs);
  }

  public get latencyMs(): number | undefined {
    return this.latency;
  }

  /** Moves an estimate without new samples towards the typical latency, so that a slow target is tried again later. */
  public decayLatency(typicalLatencyMs: number): void {
    if (this.latency !== undefined && !this.hasNewLatency) {
      this.latency += LATENCY_DECAY * (typicalLatencyMs - this.latency);
    }
    this.hasNewLatency = false;
  }

  /** Counts an outcome. If it opens the circuit breaker, returns for how long, otherwise undefined. */
  public record(
    outcome: AttemptOutcome,
    latencyMs: number,
    typicalLatencyMs: number,
    now: number,
  ): number | undefined {
    const isHanging = outcome === 'cancelled' && latencyMs > HANGING_FACTOR * typicalLatencyMs;
    switch (isHanging ? 'failed' : outcome) {
      case 'succeeded':
        this.counts.succeeded += 1;
        this.buckets[latencyBucket(latencyMs)]! += 1;
        this.smoothLatency(latencyMs);
        this.limit.onSuccess(this.latency ?? latencyMs, now);
        this.circuitBreaker.onSuccess();
        return undefined;
      case 'shed':
        this.counts.shed += 1;
        this.limit.onShed(this.outstandingValue + 1, this.latency ?? typicalLatencyMs, now);
        return undefined;
      case 'failed':
      case 'connectionLost':
        // The coordinator counts lost connections, once it knows whether the request caused them.
        if (outcome !== 'connectionLost') this.counts.failed += 1;
        this.smoothLatency(Math.max(latencyMs, FAILURE_LATENCY_FACTOR * typicalLatencyMs));
        return this.circuitBreaker.onFailure(now);
      default:
        return undefined;
    }
  }

  /** Returns the counts since the last call and resets them; undefined if there is nothing to report. */
  public takeDigest(): TargetDigest | undefined {
    const { counts, buckets, outstanding } = this;
    if (counts.succeeded + counts.failed + counts.shed + outstanding === 0) return undefined;
    this.counts = { succeeded: 0, failed: 0, shed: 0 };
    this.buckets = new Array<number>(LATENCY_BUCKET_COUNT).fill(0);
    const used = buckets.findLastIndex((count) => count > 0) + 1;
    const latencyBuckets = buckets.slice(0, used);
    return { target: this.announcement.target, ...counts, outstanding, latencyBuckets };
  }

  private smoothLatency(latencyMs: number): void {
    this.hasNewLatency = true;
    this.latency =
      this.latency === undefined
        ? latencyMs
        : this.latency + LATENCY_SMOOTHING * (latencyMs - this.latency);
  }

  private createLimit({ slots, isCold }: Announcement): ConcurrencyLimit {
    return new ConcurrencyLimit(slots, isCold, this.random);
  }
}
