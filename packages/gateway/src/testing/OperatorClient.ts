/** Sends calls to control VMs as operators do: any VM, two redirects, and other VMs after a failure. */
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';

const MAX_REDIRECTS = 2;

/** Backoff after the first failure; each further one doubles it. */
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 1_600;

const REFUSALS = [400, 409, 412, 413, 422];

const REDIRECT = 307;

export interface ControlReply {
  readonly status: number;
  readonly body: string;
  /** Where a redirect leads, `http://ip:port/path`. */
  readonly location: string | undefined;
}

export interface OperatorClientContext {
  readonly clock: Clock;
  readonly random: Random;
  /** Addresses of the control VMs, `ip:port`. */
  readonly addresses: () => readonly string[];
  /** Sends one request. Rejects if there is no answer within a second. */
  readonly send: (address: string, target: string, body: string) => Promise<ControlReply>;
}

export interface OperatorCallResult {
  /** The reply that ended the call, undefined if the time was over before. */
  readonly reply: ControlReply | undefined;
  readonly tookMs: number;
  /** Requests sent, with their outcome. */
  readonly trace: readonly string[];
}

export class OperatorClient {
  public constructor(private readonly ctx: OperatorClientContext) {}

  /** Repeats a call until it is answered with 200 or refused for good, at most for `limitMs`. */
  public async call(target: string, body: string, limitMs: number): Promise<OperatorCallResult> {
    const { clock } = this.ctx;
    const startedAt = clock.now();
    const trace: string[] = [];
    let backoffMs = FIRST_BACKOFF_MS;
    let last: string | undefined;
    while (clock.now() - startedAt < limitMs) {
      const address: string = this.pickOther(last);
      last = address;
      const reply = await this.follow(address, target, body, trace);
      const isFinal = reply?.status === 200 || REFUSALS.includes(reply?.status ?? 0);
      if (isFinal) return { reply, tookMs: clock.now() - startedAt, trace };
      await delay(clock, backoffMs);
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }
    return { reply: undefined, tookMs: clock.now() - startedAt, trace };
  }

  private pickOther(last: string | undefined): string {
    const { random, addresses } = this.ctx;
    return random.pick(addresses().filter((address) => address !== last))!;
  }

  private async follow(
    address: string,
    target: string,
    body: string,
    trace: string[],
    redirects = MAX_REDIRECTS,
  ): Promise<ControlReply | undefined> {
    const { clock, send } = this.ctx;
    const sentAt = clock.now();
    const reply = await send(address, target, body).catch(() => undefined);
    const tookMs = Math.round(clock.now() - sentAt);
    trace.push(`${Math.round(sentAt)}: ${address} ${reply?.status ?? 'no answer'} (${tookMs} ms)`);
    if (reply?.status !== REDIRECT || reply.location === undefined || redirects === 0) return reply;
    const url = new URL(reply.location);
    return this.follow(url.host, url.pathname + url.search, body, trace, redirects - 1);
  }
}
