/** Follows one coordinator of one service. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { CoordinateRequest, CoordinateResponse, ITargetPool } from '@marigoldbank/ejection';
import type { EntryRecord } from '@marigoldbank/fleet/config';

const POLL_INTERVAL_MS = 250;

/** One lost answer is common during a restart; two in a row take 500 ms. */
const FAILURES_BEFORE_NEXT = 2;

/** While it follows a lower rank, every eighth poll tries the first one: evidence decides best in one place. */
const POLLS_BETWEEN_RETURNS = 8;

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

  /** Polls once. A poll that is still waiting for its answer is not overtaken. */
  public async poll(): Promise<void> {
    if (this.isPolling) return;
    this.isPolling = true;
    this.polls += 1;
    try {
      if (this.rank > 0 && this.polls % POLLS_BETWEEN_RETURNS === 0) await this.tryFirst();
      await this.pollFollowed();
    } finally {
      this.isPolling = false;
    }
  }

  private async pollFollowed(): Promise<void> {
    const coordinators = this.options.coordinators();
    const followed = coordinators[this.rank % Math.max(1, coordinators.length)];
    if (followed === undefined) return;
    const { pool } = this.options;
    try {
      await this.ask(followed, pool.takeDigest());
      this.failures = 0;
    } catch {
      this.failures += 1;
      if (this.failures < FAILURES_BEFORE_NEXT) return;
      this.failures = 0;
      this.rank = (this.rank + 1) % coordinators.length;
    }
  }

  private async tryFirst(): Promise<void> {
    const first = this.options.coordinators()[0];
    if (first === undefined) return;
    try {
      await this.ask(first, { digests: [], lost: [], cleared: [] });
      this.rank = 0;
      this.failures = 0;
    } catch {
      // The followed coordinator stays in charge.
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
