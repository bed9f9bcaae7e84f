/** One attempt to acquire a key: collects the answers of the holders and decides the result. */
import { Incarnations } from './Incarnations.js';
import { majorityOf } from './sharding.js';
import type { ClaimRecord, ClaimResponse } from './types.js';

export type AttemptResult =
  | { readonly kind: 'owned' }
  /** Another attempt completed. */
  | { readonly kind: 'done'; readonly existing: ClaimRecord }
  /** Holders have a claim of another attempt; if `isMajority`, a majority of them has the same one. */
  | { readonly kind: 'blocked'; readonly existing: ClaimRecord; readonly isMajority: boolean }
  /** No majority granted the claim and no holder reported another one; holders did not answer or are not ready. */
  | { readonly kind: 'unsure' };

export class ClaimAttempt {
  private readonly answers = new Map<string, ClaimResponse>();

  private readonly failed = new Set<string>();

  private readonly incarnations = new Incarnations();

  public constructor(
    private readonly holders: readonly string[],
    /** Claims of earlier attempts of the same acquisition, which were abandoned. */
    private readonly abandonedClaimIds: ReadonlySet<string>,
  ) {}

  public add(holder: string, res: ClaimResponse): void {
    this.answers.set(holder, res);
    this.incarnations.merge(res.incarnations);
  }

  public fail(holder: string): void {
    this.failed.add(holder);
  }

  /** The result, if the answers so far decide it. With `mustDecide` missing answers are not waited for. */
  public decide(mustDecide: boolean): AttemptResult | undefined {
    const majority = majorityOf(this.holders.length);
    const granted = this.holders.filter((holder) => this.hasGranted(holder)).length;
    if (granted >= majority) return { kind: 'owned' };
    const existing = this.listExisting();
    const done = existing.find((record) => record.state === 'done');
    if (done !== undefined) return { kind: 'done', existing: done };
    const unanswered = this.holders.length - this.answers.size - this.failed.size;
    if (!mustDecide && unanswered > 0 && granted + unanswered >= majority) return undefined;
    const counts = existing.map(
      (record) => existing.filter((other) => other.claimId === record.claimId).length,
    );
    const highestCount = Math.max(0, ...counts);
    const mostReported = existing[counts.indexOf(highestCount)];
    if (mostReported === undefined) return { kind: 'unsure' };
    return { kind: 'blocked', existing: mostReported, isMajority: highestCount >= majority };
  }

  private listExisting(): ClaimRecord[] {
    return [...this.answers.values()]
      .flatMap((res) => res.existing ?? [])
      .filter((record) => !this.abandonedClaimIds.has(record.claimId));
  }

  /** A grant does not count if another answer shows that the holder has restarted since: it has lost the claim. */
  private hasGranted(holder: string): boolean {
    const res = this.answers.get(holder);
    if (res?.result !== 'granted') return false;
    const own = res.incarnations.find(({ vm }) => vm === holder);
    return own !== undefined && !this.incarnations.isOutdated(holder, own.incarnation);
  }
}
