/** Keeps this entry current: polls control, and the peers while control does not answer. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { EntryRecord } from '@marigoldbank/fleet/config';
import type { Blackboard } from '../Blackboard.js';
import type { ConfigController } from './ConfigController.js';
import type { ControlPoller } from './ControlPoller.js';

const POLL_INTERVAL_MS = 500;

/** An entry is current for this long after it sent a question that was answered. */
export const CURRENCY_MS = 2_000;

export interface CurrencyControllerOptions {
  readonly clock: Clock;
  readonly blackboard: Blackboard;
  readonly self: EntryRecord;
  readonly incarnation: string;
  readonly config: ConfigController;
  readonly control: ControlPoller;
}

export class CurrencyController extends DisposableStore {
  private isPolling = false;

  public constructor(private readonly options: CurrencyControllerOptions) {
    super();
    this.add(setPeriodic(options.clock, () => this.startRound(), POLL_INTERVAL_MS));
    this.startRound();
  }

  private startRound(): void {
    if (this.isPolling) return;
    this.isPolling = true;
    this.runRound()
      .catch(() => undefined)
      .finally(() => {
        this.isPolling = false;
      });
  }

  private async runRound(): Promise<void> {
    const before = this.options.config.revision;
    await this.pollControl();
    // Reports a new revision at once, so that its acceptance does not wait for the next round.
    if (this.options.config.revision !== before) await this.pollControl();
  }

  private async pollControl(): Promise<boolean> {
    const { clock, config, control, blackboard, self, incarnation } = this.options;
    const askedAt = clock.now();
    const answer = await control.poll({
      entry: self,
      incarnation,
      isDraining: blackboard.lifecycle.value === 'leaving',
      revision: config.revision,
    });
    if (answer === undefined) return false;
    if (answer.config !== undefined) await config.adopt(answer.config);
    if (answer.changes.length > 0) {
      await config.adoptChanges(answer.changes, answer.committedRevision);
    }
    if (config.revision < answer.committedRevision) return false;
    blackboard.peers.set({ current: answer.currentEntries });
    blackboard.currency.set({
      currentUntil: this.isRemoved() ? -Infinity : askedAt + CURRENCY_MS,
      source: 'control',
      acceptedRevision: answer.acceptedRevision,
    });
    return true;
  }

  private isRemoved(): boolean {
    const { config, self } = this.options;
    return config.config?.removedEntries.includes(self.vm) ?? false;
  }
}
