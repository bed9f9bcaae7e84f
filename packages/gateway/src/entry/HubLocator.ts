/** Finds out which hubs there are from the log processes of control VMs, without a stream. */
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { ListHubsResponse } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { IDirectoryClient } from '../sync/DirectoryClient.js';

/** Timeouts of one question, for an entry that has just started as its control VMs may have, and for all others. */
const FIRST_TIMEOUT_MS = 250;
const TIMEOUT_MS = 80;

/** Time until an entry asks again while control VMs still find further hubs. */
const REPEAT_MS = 150;

/** An address that did not answer is asked last for this long. */
const FAILURE_BACKOFF_MS = 3_000;

/** An entry without a list goes on asking for this long, until the hubs are likely to be complete. */
const FIRST_LIMIT_MS = 5_000;

/** Time after which an entry with a list goes on with what it knows. Half of the control VMs may be frozen. */
const LIMIT_MS = 600;

/**
 * Answers without any hub, from control VMs that have just started, after which an entry with a list stops asking, and mean time until it
 * goes on. The hubs start later than the log processes, which have an election to hold meanwhile.
 */
const MAX_EMPTY_ANSWERS = 2;
const EMPTY_PAUSE_MS = 300;

export interface LocatorContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly dataCentre: string;
  /** Addresses of the log processes of the control VMs in the settings. */
  readonly seeds: () => readonly string[];
  readonly client: IDirectoryClient;
}

/** Whether a list begins with a hub that is heard and not late. */
function isOfUse(answer: ListHubsResponse | undefined): boolean {
  const first = answer?.hubs[0];
  return first !== undefined && !first.isLate && !first.isSilent;
}

export class HubLocator {
  private readonly failedAt = new Map<string, number>();

  private hasList = false;

  public constructor(private readonly ctx: LocatorContext) {}

  /**
   * Returns the hubs in the order in which this entry should try them. `known` are the addresses of the log processes of
   * further control VMs. Returns undefined if none answers in time.
   */
  public async locate(known: readonly string[]): Promise<ListHubsResponse | undefined> {
    const { clock, logger } = this.ctx;
    const startedAt = clock.now();
    const best = await (this.hasList ? this.askEach(known) : this.askUntilSettled());
    logger.info('hubs are located', {
      hubs: best?.hubs.length ?? 0,
      first: best?.hubs[0]?.address ?? '',
      isSettled: best?.isSettled ?? false,
      tookMs: Math.round(clock.now() - startedAt),
    });
    this.hasList ||= best !== undefined;
    return best;
  }

  /** Asks the seeds until the hubs are likely to be complete. */
  private async askUntilSettled(): Promise<ListHubsResponse | undefined> {
    const { clock } = this.ctx;
    const until = clock.now() + FIRST_LIMIT_MS;
    let best: ListHubsResponse | undefined;
    while (best?.isSettled !== true && clock.now() < until) {
      const [address] = this.addresses([]);
      const answer = address === undefined ? undefined : await this.ask(address, FIRST_TIMEOUT_MS);
      if (answer !== undefined && answer.hubs.length > 0) best = answer;
      if (answer?.isSettled !== true) await delay(clock, REPEAT_MS);
    }
    return best;
  }

  /**
   * Asks one control VM after the other until one knows a hub that is of use. One that is cut off knows only hubs that are
   * cut off as well; its list is taken if there is no other.
   */
  private async askEach(known: readonly string[]): Promise<ListHubsResponse | undefined> {
    const { clock, random } = this.ctx;
    const until = clock.now() + LIMIT_MS;
    const left = this.addresses(known);
    let best: ListHubsResponse | undefined;
    let emptyCount = 0;
    const isDone = (): boolean => isOfUse(best) || emptyCount >= MAX_EMPTY_ANSWERS;
    while (!isDone() && left.length > 0 && clock.now() < until) {
      const answer = await this.ask(left.shift()!, TIMEOUT_MS);
      if (answer?.hubs.length === 0) emptyCount += 1;
      else if (isOfUse(answer) || best === undefined) best = answer;
    }
    if (best === undefined && emptyCount > 0) {
      await delay(clock, EMPTY_PAUSE_MS * (0.5 + random.float()));
    }
    return best;
  }

  private async ask(address: string, timeoutMs: number): Promise<ListHubsResponse | undefined> {
    const { clock, client, dataCentre } = this.ctx;
    const answer = await client.ask(address, dataCentre, timeoutMs);
    if (answer === undefined) this.failedAt.set(address, clock.now());
    return answer;
  }

  /** The seeds and all known control VMs in random order, those that failed recently last. */
  private addresses(known: readonly string[]): string[] {
    const { clock, random, seeds } = this.ctx;
    const now = clock.now();
    const failureOf = (address: string): number => {
      const at = this.failedAt.get(address) ?? -Infinity;
      return now - at < FAILURE_BACKOFF_MS ? at : 0;
    };
    return random
      .shuffle([...new Set([...seeds(), ...known])])
      .sort((a, b) => failureOf(a) - failureOf(b));
  }
}
