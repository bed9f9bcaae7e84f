/** Rates that targets name in their answers, merged from the statements of all entries. */

/**
 * An answer without a limit ends the limit only this long after the last one that named it: answers that a target gave
 * before it named its limit may arrive later than the first that does.
 */
const LIFT_MARGIN_MS = 500;

/** A statement that repeats what is known is passed on if the last one was passed on this long ago. */
const REFRESH_MS = 1_000;

/** What an answer of a target said about its limit. */
export interface LimitStatement {
  /** Requests a second that the target takes from all entries together, undefined if it names no limit. */
  readonly perSecond: number | undefined;
  /** Monotonic ms at which the answer arrived. */
  readonly at: number;
}

function isOutdated(next: LimitStatement, known: LimitStatement): boolean {
  if (next.perSecond === undefined) return next.at <= known.at + LIFT_MARGIN_MS;
  return next.at < known.at - (known.perSecond === undefined ? LIFT_MARGIN_MS : 0);
}

interface KnownLimit {
  readonly statement: LimitStatement;
  /** Monotonic ms of the last statement that others were told of. */
  readonly toldAt: number;
}

export class LimitTable {
  private readonly known = new Map<string, KnownLimit>();

  /** Merges a statement. Returns whether others should be told of it. */
  public merge(target: string, next: LimitStatement): boolean {
    const known = this.known.get(target);
    const isKnownLimited = known?.statement.perSecond !== undefined;
    if (!isKnownLimited && next.perSecond === undefined) return false;
    if (known !== undefined && isOutdated(next, known.statement)) return false;
    const isChange = known?.statement.perSecond !== next.perSecond;
    const isNews = isChange || next.at - (known?.toldAt ?? 0) >= REFRESH_MS;
    this.known.set(target, { statement: next, toldAt: isNews ? next.at : (known?.toldAt ?? 0) });
    return isNews;
  }

  /** Requests a second that a target takes from all entries together, undefined without a limit. */
  public limitOf(target: string): number | undefined {
    return this.known.get(target)?.statement.perSecond;
  }

  /** Limits in force, by target. */
  public limits(): [string, LimitStatement][] {
    return [...this.known]
      .map(([target, { statement }]): [string, LimitStatement] => [target, statement])
      .filter(([, { perSecond }]) => perSecond !== undefined);
  }

  public remove(target: string): void {
    this.known.delete(target);
  }
}
