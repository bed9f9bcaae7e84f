/** Sends the final state of a claim to its holders until they answer, a limited number of times. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { MAX_RESOLVE_SENDS, RESOLVE_RETRY_MS } from './constants.js';
import { majorityOf } from './sharding.js';

export interface ResolveSenderOptions {
  readonly clock: Clock;
  /** Holders of the claim's shard, in the view of the claim and in the current one. */
  readonly holders: () => readonly string[];
  /** Sends the record to one holder. Any answer ends the sends to it, also one that the record was not stored. */
  readonly send: (holder: string) => Promise<boolean>;
  /** Called once nothing more will be sent. */
  readonly onEnd: () => void;
}

export class ResolveSender implements IDisposable {
  private readonly answered = new Set<string>();

  private sends = 0;

  private timer: IDisposable | undefined;

  private finish: () => void = () => undefined;

  public constructor(private readonly options: ResolveSenderOptions) {}

  /** Resolves when a majority of the holders has answered, or when nothing more will be sent. */
  public run(): Promise<void> {
    return new Promise((resolve) => {
      this.finish = resolve;
      this.sendAll();
    });
  }

  public dispose(): void {
    this.timer?.dispose();
    this.finish();
    this.options.onEnd();
  }

  private sendAll(): void {
    const unanswered = this.options.holders().filter((holder) => !this.answered.has(holder));
    if (unanswered.length === 0 || this.sends >= MAX_RESOLVE_SENDS) {
      this.dispose();
      return;
    }
    this.sends += 1;
    unanswered.forEach((holder) => {
      this.options
        .send(holder)
        .then(() => this.recordAnswer(holder))
        .catch(() => undefined);
    });
    this.timer = this.options.clock.setTimeout(() => this.sendAll(), RESOLVE_RETRY_MS);
  }

  private recordAnswer(holder: string): void {
    this.answered.add(holder);
    const holders = this.options.holders();
    const count = holders.filter((vm) => this.answered.has(vm)).length;
    if (count >= majorityOf(holders.length)) this.finish();
    if (count === holders.length) this.dispose();
  }
}
