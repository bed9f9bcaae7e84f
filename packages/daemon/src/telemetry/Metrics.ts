/** Metrics of one daemon. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import { LabelCardinalityLimiter } from './LabelCardinalityLimiter.js';

const MAX_SERVICES = 200;
const MAX_TEAMS = 100;
const MS_PER_SECOND = 1_000;

/** Starts at 0.5 ms, since the objective is 2.3 ms at p99. */
const ADDED_LATENCY_BUCKETS_S = [
  0.0005, 0.001, 0.0015, 0.0023, 0.004, 0.008, 0.016, 0.05, 0.1, 0.5, 1, 5,
];

const DURATION_BUCKETS_S = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** Data of a finished request. */
export interface RequestObservation {
  readonly service: string;
  readonly team: string;
  /** `answered`, or the kind of the refusal. */
  readonly outcome: string;
  readonly durationMs: number;
  /** Time that was not spent waiting for an upstream; undefined if the request was not sent to any. */
  readonly addedMs: number | undefined;
}

/** Counters, gauges and histograms of request handling, in a registry of their own. */
export class Metrics {
  public readonly registry = new Registry();

  private readonly services = new LabelCardinalityLimiter(MAX_SERVICES);

  private readonly teams = new LabelCardinalityLimiter(MAX_TEAMS);

  private readonly requests = new Counter({
    name: 'marigoldbank_requests_total',
    help: 'Requests by service and outcome',
    labelNames: ['service', 'outcome'] as const,
    registers: [this.registry],
  });

  private readonly teamRequests = new Counter({
    name: 'marigoldbank_team_requests_total',
    help: `Requests by team and outcome; teams after the first ${MAX_TEAMS} are counted as other`,
    labelNames: ['team', 'outcome'] as const,
    registers: [this.registry],
  });

  private readonly attempts = new Counter({
    name: 'marigoldbank_upstream_attempts_total',
    help: 'Attempts at upstreams by service and outcome',
    labelNames: ['service', 'outcome'] as const,
    registers: [this.registry],
  });

  private readonly duration = new Histogram({
    name: 'marigoldbank_request_duration_seconds',
    help: 'Time from the head of a request to the end of its answer',
    labelNames: ['service'] as const,
    buckets: DURATION_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly added = new Histogram({
    name: 'marigoldbank_added_latency_seconds',
    help: 'Time of a request that was not spent waiting for an upstream',
    labelNames: ['service'] as const,
    buckets: ADDED_LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  private readonly inFlight = new Gauge({
    name: 'marigoldbank_requests_in_flight',
    help: 'Requests that this entry is working on',
    registers: [this.registry],
  });

  /** Adds the metrics of the process itself. */
  public collectProcessMetrics(): void {
    collectDefaultMetrics({ register: this.registry });
  }

  public requestStarted(): void {
    this.inFlight.inc();
  }

  public requestEnded(observed: RequestObservation): void {
    const service = this.services.limit(observed.service);
    this.inFlight.dec();
    this.requests.inc({ service, outcome: observed.outcome });
    this.teamRequests.inc({ team: this.teams.limit(observed.team), outcome: observed.outcome });
    this.duration.observe({ service }, observed.durationMs / MS_PER_SECOND);
    if (observed.addedMs !== undefined) {
      this.added.observe({ service }, observed.addedMs / MS_PER_SECOND);
    }
  }

  public attemptEnded(service: string, outcome: string): void {
    this.attempts.inc({ service: this.services.limit(service), outcome });
  }
}
