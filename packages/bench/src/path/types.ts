/** Types of the path benchmark. */

export type ServerKind = 'upstream' | 'naive' | 'entry';

export interface WorkerInput {
  readonly kind: ServerKind;
  /** `ip:port` of the upstream that the proxy or entry forwards to; empty for the upstream itself. */
  readonly upstream: string;
  /** Number of teams in the lists of the entry, besides the calling one. */
  readonly teams: number;
}

/** Measurements of one load phase. */
export interface PhaseResult {
  readonly requests: number;
  readonly failures: number;
  readonly durationMs: number;
  /** Latencies in microseconds. */
  readonly latenciesUs: readonly number[];
}
