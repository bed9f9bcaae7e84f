/** Durations and rejections of one incarnation of a target, of which older ones count less. */

/** Time in which the weight of an outcome halves. */
const HALF_LIFE_MS = 3_000;

/** A single duration counts as at most this multiple of the expected one. */
const MAX_RATIO = 8;

/** Outcomes that are needed before slots count as not usable. */
const MIN_ROOM_OUTCOMES = 3;

/** Share of rejections above which a number of used slots counts as too many, and below which it counts as accepted. */
const FULL_SHARE = 0.5;
const ACCEPTING_SHARE = 0.25;

/** Weight that an outcome has after a time in ms. */
export function weightAfter(elapsedMs: number): number {
  return 0.5 ** (Math.max(0, elapsedMs) / HALF_LIFE_MS);
}

/** Outcomes of some requests to a target. */
export interface PaceEvidence {
  /** Requests that were answered. */
  readonly answered: number;
  /** Their durations, each as a multiple of the expected one, added up. */
  readonly durations: number;
  readonly rejected: number;
  /** Requests of all entries in flight at the target besides these. */
  readonly inFlight: number;
}

interface Outcomes {
  answered: number;
  rejected: number;
}

export class LearntPace {
  private durations = 0;

  /** Outcomes by the number of other requests that the target had, up to its number of slots. */
  private readonly byLoad = new Map<number, Outcomes>();

  private updatedAt = -Infinity;

  public constructor(
    /** Unix ms of the start of the incarnation, 0 if unknown. */
    public readonly born: number,
    private readonly slots: number,
  ) {}

  /** Monotonic ms of the last evidence. */
  public get lastAt(): number {
    return this.updatedAt;
  }

  public observe(evidence: PaceEvidence, now: number): void {
    const { answered, durations, rejected, inFlight } = evidence;
    const weight = weightAfter(now - this.updatedAt);
    this.durations = this.durations * weight + Math.min(durations, MAX_RATIO * answered);
    this.byLoad.forEach((outcomes) => {
      Object.assign(outcomes, {
        answered: outcomes.answered * weight,
        rejected: outcomes.rejected * weight,
      });
    });
    const load = Math.min(this.slots, Math.max(0, inFlight));
    const outcomes = this.byLoad.get(load) ?? { answered: 0, rejected: 0 };
    this.byLoad.set(load, {
      answered: outcomes.answered + answered,
      rejected: outcomes.rejected + rejected,
    });
    this.updatedAt = now;
  }

  /** Mean duration as a multiple of the expected one, and the number of outcomes behind it, of which older ones count less. */
  public meanRatio(now: number): { ratio: number; outcomes: number } {
    const { answered } = this.outcomes(0, Infinity);
    const ratio = answered === 0 ? 1 : this.durations / answered;
    return { ratio, outcomes: answered * weightAfter(now - this.updatedAt) };
  }

  /** Share of requests that the target rejects while it has free slots: it does not follow its load. */
  public get steadyRejection(): number {
    return LearntPace.rejectedShare(this.outcomes(0, this.slots));
  }

  /**
   * Share of the slots that the target uses. Lower than 1 only if it accepts requests with few in flight and rejects them with
   * more, although it has free slots.
   */
  public get room(): number {
    const used = Array.from({ length: this.slots - 1 }, (_, i) => i + 1).find((load) => {
      const above = this.outcomes(load, this.slots);
      const below = this.outcomes(0, load);
      return (
        above.answered + above.rejected >= MIN_ROOM_OUTCOMES &&
        below.answered + below.rejected >= 1 &&
        LearntPace.rejectedShare(above) > FULL_SHARE &&
        LearntPace.rejectedShare(below) < ACCEPTING_SHARE
      );
    });
    return (used ?? this.slots) / this.slots;
  }

  /** Outcomes with at least `from` and fewer than `to` other requests in flight. */
  private outcomes(from: number, to: number): Outcomes {
    return [...this.byLoad]
      .filter(([load]) => load >= from && load < to)
      .reduce(
        (sum, [, { answered, rejected }]) => ({
          answered: sum.answered + answered,
          rejected: sum.rejected + rejected,
        }),
        { answered: 0, rejected: 0 },
      );
  }

  private static rejectedShare({ answered, rejected }: Outcomes): number {
    return rejected === 0 ? 0 : rejected / (answered + rejected);
  }
}
