/** Asks control VMs which hubs there are, without a stream. */
import type { Client } from '@connectrpc/connect';
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type {
  DirectoryService,
  ListHubsResponse,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';

/** Timeout of a call for an entry that has no list yet: the control VM waits up to 0.6 s until it knows all hubs. */
const FIRST_TIMEOUT_MS = 900;

/** Timeout of all other calls, which are answered at once. */
const TIMEOUT_MS = 300;

/** An address that did not answer is asked last for this long. */
const FAILURE_BACKOFF_MS = 3_000;

/** Calls to different addresses before the entry goes on with what it knows. Half of them may be frozen. */
const MAX_CALLS = 6;

/** The next address is asked as well if one has not answered for this long. */
const STAGGER_MS = 60;

/** An entry without a list asks again for this long while control VMs still find further hubs. */
const SETTLE_MS = 3_000;

export interface LocatorContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly dataCentre: string;
  /** Addresses of the log processes of the control VMs in the settings. */
  readonly seeds: () => readonly string[];
  readonly clientOf: (address: string) => Pick<Client<typeof DirectoryService>, 'listHubs'>;
}

export class HubLocator {
  private readonly failedAt = new Map<string, number>();

  private hasList = false;

  public constructor(private readonly ctx: LocatorContext) {}

  /**
   * Returns the hubs in the order in which this entry should try them. `known` are the addresses of the log processes of
   * further control VMs. Returns undefined if none of those asked answers.
   */
  public async locate(known: readonly string[]): Promise<ListHubsResponse | undefined> {
    const { clock } = this.ctx;
    const until = clock.now() + SETTLE_MS;
    let answer = await this.ask(known);
    while (!this.hasList && answer !== undefined && !answer.isSettled && clock.now() < until) {
      answer = await this.ask(known);
    }
    if (answer === undefined || answer.hubs.length === 0) return undefined;
    this.hasList = true;
    return answer;
  }

  /** Asks one control VM after the other, and returns the first answer. */
  private ask(known: readonly string[]): Promise<ListHubsResponse | undefined> {
    const { clock } = this.ctx;
    const abort = new AbortController();
    const calls = this.addresses(known)
      .slice(0, MAX_CALLS)
      .map(async (address, i) => {
        await delay(clock, i * STAGGER_MS);
        return abort.signal.aborted ? undefined : this.call(address, abort.signal);
      });
    const none = Promise.all(calls).then(() => undefined);
    const answers = calls.map(async (call) => {
      const answer = await call;
      if (answer === undefined) return none;
      abort.abort();
      return answer;
    });
    return Promise.race(answers);
  }

  private async call(address: string, signal: AbortSignal): Promise<ListHubsResponse | undefined> {
    const { clock, logger, clientOf, dataCentre } = this.ctx;
    try {
      return await clientOf(address).listHubs(
        { dataCentre, canWait: !this.hasList },
        { timeoutMs: this.hasList ? TIMEOUT_MS : FIRST_TIMEOUT_MS, signal },
      );
    } catch (err) {
      if (signal.aborted) return undefined;
      this.failedAt.set(address, clock.now());
      logger.debug('list of hubs not received', { address, error: String(err) });
      return undefined;
    }
  }

  /** The seeds and all known control VMs in random order, those that failed recently last. */
  private addresses(known: readonly string[]): string[] {
    const { clock, random, seeds } = this.ctx;
    const now = clock.now();
    const hasFailed = (address: string): number =>
      Number(now - (this.failedAt.get(address) ?? -Infinity) < FAILURE_BACKOFF_MS);
    return random
      .shuffle([...new Set([...seeds(), ...known])])
      .sort((a, b) => hasFailed(a) - hasFailed(b));
  }
}
