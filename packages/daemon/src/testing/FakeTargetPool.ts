/** Fake target pool without ejection, for tests. */
import type {
  AttemptOutcome,
  CoordinateRequest,
  ITargetPool,
  TargetLease,
  TargetStatus,
} from '@marigoldbank/ejection';

export interface FakeTarget {
  readonly target: string;
  readonly address: string;
  readonly slots: number;
}

/** Chooses the least loaded target and records reported outcomes. */
export class FakeTargetPool implements ITargetPool {
  public readonly outcomes: { target: string; outcome: AttemptOutcome }[] = [];

  public readonly lost: { fingerprint: string; target: string }[] = [];

  public readonly succeeded: string[] = [];

  public readonly quarantined = new Set<string>();

  public mayDispatch: (target: string) => boolean = () => true;

  public maxConnections = 400;

  public isSuspectedReporter = false;

  private readonly outstanding = new Map<string, number>();

  public constructor(public targets: readonly FakeTarget[]) {}

  public get candidateCount(): number {
    return this.targets.length;
  }

  public update(): void {
    // Tests set the targets directly.
  }

  public tryChoose(req: { readonly exclude: ReadonlySet<string> }): TargetLease | undefined {
    const [best] = this.targets
      .filter(({ target, slots }) => !req.exclude.has(target) && this.loadOf(target) < slots)
      .sort((a, b) => this.loadOf(a.target) - this.loadOf(b.target));
    return best === undefined ? undefined : this.lease(best);
  }

  public takeDigest(): Pick<CoordinateRequest, 'digests' | 'lost' | 'cleared'> {
    return { digests: [], lost: this.lost, cleared: this.succeeded };
  }

  public reportLost(fingerprint: string, target: string): void {
    this.lost.push({ fingerprint, target });
  }

  public reportSucceeded(fingerprint: string): void {
    this.succeeded.push(fingerprint);
  }

  public isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  public status(): readonly TargetStatus[] {
    return [];
  }

  /** Number of leases in use. */
  public get totalOutstanding(): number {
    return [...this.outstanding.values()].reduce((sum, count) => sum + count, 0);
  }

  private loadOf(target: string): number {
    return this.outstanding.get(target) ?? 0;
  }

  private lease({ target, address }: FakeTarget): TargetLease {
    this.outstanding.set(target, this.loadOf(target) + 1);
    let isFinished = false;
    return {
      target,
      address,
      maxConnections: this.maxConnections,
      mayDispatch: () => this.mayDispatch(target),
      finish: (outcome) => {
        if (isFinished) throw new Error('lease finished twice');
        isFinished = true;
        this.outstanding.set(target, this.loadOf(target) - 1);
        this.outcomes.push({ target, outcome });
      },
    };
  }
}
