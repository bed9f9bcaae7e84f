/** One attempt to own a key: the answers of the holders and the decision over them. */
import { Incarnations } from './Incarnations.js';
import { majorityOf } from './sharding.js';
import type { ClaimRecord, ClaimResponse } from './types.js';

export type AttemptResult =
  | { readonly kind: 'owned' }
  /** Another attempt completed. */
  | { readonly kind: 'done'; readonly existing: ClaimRecord }
  /** Holders know a claim of another attempt; a majority of them knows the same one if `isMajority`. */
  | { readonly kind: 'blocked'; readonly existing: ClaimRecord; readonly isMajority: boolean }
  /** Too few holders answered. */
  | { readonly kind: 'unsure' };

export class ClaimAttempt {
  private readonly answers = new Map<string, ClaimResponse>();

  private readonly failed = new Set<string>();

  private readonly incarnations = new Incarnations();

  public constructor(
    private readonly holders: readonly string[],
    /** Claims that are known to be given up. */
    private readonly ignoredClaimIds: ReadonlySet<string>,
  ) {}

  public add(holder: string, res: ClaimResponse): void {
    this.answers.set(holder, res);
    this.incarnations.merge(res.incarnations);
  }

  public fail(holder: string): void {
    this.failed.add(holder);
  }

  /** The result, if the answers so far decide it. `isLast` decides with what there is. */
  public decide(isLast: boolean): AttemptResult | undefined {
    const majority = majorityOf(this.holders.length);
    const granted = this.holders.filter((holder) => this.isGranted(holder)).length;
    if (granted >= majority) return { kind: 'owned' };
    const existing = this.listExisting();
    const done = existing.find((record) => record.state === 'done');
    if (done !== undefined) return { kind: 'done', existing: done };
    const open = this.holders.length - this.answers.size - this.failed.size;
    if (!isLast && open > 0 && granted + open >= majority) return undefined;
    const counts = existing.map(
      (record) => existing.filter((other) => other.claimId === record.claimId).length,
    );
    const most = Math.max(0, ...counts);
    const first = existing[counts.indexOf(most)];
    if (first === undefined) return { kind: 'unsure' };
    return { kind: 'blocked', existing: first, isMajority: most >= majority };
  }

  private listExisting(): ClaimRecord[] {
    return [...this.answers.values()]
      .flatMap((res) => res.existing ?? [])
      .filter((record) => !this.ignoredClaimIds.has(record.claimId));
  }

  /** An answer of a run that another answer shows to be over does not count: that holder has forgotten it. */
  private isGranted(holder: string): boolean {
    const res = this.answers.get(holder);
    if (res?.result !== 'granted') return false;
    const own = res.incarnations.find(({ vm }) => vm === holder);
    return own !== undefined && !this.incarnations.isOutdated(holder, own.incarnation);
  }
}
