/** Targets in virtual time, without connections: each answers a request after a fixed duration. */
import type { UpstreamClient, UpstreamRequest } from '@marigoldbank/daemon/entry/UpstreamClient';
import type { BodySink, UpstreamExchange } from '@marigoldbank/daemon/entry/UpstreamExchange';
import type { Clock } from '@marigoldbank/base/clock';

const OK = 200;

export interface FakeArrival {
  readonly target: string;
  readonly entry: string;
  /** Time of the virtual clock, in ms. */
  readonly at: number;
}

export interface FakeUpstreamOptions {
  readonly clock: Clock;
  readonly durationMs: number;
  /** Time for which requests wait for a connection before they are sent. */
  readonly queueMs?: number;
  /** Headers of the answers of a target at this time. */
  readonly headersOf: (target: string) => Record<string, string>;
  /** Status of the answers of a target at this time, 200 if omitted. */
  readonly statusOf?: (target: string) => number;
}

export class FakeUpstream {
  public readonly arrivals: FakeArrival[] = [];

  public constructor(private readonly options: FakeUpstreamOptions) {}

  /** The client of one entry. The id of the target is expected in the header after `idHeader`. */
  public clientOf(entry: string, idHeader: string): UpstreamClient {
    const send = (req: UpstreamRequest): UpstreamExchange => {
      const target = req.headers[req.headers.indexOf(idHeader) + 1] ?? '';
      return this.exchange(target, entry, req.checkDispatch);
    };
    return { send, hasIdleConnection: () => false } as unknown as UpstreamClient;
  }

  private exchange(
    target: string,
    entry: string,
    checkDispatch: UpstreamRequest['checkDispatch'],
  ): UpstreamExchange {
    const { clock, durationMs, queueMs = 0, headersOf, statusOf } = this.options;
    const head = new Promise((resolve) => {
      const dispatch = (): void => {
        if (checkDispatch() !== undefined) {
          resolve({ kind: 'failed', verdict: 'notRun', cause: 'gate', detail: 'not dispatched' });
          return;
        }
        this.arrivals.push({ target, entry, at: clock.now() });
        clock.setTimeout(() => {
          resolve({ kind: 'head', status: statusOf?.(target) ?? OK, headers: headersOf(target) });
        }, durationMs);
      };
      if (queueMs === 0) dispatch();
      else clock.setTimeout(dispatch, queueMs);
    });
    const exchange = {
      head,
      consume: (sink: BodySink) => sink.onEnd(),
      abort: () => undefined,
    };
    return exchange as unknown as UpstreamExchange;
  }
}
