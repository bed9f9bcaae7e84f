/** Polls one coordinator of a service, and fails over to the next one when it does not answer. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { CoordinateRequest, CoordinateResponse, ITargetPool } from '@marigoldbank/ejection';
import type { EntryRecord } from '@marigoldbank/fleet/config';

const POLL_INTERVAL_MS = 250;

/** A single lost answer is common during a restart; two consecutive ones take 500 ms. */
const FAILURES_BEFORE_FAILOVER = 2;

/**
 * While a coordinator of a lower rank is polled, every eighth poll tries the first one: ejection decides best where the
 * evidence of all entries arrives at one coordinator.
 */
const POLLS_PER_FAILBACK_ATTEMPT = 8;

export interface ServicePollerOptions {
  readonly clock: Clock;
  readonly service: string;
  readonly self: string;
  readonly pool: ITargetPool;
  readonly coordinators: () => readonly EntryRecord[];
  readonly revision: () => number;
  readonly coordinate: (to: EntryRecord, req: CoordinateRequest) => Promise<CoordinateResponse>;
}

export class ServicePoller extends DisposableStore {
  private rank = 0;

  private failures = 0;

  private polls = 0;

  private isPolling = false;

  public constructor(private readonly options: ServicePollerOptions) {
    super();
    this.add(
      setPeriodic(
        options.clock,
        () => {
          this.poll().catch(() => undefined);
        },
        POLL_INTERVAL_MS,
      ),
    );
  }

  /** Polls once. Does nothing while an earlier poll waits for its answer. */
  public async poll(): Promise<void> {
    if (this.isPolling) return;
    this.isPolling = true;
    this.polls += 1;
    try {
      if (this.rank > 0 && this.polls % POLLS_PER_FAILBACK_ATTEMPT === 0) await this.tryFailback();
      await this.pollCurrent();
    } finally {
      this.isPolling = false;
    }
  }

  private async pollCurrent(): Promise<void> {
    const coordinators = this.options.coordinators();
    const current = coordinators[this.rank % Math.max(1, coordinators.length)];
    if (current === undefined) return;
    const { pool } = this.options;
    try {
      await this.ask(current, pool.takeDigest());
      this.failures = 0;
    } catch {
      this.failures += 1;
      if (this.failures < FAILURES_BEFORE_FAILOVER) return;
      this.failures = 0;
      this.rank = (this.rank + 1) % coordinators.length;
    }
  }

  private async tryFailback(): Promise<void> {
    const first = this.options.coordinators()[0];
    if (first === undefined) return;
    try {
      await this.ask(first, { digests: [], lost: [], cleared: [] });
      this.rank = 0;
      this.failures = 0;
    } catch {
      // Stay with the current coordinator.
    }
  }

  private async ask(
    to: EntryRecord,
    digest: Pick<CoordinateRequest, 'digests' | 'lost' | 'cleared'>,
  ): Promise<void> {
    const { clock, self, service, revision, coordinate, pool } = this.options;
    const askedAt = clock.now();
    const res = await coordinate(to, { from: self, service, revision: revision(), ...digest });
    pool.update(res, askedAt);
  }
}
