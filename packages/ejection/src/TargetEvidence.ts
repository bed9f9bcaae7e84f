/** Evidence about one target, merged from the digests of its reporters. */
import { BASELINE_WINDOW_MS, EVIDENCE_ROUND_MS, REPORTER_WINDOW_MS } from './constants.js';
import { DecayingCounts } from './DecayingCounts.js';
import { countAbove, countSamples, LATENCY_BUCKET_COUNT, medianMs } from './latency.js';
import type { ProfileParameters } from './profiles.js';

/** Statistics of the target's peers, with which its samples are compared. */
export interface Baseline {
  /** A successful sample with a latency above this counts as bad. */
  readonly slowAboveMs: number;
  /** Bad rate of the peers. */
  readonly badRate: number;
}

/** Minimum decayed sample count at which a reporter has an opinion. */
const MIN_OPINION_SAMPLES = 0.5;

/** CUSUM statistic, latency histogram and counts per reporter of one target. */
export class TargetEvidence {
  /** Latency histogram, which decays together with `window`. */
  private readonly buckets = new Float64Array(LATENCY_BUCKET_COUNT);

  /** Samples of all trusted reporters, for the baselines of other targets. */
  private readonly window = new DecayingCounts(BASELINE_WINDOW_MS);

  /** Samples of all trusted reporters over about the last second. */
  private readonly recent = new DecayingCounts(REPORTER_WINDOW_MS);

  private readonly reporters = new Map<string, DecayingCounts>();

  private round = 0;

  /** Log likelihood ratio of this round's samples, before the bound on its growth. */
  private roundSum = 0;

  /** CUSUM at the end of the last round. */
  private cusumBefore = 0;

  private cusumValue = 0;

  /** Good samples since the last call of `takeGoodSamples`. */
  private goodCount = 0;

  public get cusum(): number {
    return this.cusumValue;
  }

  /** Adds one reporter's samples. Those of an untrusted reporter count only for its own opinion. */
  public add(
    reporter: string,
    samples: { readonly buckets: readonly number[]; readonly failed: number },
    baseline: Baseline,
    parameters: ProfileParameters,
    now: number,
    isTrusted: boolean,
  ): void {
    const succeeded = countSamples(samples.buckets);
    const total = succeeded + samples.failed;
    if (total === 0) return;
    const bad = samples.failed + countAbove(samples.buckets, baseline.slowAboveMs);
    const own = this.reporterCounts(reporter, now);
    if (!isTrusted) {
      own.add(total, bad);
      return;
    }
    this.recent.decay(now);
    const allowed =
      parameters.reporterCap * Math.max(1, this.recent.total / Math.max(1, this.reporters.size));
    const scale = Math.min(1, Math.max(0, allowed - own.total) / total);
    own.add(total, bad);
    this.recent.add(total, bad);
    this.addToBaseline(samples.buckets, total, bad, now);
    this.goodCount += total - bad;
    this.addToCusum(total * scale, bad * scale, baseline, parameters, now);
  }

  /** Median latency in ms; undefined without enough samples. */
  public median(now: number, minSamples: number): number | undefined {
    this.decayBaseline(now);
    const succeeded = countSamples(this.buckets);
    return succeeded < minSamples ? undefined : medianMs(this.buckets, succeeded);
  }

  /** Bad rate; undefined without enough samples. */
  public badRate(now: number, minSamples: number): number | undefined {
    this.decayBaseline(now);
    return this.window.total < minSamples ? undefined : this.window.badRate;
  }

  /** Bad rate over about the last second, 0 without samples. */
  public recentBadRate(now: number): number {
    this.recent.decay(now);
    return this.recent.badRate;
  }

  /** Whether a reporter finds the target bad; undefined if it has too few samples. */
  public opinion(
    reporter: string,
    parameters: ProfileParameters,
    now: number,
  ): boolean | undefined {
    const counts = this.samplesOf(reporter, now);
    if (counts === undefined || counts.total < MIN_OPINION_SAMPLES) return undefined;
    return counts.badRate >= parameters.reporterBadShare;
  }

  /** Recent samples of one reporter. */
  public samplesOf(reporter: string, now: number): Readonly<DecayingCounts> | undefined {
    const counts = this.reporters.get(reporter);
    counts?.decay(now);
    return counts;
  }

  /** Returns whether enough of the trusted reporters find the target bad. */
  public hasReporterQuorum(
    parameters: ProfileParameters,
    now: number,
    isTrusted: (reporter: string) => boolean,
  ): boolean {
    const opinions = [...this.reporters.keys()]
      .filter(isTrusted)
      .map((reporter) => this.opinion(reporter, parameters, now))
      .filter((opinion) => opinion !== undefined);
    const bad = opinions.filter(Boolean).length;
    return bad > 0 && bad >= parameters.reporterQuorum * opinions.length;
  }

  /** Drops the reporter's samples. */
  public removeReporter(reporter: string): void {
    this.reporters.delete(reporter);
  }

  /**
   * Resets the CUSUM, the good samples and the counts per reporter after a restart of the target, or after a decision
   * that was based on them. The other counts stay.
   */
  public reset(): void {
    this.cusumValue = 0;
    this.cusumBefore = 0;
    this.roundSum = 0;
    this.round = 0;
    this.goodCount = 0;
    this.reporters.clear();
  }

  public takeGoodSamples(): number {
    const { goodCount } = this;
    this.goodCount = 0;
    return goodCount;
  }

  public get goodSamples(): number {
    return this.goodCount;
  }

  private reporterCounts(reporter: string, now: number): DecayingCounts {
    let counts = this.reporters.get(reporter);
    if (counts === undefined) {
      counts = new DecayingCounts(REPORTER_WINDOW_MS);
      this.reporters.set(reporter, counts);
    }
    counts.decay(now);
    return counts;
  }

  private decayBaseline(now: number): void {
    const factor = this.window.decay(now);
    if (factor === 1) return;
    for (let i = 0; i < LATENCY_BUCKET_COUNT; i += 1) this.buckets[i]! *= factor;
  }

  private addToBaseline(buckets: readonly number[], total: number, bad: number, now: number): void {
    this.decayBaseline(now);
    this.window.add(total, bad);
    const length = Math.min(buckets.length, LATENCY_BUCKET_COUNT);
    for (let i = 0; i < length; i += 1) this.buckets[i]! += buckets[i]!;
  }

  private addToCusum(
    total: number,
    bad: number,
    baseline: Baseline,
    parameters: ProfileParameters,
    now: number,
  ): void {
    const { cusumThreshold, gainPerRound } = parameters;
    const round = Math.floor(now / EVIDENCE_ROUND_MS);
    if (round !== this.round) {
      this.round = round;
      this.cusumBefore = this.cusumValue;
      this.roundSum = 0;
    }
    const normalRate = Math.max(parameters.minPeerBadRate, baseline.badRate);
    // If the peers have many bad samples too, a target must be clearly worse than they are.
    const degradedRate = Math.max(parameters.badShare, Math.min(0.95, 3 * normalRate));
    this.roundSum +=
      bad * Math.log(degradedRate / normalRate) +
      (total - bad) * Math.log((1 - degradedRate) / (1 - normalRate));
    // The bound applies to the whole round, so that the order in which the reporters poll does not matter.
    const grown = this.cusumBefore + Math.min(gainPerRound * cusumThreshold, this.roundSum);
    this.cusumValue = Math.min(2 * cusumThreshold, Math.max(0, grown));
  }
}
