/** Baseline target pool to compare `TargetPool` with, and helpers for tests. */
import type { Clock } from '@marigoldbank/base/clock';
import { latencyBucket, LATENCY_BUCKET_COUNT } from './latency.js';
import type {
  AttemptOutcome,
  CoordinateRequest,
  CoordinateResponse,
  ITargetPool,
  TargetLease,
  TargetStatus,
} from './types.js';

export interface ConsecutiveFailurePoolOptions {
  readonly clock: Clock;
  /** Number of consecutive failures after which this entry ejects a target. */
  readonly failures?: number;
  readonly ejectionMs?: number;
}

interface PoolTarget {
  status: TargetStatus;
  outstanding: number;
  failures: number;
  ejectedUntil: number;
}

/** Round robin, with per-entry ejection after consecutive failures, without floor, probation or shared evidence. */
export class ConsecutiveFailurePool implements ITargetPool {
  public readonly isSuspectedReporter = false;

  private readonly targets = new Map<string, PoolTarget>();

  private next = 0;

  public constructor(private readonly options: ConsecutiveFailurePoolOptions) {}

  public update(res: CoordinateResponse): void {
    const listed = new Set(res.targets.map(({ announcement }) => announcement.target));
    [...this.targets.keys()]
      .filter((target) => !listed.has(target))
      .forEach((target) => this.targets.delete(target));
    res.targets.forEach((status) => {
      const known = this.targets.get(status.announcement.target);
      if (known !== undefined) known.status = status;
      else {
        const fresh = { status, outstanding: 0, failures: 0, ejectedUntil: 0 };
        this.targets.set(status.announcement.target, fresh);
      }
    });
  }

  public tryChoose(req: { readonly exclude: ReadonlySet<string> }): TargetLease | undefined {
    const candidates = this.usable().filter(
      ({ status, outstanding }) =>
        outstanding < status.announcement.slots && !req.exclude.has(status.announcement.target),
    );
    if (candidates.length === 0) return undefined;
    this.next += 1;
    return this.lease(candidates[this.next % candidates.length]!);
  }

  public get candidateCount(): number {
    return this.usable().length;
  }

  /** True while this entry has ejected the target. */
  public isEjected(target: string): boolean {
    return (this.targets.get(target)?.ejectedUntil ?? 0) > this.options.clock.now();
  }

  public takeDigest(): Pick<CoordinateRequest, 'digests' | 'lost' | 'cleared'> {
    return { digests: [], lost: [], cleared: [] };
  }

  public reportLost(): void {
    // This pool does not track fingerprints.
  }

  public reportSucceeded(): void {
    // This pool does not track fingerprints.
  }

  public isQuarantined(): boolean {
    return false;
  }

  public status(): readonly TargetStatus[] {
    return [...this.targets.values()].map(({ status }) => status);
  }

  private usable(): PoolTarget[] {
    const now = this.options.clock.now();
    return [...this.targets.values()].filter(
      ({ status, ejectedUntil }) => status.announcement.state === 'up' && ejectedUntil <= now,
    );
  }

  private lease(state: PoolTarget): TargetLease {
    const { target, address, maxConnections } = state.status.announcement;
    Object.assign(state, { outstanding: state.outstanding + 1 });
    return {
      target,
      address,
      maxConnections,
      mayDispatch: () => true,
      finish: (outcome) => this.finish(state, outcome),
    };
  }

  private finish(state: PoolTarget, outcome: AttemptOutcome): void {
    const isFailure = outcome === 'failed' || outcome === 'connectionLost';
    const failures = isFailure ? state.failures + 1 : 0;
    Object.assign(state, { outstanding: state.outstanding - 1, failures });
    if (failures < (this.options.failures ?? 5)) return;
    const ejectedUntil = this.options.clock.now() + (this.options.ejectionMs ?? 30_000);
    Object.assign(state, { failures: 0, ejectedUntil });
  }
}

/** Bucket counts of the given latencies, as a digest holds them. */
export function bucketsOf(latenciesMs: readonly number[]): number[] {
  const buckets = new Array<number>(LATENCY_BUCKET_COUNT).fill(0);
  latenciesMs.forEach((latencyMs) => {
    buckets[latencyBucket(latencyMs)]! += 1;
  });
  return buckets;
}
