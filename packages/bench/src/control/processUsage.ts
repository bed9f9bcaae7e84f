/** CPU time and resident memory of a process, read from `/proc`. */
import { readFileSync } from 'node:fs';

/** Clock ticks per second, the unit of CPU times in `/proc`. */
const TICKS_PER_SECOND = 100;

const PAGE_BYTES = 4_096;

const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const RSS_FIELD = 21;

export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly rssBytes: number;
}

/** Reads the usage of a process. Throws if it has ended. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'latin1');
  // The process name in parentheses may contain spaces, so fields are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    rssBytes: Number(fields[RSS_FIELD]) * PAGE_BYTES,
  };
}
