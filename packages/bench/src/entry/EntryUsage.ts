/** What a measured entry reports about itself, and where it listens. */

/** Ports after the first internal port. */
export const CALLER_PORT_OFFSET = 3;
export const READY_PORT_OFFSET = 4;

export interface EntryUsage {
  /** Since the start of the process. */
  readonly userSeconds: number;
  readonly systemSeconds: number;
  readonly heapBytes: number;
  readonly rssBytes: number;
}
