/**
 * Requests under which targets ended, by fingerprint, merged from the reports of all entries. A request that was lost at
 * three targets one after the other, and succeeded at none, is refused: the next target would most likely end as well.
 * Targets also end by themselves. The other requests that were in flight there are lost once, and succeed when they
 * come again; those that were in flight at several targets that ended together count once for all of them.
 */

/** Number of ends at which a request is quarantined. */
export const MAX_ENDS = 3;

/**
 * Weight of a loss after which the target still accepted connections. It may have reset only this one, or have been
 * started again at once, so that twice as many such losses are needed.
 */
const ACCEPTING_WEIGHT = 0.5;

/** A quarantine ends this long after the last loss, so that a request is served again once its targets are mended. */
const QUARANTINE_MS = 300_000;

/** A request that was lost and not quarantined is forgotten after this time. */
const SUSPICION_MS = 300_000;

/** After a quarantine a single further loss starts the next one. Afterwards the request is forgotten. */
const QUARANTINE_MEMORY_MS = 1_800_000;

/** Ages are rounded in reports, so that a loss may seem to overlap the next one by this much. */
const ROUNDING_MS = 5;

const MAX_FINGERPRINTS = 1_000;

/** Newest losses that are kept of one request: enough of those that weigh half. */
const MAX_LOSSES = 8;

const EXPIRY_INTERVAL_MS = 1_000;

/** A request whose connection to a target was lost before the answer. Times are monotonic ms. */
export interface RequestLoss {
  readonly target: string;
  /** Unix ms of the start of this incarnation of the target, 0 if not known. */
  readonly born: number;
  readonly sentAt: number;
  readonly lostAt: number;
  /** Whether the target accepted a connection afterwards. */
  readonly isAccepting: boolean;
}

/** What is known of one request. */
export interface SuspectStatement {
  readonly fingerprint: string;
  readonly losses: readonly RequestLoss[];
  /** Monotonic ms at which it last succeeded at a target, undefined if it is not known to have. */
  readonly succeededAt: number | undefined;
}

interface Suspect {
  losses: readonly RequestLoss[];
  succeededAt: number;
  changedAt: number;
}

function incarnationOf({ target, born }: RequestLoss): string {
  return `${target} ${born}`;
}

/** Adds a loss. An earlier date is the better one: reports that wait make a loss appear later than it was. */
function addLoss(losses: readonly RequestLoss[], loss: RequestLoss): readonly RequestLoss[] {
  const known = losses.find((other) => incarnationOf(other) === incarnationOf(loss));
  const earliest = known === undefined || loss.lostAt < known.lostAt ? loss : known;
  const isAccepting = loss.isAccepting || (known?.isAccepting ?? false);
  return [...losses.filter((other) => other !== known), { ...earliest, isAccepting }]
    .sort((a, b) => a.lostAt - b.lostAt)
    .slice(-MAX_LOSSES);
}

interface LossCount {
  /** Number of losses, of which those that overlap count as one. */
  readonly count: number;
  /** Sum of their weights. */
  readonly weight: number;
}

function countLosses(losses: readonly RequestLoss[]): LossCount {
  return losses.reduce(
    ({ count, weight, last, until }, { sentAt, lostAt, isAccepting }) => {
      const own = isAccepting ? ACCEPTING_WEIGHT : 1;
      return sentAt >= until - ROUNDING_MS
        ? { count: count + 1, weight: weight + own, last: own, until: lostAt }
        : { count, weight: weight + Math.max(0, own - last), last: Math.max(last, own), until };
    },
    { count: 0, weight: 0, last: 0, until: -Infinity },
  );
}

function isSameSet(a: readonly RequestLoss[], b: readonly RequestLoss[]): boolean {
  const keyOf = (loss: RequestLoss): string => `${incarnationOf(loss)} ${loss.isAccepting}`;
  const known = new Set(a.map(keyOf));
  return a.length === b.length && b.every((loss) => known.has(keyOf(loss)));
}

export class PoisonTable {
  private readonly suspects = new Map<string, Suspect>();

  private expiredAt = -Infinity;

  /** Whether no request is known to have been lost. Then none needs a fingerprint. */
  public get isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /** Merges what was reported of a request. Returns whether it is news. */
  public merge({ fingerprint, losses, succeededAt }: SuspectStatement, now: number): boolean {
    this.expire(now);
    const known = this.suspects.get(fingerprint);
    const latestSuccess = Math.max(known?.succeededAt ?? -Infinity, succeededAt ?? -Infinity);
    const merged = losses
      .reduce(addLoss, known?.losses ?? [])
      .filter(({ lostAt }) => lostAt > latestSuccess);
    const before = known?.losses ?? [];
    const isNewSuccess = latestSuccess > (known?.succeededAt ?? -Infinity);
    const hasOtherLosses = !isSameSet(before, merged);
    if (!isNewSuccess && !hasOtherLosses) return false;
    // Kept also without a loss: reports of earlier ones may still arrive.
    this.suspects.set(fingerprint, { losses: merged, succeededAt: latestSuccess, changedAt: now });
    if (this.suspects.size > MAX_FINGERPRINTS) this.evict();
    return hasOtherLosses || before.length > 0;
  }

  /**
   * Notes that a request has succeeded at a target. An error is none: a target that fails may answer without running it.
   * Returns whether that is news.
   */
  public noteSuccess(fingerprint: string, now: number): boolean {
    if (!this.suspects.has(fingerprint)) return false;
    return this.merge({ fingerprint, losses: [], succeededAt: now }, now);
  }

  /** Time in ms for which a request is refused from now on, 0 if it is not. */
  public quarantineMs(fingerprint: string, now: number): number {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined || countLosses(suspect.losses).weight < MAX_ENDS) return 0;
    return Math.max(0, suspect.losses.at(-1)!.lostAt + QUARANTINE_MS - now);
  }

  /** Whether a request was lost at two targets, one after the other. It is not sent to a further one by itself. */
  public isSuspected(fingerprint: string): boolean {
    const suspect = this.suspects.get(fingerprint);
    return suspect !== undefined && countLosses(suspect.losses).count > 1;
  }

  /** What is known of a request, undefined if it has not been lost. */
  public statementOf(fingerprint: string): SuspectStatement | undefined {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return undefined;
    const { losses, succeededAt } = suspect;
    return {
      fingerprint,
      losses,
      succeededAt: succeededAt === -Infinity ? undefined : succeededAt,
    };
  }

  /** What is known of all requests that were lost. */
  public statements(): SuspectStatement[] {
    return [...this.suspects.keys()].map((fingerprint) => this.statementOf(fingerprint)!);
  }

  private expire(now: number): void {
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    [...this.suspects]
      .filter(([, { losses, changedAt }]) => {
        const memoryMs =
          countLosses(losses).weight < MAX_ENDS ? SUSPICION_MS : QUARANTINE_MEMORY_MS;
        return now - changedAt > memoryMs;
      })
      .forEach(([fingerprint]) => this.suspects.delete(fingerprint));
  }

  /** Removes the oldest request that was lost once, so that a flood of others does not end a quarantine. */
  private evict(): void {
    const fingerprints = [...this.suspects.keys()];
    const oldest = fingerprints.find((fingerprint) => !this.isSuspected(fingerprint));
    this.suspects.delete(oldest ?? fingerprints[0]!);
  }
}
