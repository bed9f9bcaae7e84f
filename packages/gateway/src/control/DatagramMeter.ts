/** Counts the datagrams that a log process answers, and the time that they take it, by what they ask for. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { datagramSeconds, datagramsTotal } from '../metrics.js';

export type DatagramKind = 'hubs' | 'plan' | 'leadership';

const LOG_INTERVAL_MS = 5_000;

const MS_PER_SECOND = 1_000;

interface Counts {
  readonly hubs: number;
  readonly plan: number;
  readonly leadership: number;
}

const NO_COUNTS: Counts = { hubs: 0, plan: 0, leadership: 0 };

export class DatagramMeter extends DisposableStore {
  private counts = NO_COUNTS;

  /** Time spent on questions for the plan, which are answered within one turn of the event loop. */
  private planMs = 0;

  public constructor(
    clock: Clock,
    private readonly logger: Logger,
  ) {
    super();
    this.add(setPeriodic(clock, () => this.logCounts(), LOG_INTERVAL_MS));
  }

  /** Notes an answer. An answer about leadership waits for those of the voters, `elapsedMs` includes that. */
  public note(kind: DatagramKind, elapsedMs: number): void {
    this.counts = { ...this.counts, [kind]: this.counts[kind] + 1 };
    if (kind === 'plan') this.planMs += elapsedMs;
    datagramsTotal.inc({ kind });
    datagramSeconds.observe({ kind }, elapsedMs / MS_PER_SECOND);
  }

  private logCounts(): void {
    const { counts, planMs, logger } = this;
    this.counts = NO_COUNTS;
    this.planMs = 0;
    if (counts.hubs + counts.plan === 0) return;
    logger.info('datagrams were answered', { ...counts, planMs: Math.round(planMs) });
  }
}
