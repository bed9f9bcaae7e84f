/**
 * Keeps the plan of an entry current while its hub does not. A change is acknowledged once it is committed, and has to be in
 * force here 2 s later, whatever has become of the hub: it may be cut off without knowing it, be late, or be lost, and a
 * stream of another hub takes the longer the more entries move. So an entry whose plan has not been confirmed for half of
 * that time asks control VMs by datagrams, of which one that a majority confirms is enough, and fetches what it lacks.
 */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { PlanState } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { decodePlanChanges } from '@marigoldbank/routing/plan-items';
import { planQuestionsTotal } from '../metrics.js';
import type { EntryState } from './EntryState.js';
import type { IPlanClient } from './PlanClient.js';

/** Shares of the 2 s: age at which the entry asks, interval of checks, time for the questions, time for a call. */
const ASK_AGE_MS = 1_000;
const CHECK_MS = 100;
const ASK_TIMEOUT_MS = 100;
const FETCH_TIMEOUT_MS = 400;

/** Control VMs that are asked at a time. One of them may be on the smaller side of a split, or down. */
const ASKED_AT_ONCE = 2;

/**
 * Control VMs that are asked in one round. Fewer than half of them are cut off from the others, so that one of these
 * is not in nearly all cases; the next round asks others first.
 */
const ASKED_IN_A_ROUND = 6;

/** Mean pause after a round without a confirmation: most likely there is no leader, or this VM is cut off. */
const PAUSE_MS = 400;

export interface RefresherContext {
  readonly clock: Clock;
  readonly state: EntryState;
  readonly logger: Logger;
  readonly client: IPlanClient;
  /** Addresses of the log processes of all control VMs that are known. */
  readonly addresses: () => readonly string[];
}

export class PlanRefresher extends DisposableStore {
  private round: Promise<void> | undefined;

  private nextRoundAt = -Infinity;

  private lastRoundAt = -Infinity;

  /** Control VMs whose last answer did not help, with the time (monotonic ms). */
  private readonly failedAt = new Map<string, number>();

  private isAsking = false;

  public constructor(private readonly ctx: RefresherContext) {
    super();
    this.add(setPeriodic(ctx.clock, () => this.check(), CHECK_MS));
  }

  /**
   * Resolves once it was tried to confirm the plan if its age is above `maxAgeMs`, such as after this VM was suspended.
   * Resolves at once if that was tried within the last `maxAgeMs`: then no control VM answers, and requests do not wait.
   */
  public async confirm(maxAgeMs: number): Promise<void> {
    const now = this.ctx.clock.now();
    if (this.ctx.state.planVersion === 0 || this.ctx.state.planAgeMs(now) <= maxAgeMs) return;
    if (now - this.lastRoundAt <= maxAgeMs) return;
    await this.startRound();
  }

  private check(): void {
    const { clock, state } = this.ctx;
    const now = clock.now();
    if (state.planVersion === 0) return;
    const isDue = state.planAgeMs(now) > ASK_AGE_MS;
    if (isDue !== this.isAsking) this.logChange(isDue, now);
    if (isDue && now >= this.nextRoundAt) {
      this.startRound().catch((err: unknown) =>
        this.ctx.logger.error('the plan cannot be confirmed', { error: String(err) }),
      );
    }
  }

  private logChange(isDue: boolean, now: number): void {
    const { state, logger } = this.ctx;
    this.isAsking = isDue;
    logger.info(isDue ? 'control VMs are asked for the plan' : 'the plan is confirmed again', {
      version: state.planVersion,
      planAgeMs: Math.round(Math.min(state.planAgeMs(now), Number.MAX_SAFE_INTEGER)),
      hubAgeMs: Math.round(Math.min(state.confirmedAgeMs(now), Number.MAX_SAFE_INTEGER)),
    });
  }

  private startRound(): Promise<void> {
    this.round ??= this.askRound().finally(() => {
      const { clock, state } = this.ctx;
      this.round = undefined;
      this.lastRoundAt = clock.now();
      this.nextRoundAt = clock.now() + PAUSE_MS * (0.5 + state.random.float());
    });
    return this.round;
  }

  /** Asks a few control VMs after each other until one has confirmed a plan that this entry has then. */
  private async askRound(): Promise<void> {
    const left = this.inOrder().slice(0, ASKED_IN_A_ROUND);
    while (left.length > 0 && !this.isCurrent()) {
      await Promise.all(left.splice(0, ASKED_AT_ONCE).map((address) => this.ask(address)));
    }
  }

  private isCurrent(): boolean {
    const { clock, state } = this.ctx;
    return this.isDisposed || state.planAgeMs(clock.now()) < ASK_AGE_MS;
  }

  /** In random order, those that did not help last time at the end. */
  private inOrder(): string[] {
    const { state, addresses } = this.ctx;
    const failureOf = (address: string): number => this.failedAt.get(address) ?? -Infinity;
    return state.random
      .shuffle([...new Set(addresses())])
      .sort((a, b) => Math.sign(failureOf(a) - failureOf(b)) || 0);
  }

  private async ask(address: string): Promise<void> {
    const { clock, state, client, logger } = this.ctx;
    const askedAt = clock.now();
    const answer = await client.askPlan(address, state.planVersion, ASK_TIMEOUT_MS);
    if (answer !== undefined) {
      await this.takePlan(address, answer).catch((err: unknown) =>
        logger.info('the plan could not be fetched', { from: address, error: String(err) }),
      );
    }
    const ageMs = answer?.confirmedAgeMs;
    const isCurrent = answer !== undefined && state.planVersion >= Number(answer.version);
    // Dated by the question, so that time for which the answer was under way counts as age.
    if (isCurrent && ageMs !== undefined) state.confirmPlan(askedAt - ageMs, clock.now());
    const isOfUse = isCurrent && ageMs !== undefined && ageMs < ASK_AGE_MS;
    if (isOfUse) this.failedAt.delete(address);
    else this.failedAt.set(address, clock.now());
    planQuestionsTotal.inc({ outcome: isOfUse ? 'confirmed' : 'unconfirmed' });
  }

  /** Puts a newer plan in force: from the answer, or fetched if its changes are too large for a datagram. */
  private async takePlan(address: string, { version, changes }: PlanState): Promise<void> {
    const { state, client, logger } = this.ctx;
    const held = state.planVersion;
    if (Number(version) <= held) return;
    if (changes !== undefined) state.applyPlan(held, Number(version), decodePlanChanges(changes));
    else {
      const update = await client.fetchPlan(address, held, FETCH_TIMEOUT_MS);
      const [from, to] = [Number(update.fromVersion), Number(update.version)];
      // Another plan may have been put in force meanwhile; a complete one fits any.
      if (from !== 0 && from !== state.planVersion) return;
      state.applyPlan(from, to, decodePlanChanges(update.changes));
    }
    logger.info('plan in force', { version: state.planVersion, from: address, before: held });
  }
}
