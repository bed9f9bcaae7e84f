/** Counters and histograms of one run. */
import { build, type Histogram } from 'hdr-histogram-js';

/** Outcome of a request as its caller sees it. */
export type RequestOutcome = 'answered' | 'failed' | 'timedOut' | 'refused' | 'quarantined';

interface TeamCounts {
  sent: number;
  answered: number;
  refused: number;
  readonly latency: Histogram;
}

/** Results of one run; all times in ms. */
export interface RunFigures {
  requests: number;
  answeredShare: number;
  worstTeam: string;
  worstTeamShare: number;
  worstTeamP99Ms: number;
  refusedShare: number;
  attemptsPerRequest: number;
  retriesPerRequest: number;
  shedShare: number;
  addedP50Ms: number;
  addedP99Ms: number;
  latencyP99Ms: number;
  /** Time from the start of a fault until all entries avoid the target, for each detected fault. */
  detectionMs: number[];
  undetected: number;
  falseEjections: number;
  falseAvoidances: number;
  crashes: number;
  poisonRefused: number;
  innocentsQuarantined: number;
  workAfterLeaving: number;
  floorViolations: number;
  suspectedMs: number | null;
}

const MICROS_PER_MS = 1_000;

function newHistogram(): Histogram {
  return build({
    highestTrackableValue: 60_000 * MICROS_PER_MS,
    numberOfSignificantValueDigits: 3,
  });
}

function quantileMs(histogram: Histogram, percentile: number): number {
  return histogram.totalCount === 0
    ? 0
    : histogram.getValueAtPercentile(percentile) / MICROS_PER_MS;
}

export class Measures {
  public attempts = 0;

  public retries = 0;

  public shed = 0;

  public undetected = 0;

  public falseEjections = 0;

  public falseAvoidances = 0;

  public poisonRefused = 0;

  public innocentsQuarantined = 0;

  public floorViolations = 0;

  public suspectedMs: number | null = null;

  public readonly detectionMs: number[] = [];

  private readonly teams = new Map<string, TeamCounts>();

  private readonly added = newHistogram();

  private readonly latency = newHistogram();

  /** Counts one finished request; the latency and added time of answered ones are recorded. */
  public record(team: string, outcome: RequestOutcome, latencyMs: number, addedMs: number): void {
    let counts = this.teams.get(team);
    if (counts === undefined) {
      counts = { sent: 0, answered: 0, refused: 0, latency: newHistogram() };
      this.teams.set(team, counts);
    }
    counts.sent += 1;
    if (outcome === 'answered') {
      counts.answered += 1;
      counts.latency.recordValue(Math.round(latencyMs * MICROS_PER_MS));
      this.latency.recordValue(Math.round(latencyMs * MICROS_PER_MS));
      this.added.recordValue(Math.round(Math.max(0, addedMs) * MICROS_PER_MS));
    }
    if (outcome === 'refused') counts.refused += 1;
  }

  /** @param greedyTeam team that sends more than its rate; its requests are left out of shares and team figures */
  public figures(
    greedyTeam: string | undefined,
    crashes: number,
    workAfterLeaving: number,
  ): RunFigures {
    const entitled = [...this.teams].filter(([team]) => team !== greedyTeam);
    const shares = entitled
      .map(([team, counts]) => ({ team, counts, share: counts.answered / counts.sent }))
      .sort((a, b) => a.share - b.share);
    const worst = shares[0];
    const sum = (key: 'sent' | 'answered' | 'refused'): number =>
      entitled.reduce((total, [, counts]) => total + counts[key], 0);
    const requests = [...this.teams.values()].reduce((total, { sent }) => total + sent, 0);
    return {
      requests,
      answeredShare: sum('answered') / Math.max(1, sum('sent')),
      worstTeam: worst?.team ?? '',
      worstTeamShare: worst?.share ?? 1,
      worstTeamP99Ms: Math.max(0, ...shares.map(({ counts }) => quantileMs(counts.latency, 99))),
      refusedShare: sum('refused') / Math.max(1, sum('sent')),
      attemptsPerRequest: this.attempts / Math.max(1, requests),
      retriesPerRequest: this.retries / Math.max(1, requests),
      shedShare: this.shed / Math.max(1, this.attempts),
      addedP50Ms: quantileMs(this.added, 50),
      addedP99Ms: quantileMs(this.added, 99),
      latencyP99Ms: quantileMs(this.latency, 99),
      detectionMs: this.detectionMs,
      undetected: this.undetected,
      falseEjections: this.falseEjections,
      falseAvoidances: this.falseAvoidances,
      crashes,
      poisonRefused: this.poisonRefused,
      innocentsQuarantined: this.innocentsQuarantined,
      workAfterLeaving,
      floorViolations: this.floorViolations,
      suspectedMs: this.suspectedMs,
    };
  }
}
