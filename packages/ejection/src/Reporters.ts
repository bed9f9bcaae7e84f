/** The reporters of one service: entries that report to its coordinator. */
import { REPORTER_TIMEOUT_MS, SUSPICION_MS } from './constants.js';
import type { ProfileParameters } from './profiles.js';
import type { TargetEvidence } from './TargetEvidence.js';
import type { TargetDigest } from './types.js';

interface Reporter {
  lastPollAt: number;
  suspectedUntil: number;
  /** Outstanding requests per target at the last poll. */
  outstanding: Map<string, number>;
}

/**
 * Number of targets that a reporter must have an opinion on before it can be suspected, and number of opinions of other
 * reporters about the targets that it finds bad.
 */
const MIN_RATED_TARGETS = 3;

/** Minimum number and share of recent bad samples for a reporter to be suspected; a single stall causes fewer. */
const MIN_BAD_SAMPLES = 5;
const MIN_BAD_SHARE = 0.2;

/** Maximum share of the other reporters' opinions that agree with a reporter for it to be suspected. */
const MAX_AGREEMENT = 0.25;

/** Keeps the last poll of each reporter, the outstanding requests per target, and which reporters are suspected. */
export class Reporters {
  private readonly reporters = new Map<string, Reporter>();

  private readonly outstanding = new Map<string, number>();

  public adopt(from: string, digests: readonly TargetDigest[], now: number): void {
    const known = this.reporters.get(from);
    if (known !== undefined) this.subtract(known);
    const outstanding = new Map(digests.map((digest) => [digest.target, digest.outstanding]));
    outstanding.forEach((count, target) => this.add(target, count));
    const suspectedUntil = known?.suspectedUntil ?? 0;
    this.reporters.set(from, { lastPollAt: now, suspectedUntil, outstanding });
  }

  /** Requests outstanding at a target over all entries, as last reported. */
  public fleetOutstanding(target: string): number {
    return this.outstanding.get(target) ?? 0;
  }

  public isTrusted(reporter: string, now: number): boolean {
    const known = this.reporters.get(reporter);
    return known === undefined || known.suspectedUntil <= now;
  }

  public suspected(now: number): string[] {
    return [...this.reporters.keys()].filter((reporter) => !this.isTrusted(reporter, now));
  }

  /** Drops reporters that have stopped polling and returns their names. */
  public expire(now: number): string[] {
    const silent = [...this.reporters].filter(
      ([, { lastPollAt }]) => now - lastPollAt > REPORTER_TIMEOUT_MS,
    );
    silent.forEach(([name, reporter]) => {
      this.subtract(reporter);
      // A suspected reporter is kept, since its network links may still be bad when it polls again.
      if (reporter.suspectedUntil > now) reporter.outstanding.clear();
      else this.reporters.delete(name);
    });
    return silent.map(([name]) => name);
  }

  /** Suspects each reporter that finds many targets bad which the other reporters do not find bad. */
  public reviewSuspicion(
    evidence: readonly TargetEvidence[],
    parameters: ProfileParameters,
    now: number,
  ): void {
    const names = [...this.reporters.keys()];
    const opinions = new Map(
      names.map((name) => [name, evidence.map((item) => item.opinion(name, parameters, now))]),
    );
    const trusted = names.filter((name) => this.isTrusted(name, now));
    const bad = evidence.map((_, i) => trusted.filter((name) => opinions.get(name)![i]).length);
    const rated = evidence.map(
      (_, i) => trusted.filter((name) => opinions.get(name)![i] !== undefined).length,
    );
    opinions.forEach((own, name) => {
      const ownCount = trusted.includes(name) ? 1 : 0;
      const seen = own.flatMap((opinion, i) => (opinion === undefined ? [] : [i]));
      const seenBad = seen.filter((i) => own[i]);
      if (seen.length < MIN_RATED_TARGETS) return;
      if (seenBad.length < parameters.suspectShare * seen.length) return;
      const samples = seen.map((i) => evidence[i]!.samplesOf(name, now)!);
      const badSamples = samples.reduce((sum, counts) => sum + counts.bad, 0);
      const allSamples = samples.reduce((sum, counts) => sum + counts.total, 0);
      if (badSamples < Math.max(MIN_BAD_SAMPLES, MIN_BAD_SHARE * allSamples)) return;
      const others = seenBad.reduce((sum, i) => sum + rated[i]! - ownCount, 0);
      const agreeing = seenBad.reduce((sum, i) => sum + bad[i]! - ownCount, 0);
      if (others < MIN_RATED_TARGETS || agreeing > MAX_AGREEMENT * others) return;
      this.reporters.get(name)!.suspectedUntil = now + SUSPICION_MS;
    });
  }

  private add(target: string, count: number): void {
    const sum = (this.outstanding.get(target) ?? 0) + count;
    if (sum > 0) this.outstanding.set(target, sum);
    else this.outstanding.delete(target);
  }

  private subtract(reporter: Reporter): void {
    reporter.outstanding.forEach((count, target) => this.add(target, -count));
  }
}
