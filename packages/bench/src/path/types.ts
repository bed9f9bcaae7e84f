/** Types of the path bench. */

export type ServerKind = 'upstream' | 'naive' | 'entry';

export interface WorkerInput {
  readonly kind: ServerKind;
  /** `ip:port` of the upstream behind a proxy. */
  readonly upstream: string;
  /** Teams in the lists of the entry, besides the one that calls. */
  readonly teams: number;
}

/** What one phase of load measured. */
export interface PhaseResult {
  readonly requests: number;
  readonly failures: number;
  readonly durationMs: number;
  /** Latencies in microseconds. */
  readonly latenciesUs: readonly number[];
}
