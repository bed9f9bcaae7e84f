/**
 * What targets say about themselves in their answers: that they leave, or that they want a pause. It holds for this entry
 * and for one incarnation of a target, whatever hubs and announcements say, and is kept while hubs do not list the target.
 */

/** Longest pause that is kept. A target that needs a longer one says so again in its next refusal. */
export const MAX_PAUSE_MS = 30_000;

/** A target that leaves ends within seconds. Its notice is kept for as long as hubs may still announce it. */
const LEAVING_MEMORY_MS = 600_000;

const PURGE_SIZE = 10_000;

const MS_PER_SECOND = 1_000;

interface Notice {
  /** Start (Unix ms) of the incarnation, 0 if unknown. */
  readonly born: number;
  /** Monotonic ms until which the target gets nothing. */
  readonly until: number;
}

/** An incarnation of a target. */
export interface Incarnation {
  readonly id: string;
  readonly born?: number;
}

/**
 * Parses the value of a Retry-After header: whole or decimal seconds, or a date. Returns milliseconds from `wallClock`
 * (Unix ms), at most `MAX_PAUSE_MS`, or undefined if the value has no such form.
 */
export function parseRetryAfter(value: string, wallClock: number): number | undefined {
  const text = value.trim();
  const isSeconds = /^\d{1,15}(?:\.\d{1,15})?$/.test(text);
  const isDate = /^[A-Za-z]{3}, \d{2} [A-Za-z]{3} \d{4} \d{2}:\d{2}:\d{2} GMT$/.test(text);
  if (!isSeconds && !isDate) return undefined;
  const ms = isSeconds ? Number(text) * MS_PER_SECOND : Date.parse(text) - wallClock;
  return Number.isNaN(ms) ? undefined : Math.min(MAX_PAUSE_MS, Math.max(0, ms));
}

export class TargetNotices {
  private readonly leaving = new Map<string, Notice>();

  private readonly paused = new Map<string, Notice>();

  /** Notes that a target leaves. Returns whether that is news. */
  public noteLeaving(target: Incarnation, now: number): boolean {
    return TargetNotices.note(this.leaving, target, now + LEAVING_MEMORY_MS, now);
  }

  /** Notes that a target wants no requests for a time in ms. Returns whether it was not paused yet. */
  public notePause(target: Incarnation, pauseMs: number, now: number): boolean {
    return TargetNotices.note(this.paused, target, now + pauseMs, now);
  }

  /** Whether the target may get requests. */
  public isUsable(target: Incarnation, now: number): boolean {
    return this.waitMs(target, now) === 0;
  }

  /** Milliseconds until the target may get requests, Infinity if it leaves. */
  public waitMs(target: Incarnation, now: number): number {
    if (TargetNotices.find(this.leaving, target, now) !== undefined) return Infinity;
    const pause = TargetNotices.find(this.paused, target, now);
    return pause === undefined ? 0 : pause.until - now;
  }

  private static find(
    notices: ReadonlyMap<string, Notice>,
    { id, born = 0 }: Incarnation,
    now: number,
  ): Notice | undefined {
    const notice = notices.get(id);
    return notice !== undefined && notice.until > now && born <= notice.born ? notice : undefined;
  }

  private static note(
    notices: Map<string, Notice>,
    target: Incarnation,
    until: number,
    now: number,
  ): boolean {
    const { id, born = 0 } = target;
    const known = TargetNotices.find(notices, target, now);
    if (notices.size >= PURGE_SIZE) {
      [...notices]
        .filter(([, notice]) => notice.until <= now)
        .forEach(([key]) => notices.delete(key));
    }
    notices.set(id, { born, until: Math.max(until, known?.until ?? until) });
    return known === undefined;
  }
}
