/** Durations of the parts of one call to a control VM, for its log line and the metrics. */
import type { Clock } from '@marigoldbank/base/clock';
import { controlCallPartSeconds } from '../metrics.js';

const MS_PER_SECOND = 1_000;

/** `parse`: validation; `commit`: until the change is applied; `confirm`: until the state is confirmed for a read. */
export type CallPart = 'parse' | 'commit' | 'confirm';

export class CallTrace {
  private readonly startedAt: number;

  private readonly durations = new Map<CallPart, number>();

  public constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
  }

  /** Milliseconds since the call was received. */
  public get tookMs(): number {
    return Math.round(this.clock.now() - this.startedAt);
  }

  /** Runs a part of the call and adds its duration to that of earlier ones with this name. */
  public async measure<T>(part: CallPart, work: () => T | Promise<T>): Promise<T> {
    const startedAt = this.clock.now();
    try {
      return await work();
    } finally {
      const ms = this.clock.now() - startedAt;
      this.durations.set(part, (this.durations.get(part) ?? 0) + ms);
      controlCallPartSeconds.observe({ part }, ms / MS_PER_SECOND);
    }
  }

  /** Fields for a log line: `parseMs`, `commitMs` and `confirmMs`, as far as there were such parts, and `tookMs`. */
  public fields(): Record<string, number> {
    const parts = [...this.durations].map(([part, ms]) => [`${part}Ms`, Math.round(ms)] as const);
    return { ...Object.fromEntries(parts), tookMs: this.tookMs };
  }
}
