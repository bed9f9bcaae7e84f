/** Targets in virtual time with slots and a queue, which reject what does not fit, or a share of all requests. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { UpstreamClient, UpstreamRequest } from '@marigoldbank/daemon/entry/UpstreamClient';
import type { BodySink, UpstreamExchange } from '@marigoldbank/daemon/entry/UpstreamExchange';

/** Slots and queue of the targets that are to be served (work plan). */
export const SLOTS = 3;
const QUEUE = 12;

/** Standard deviation of the logarithm of durations. */
const DURATION_SPREAD = 0.3;

export interface SlottedOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Header whose value is the id of the target. */
  readonly idHeader: string;
  /** Median duration of a request at a usual target. */
  readonly durationMs: number;
  /** Factor on the durations at a target at present. */
  readonly slownessOf?: (target: string) => number;
  /** Share of requests that targets reject at present, whatever their load. */
  readonly rejectedShare?: () => number;
}

interface Queue {
  running: number;
  readonly waiting: (() => void)[];
}

export class SlottedTargets {
  public arrivals = 0;

  public rejections = 0;

  private readonly queues = new Map<string, Queue>();

  public constructor(private readonly options: SlottedOptions) {}

  public client(): UpstreamClient {
    const send = (req: UpstreamRequest): UpstreamExchange => this.exchange(req);
    return { send, hasIdleConnection: () => false } as unknown as UpstreamClient;
  }

  private exchange({ headers }: UpstreamRequest): UpstreamExchange {
    const { idHeader, rejectedShare, random } = this.options;
    const id = headers[headers.indexOf(idHeader) + 1] ?? '';
    const queue = this.queues.get(id) ?? { running: 0, waiting: [] };
    this.queues.set(id, queue);
    this.arrivals += 1;
    const isRejected =
      queue.running + queue.waiting.length >= SLOTS + QUEUE ||
      random.chance(rejectedShare?.() ?? 0);
    if (isRejected) this.rejections += 1;
    const head = new Promise((resolve) => {
      if (isRejected) resolve({ kind: 'head', status: 503, headers: { 'x-not-run': '1' } });
      else {
        this.run(id, queue, () =>
          resolve({ kind: 'head', status: 200, headers: { 'x-seal': 's' } }),
        );
      }
    });
    const consume = (sink: BodySink): void => sink.onEnd();
    return { head, consume, abort: () => undefined } as unknown as UpstreamExchange;
  }

  private run(id: string, queue: Queue, onEnd: () => void): void {
    if (queue.running >= SLOTS) {
      queue.waiting.push(() => this.run(id, queue, onEnd));
      return;
    }
    const { clock, random, durationMs, slownessOf } = this.options;
    Object.assign(queue, { running: queue.running + 1 });
    clock.setTimeout(
      () => {
        Object.assign(queue, { running: queue.running - 1 });
        onEnd();
        queue.waiting.shift()?.();
      },
      random.logNormal(durationMs * (slownessOf?.(id) ?? 1), DURATION_SPREAD),
    );
  }
}
