/**
 * Keeps the plan of an entry, and what it knows of targets that leave and of evacuations, current while its hub does not. A change is
 * acknowledged once it is committed, and has to be in force here 2 s later, whatever has become of the hub: it may be cut
 * off without knowing it, be late, or be lost, and a stream of another hub takes the longer the more entries move. So an
 * entry whose plan has not been confirmed for half of that time asks control VMs by datagrams, of which one that a majority
 * confirms is enough, and fetches what it lacks. While there is no leader, what they have stored tells whether a newer plan may be
 * in force; requests that it could change are refused then. A plan that is known to be replaced is not used beyond the 2 s.
 */
import { delay, setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type {
  CommittedState,
  LeavingTarget,
  StoredState,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { PlanUpdate } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { isNewerVersion, newestVersion } from '@marigoldbank/routing/plan';
import { decodePlanChanges } from '@marigoldbank/routing/plan-items';
import { planQuestionsTotal } from '../metrics.js';
import { toEvacuationNotices } from '../sync/evacuation-codec.js';
import type { HeldState } from '../sync/HeldState.js';
import { toVersion } from '../sync/plan-version.js';
import type { EntryState } from './EntryState.js';
import { MAX_ANSWER_AGE_MS, MajorityRead } from './MajorityRead.js';
import type { IPlanClient } from './PlanClient.js';
import { PlanQuestionLog } from './PlanQuestionLog.js';

/** Shares of the 2 s: age at which the entry asks, interval of checks, time for the questions, time for a call. */
const ASK_AGE_MS = 1_000;
const CHECK_MS = 100;
const ASK_TIMEOUT_MS = 100;
const FETCH_SHARE_MS = 400;

/**
 * Calls for a plan that are under way at a time, to different control VMs. One that takes longer than its share goes on:
 * given up and repeated, it costs a busy log process the same again and never ends.
 */
const MAX_FETCHES = 2;

/** Age of the plan above which a newer one that is committed may have been acknowledged 2 s ago. */
const MAX_SERVED_AGE_MS = 1_800;

/** Questions to one control VM in a row, for targets that leave, of which 16 fit into an answer. */
const MAX_PARTS = 8;

/** Control VMs that are asked at a time. One of them may be on the smaller side of a split, or down. */
const ASKED_AT_ONCE = 2;

/**
 * Control VMs that are asked in one round. Fewer than half of them are cut off from the others, so that one of these
 * is not in nearly all cases; the next round asks others first.
 */
const ASKED_IN_A_ROUND = 6;

/**
 * Mean time from the start of a round without a confirmation to that of the next one. The time until control VMs that run again
 * are asked is a part of the bound for a plan that was acknowledged before they lost power.
 */
const ROUND_INTERVAL_MS = 450;

export interface RefresherContext {
  readonly clock: Clock;
  readonly state: EntryState;
  readonly logger: Logger;
  readonly client: IPlanClient;
  /** Addresses of the log processes of all control VMs that are known. */
  readonly addresses: () => readonly string[];
}

/** What a control VM answered, and the plan that the entry held when it asked, from which the changes start. */
interface PlanAnswer {
  readonly answer: CommittedState | undefined;
  readonly heldVersion: number;
}

export class PlanRefresher extends DisposableStore {
  private round: Promise<void> | undefined;

  private nextRoundAt = -Infinity;

  private lastRoundAt = -Infinity;

  /** Control VMs whose last answer did not help, with the time (monotonic ms). */
  private readonly failedAt = new Map<string, number>();

  private isAsking = false;

  private readonly majority = new MajorityRead();

  private readonly questions: PlanQuestionLog;

  /** Newest plan that was logged as possibly in force. */
  private loggedPossible: number | undefined;

  /** Control VMs from which a plan is being fetched. */
  private readonly fetchedFrom = new Set<string>();

  /** A fetch within its share of the time. No round starts meanwhile, since other answers would tell the same. */
  private fetchInTime: Promise<void> | undefined;

  /** Newest plan that a control VM has named as committed. */
  private committedVersion: number | undefined;

  /** Index in the log up to which this entry knows which targets leave. */
  private heldIndex = 0;

  public constructor(private readonly ctx: RefresherContext) {
    super();
    this.questions = new PlanQuestionLog(ctx.clock, ctx.logger, ASK_TIMEOUT_MS);
    this.add(setPeriodic(ctx.clock, () => this.check(), CHECK_MS));
  }

  /**
   * Resolves once it was tried to confirm the plan if its age is above `maxAgeMs`, such as after this VM was suspended.
   * Resolves at once if that was tried within the last `maxAgeMs`: then no control VM answers, and requests do not wait.
   */
  public async confirm(maxAgeMs: number): Promise<void> {
    const { clock, state } = this.ctx;
    const now = clock.now();
    if (state.planVersion === undefined || state.planAgeMs(now) <= maxAgeMs) return;
    if (now - this.lastRoundAt <= maxAgeMs) return;
    await this.startRound();
  }

  private check(): void {
    const { clock, state } = this.ctx;
    const now = clock.now();
    if (state.planVersion === undefined) return;
    this.endReplacedPlan(now);
    const isDue = state.planAgeMs(now) > ASK_AGE_MS || state.possiblePlan !== undefined;
    if (isDue !== this.isAsking) this.logChange(isDue, now);
    if (isDue && now >= this.nextRoundAt && this.fetchInTime === undefined) {
      this.startRound().catch((err: unknown) =>
        this.ctx.logger.error('the plan cannot be confirmed', { error: String(err) }),
      );
    }
  }

  private logChange(isDue: boolean, now: number): void {
    const { state, logger } = this.ctx;
    this.isAsking = isDue;
    if (!isDue) this.questions.reset();
    logger.info(isDue ? 'control VMs are asked for the plan' : 'the plan is confirmed again', {
      version: state.planVersion,
      planAgeMs: Math.round(Math.min(state.planAgeMs(now), Number.MAX_SAFE_INTEGER)),
      hubAgeMs: Math.round(Math.min(state.confirmedAgeMs(now), Number.MAX_SAFE_INTEGER)),
    });
  }

  private startRound(): Promise<void> {
    const startedAt = this.ctx.clock.now();
    this.round ??= this.askRound().finally(() => {
      const { clock, state } = this.ctx;
      this.round = undefined;
      this.lastRoundAt = clock.now();
      this.nextRoundAt = startedAt + ROUND_INTERVAL_MS * (0.75 + 0.5 * state.random.float());
    });
    return this.round;
  }

  /** Asks a few control VMs after each other until it is known whether the plan of this entry is the newest one. */
  private async askRound(): Promise<void> {
    const left = this.inOrder().slice(0, ASKED_IN_A_ROUND);
    while (left.length > 0 && !this.isKnown()) {
      await Promise.all(left.splice(0, ASKED_AT_ONCE).map((address) => this.askWithin(address)));
    }
    if (this.isKnown()) return;
    this.questions.noteRoundInVain(this.majority.coverage(this.ctx.clock.now()));
  }

  private isKnown(): boolean {
    const { clock, state } = this.ctx;
    const now = clock.now();
    const { possiblePlan } = state;
    if (this.isDisposed) return true;
    if (possiblePlan === undefined) return state.planAgeMs(now) < ASK_AGE_MS;
    return possiblePlan.table !== undefined && now - possiblePlan.at < ASK_AGE_MS;
  }

  /** In random order, voters first if they are needed for a majority, and those that did not help last time at the end. */
  private inOrder(): string[] {
    const { state, addresses, clock } = this.ctx;
    const voters = this.majority.voterAddresses(clock.now());
    const failureOf = (address: string): number =>
      voters.includes(address) ? -1 : (this.failedAt.get(address) ?? 0);
    return state.random
      .shuffle([...new Set([...addresses(), ...voters])])
      .sort((a, b) => failureOf(a) - failureOf(b));
  }

  /** Asks, and goes on after the share of the time for a question. */
  private async askWithin(address: string): Promise<void> {
    const { clock } = this.ctx;
    let isAnswered = false;
    const asking = this.ask(address).then(() => {
      isAnswered = true;
    });
    await Promise.race([asking, delay(clock, ASK_TIMEOUT_MS)]);
    if (!isAnswered) this.failedAt.set(address, clock.now());
  }

  private async ask(address: string): Promise<void> {
    const { clock, state, logger } = this.ctx;
    const askedAt = clock.now();
    const { planVersion } = state;
    if (planVersion === undefined) return;
    const { answer, heldVersion } = await this.askForAll(address, planVersion, MAX_PARTS);
    if (this.isDisposed) return;
    if (answer?.stored !== undefined) this.takeStored(answer.stored, askedAt, heldVersion);
    const version = toVersion(answer?.version);
    if (answer !== undefined) {
      this.committedVersion = newestVersion(this.committedVersion, version);
      await this.takePlan(address, answer, heldVersion).catch((err: unknown) =>
        logger.warn('the plan could not be applied', { from: address, error: String(err) }),
      );
    }
    const ageMs = answer?.confirmedAgeMs;
    const isCurrent = version !== undefined && !isNewerVersion(version, state.planVersion);
    // Dated by the question, so that time for which the answer was under way counts as age.
    if (isCurrent && ageMs !== undefined) state.confirmPlan(askedAt - ageMs, clock.now());
    const isOfUse = isCurrent && ageMs !== undefined && ageMs < ASK_AGE_MS;
    if (isOfUse) this.failedAt.delete(address);
    else this.failedAt.set(address, clock.now());
    planQuestionsTotal.inc({ outcome: isOfUse ? 'confirmed' : 'unconfirmed' });
  }

  /**
   * Ends service by a plan that is known to be replaced, by a control VM or the hub, if the newer one has not come in time. What it
   * changes is not known, so that all requests are refused.
   */
  private endReplacedPlan(now: number): void {
    const { state, logger } = this.ctx;
    const version = newestVersion(this.committedVersion, state.confirmedPlanVersion);
    if (version === undefined || !isNewerVersion(version, state.planVersion)) return;
    if (state.planAgeMs(now) <= MAX_SERVED_AGE_MS || state.possiblePlan !== undefined) return;
    state.notePossiblePlan(version, now);
    logger.warn('the plan in effect is replaced and the newer one has not come', {
      version,
      held: state.planVersion,
    });
  }

  /** Asks again while there are more targets that leave than fit into a datagram. Returns the last answer. */
  private async askForAll(
    address: string,
    heldVersion: number,
    parts: number,
  ): Promise<PlanAnswer> {
    const { questions } = this;
    const { client, clock, state } = this.ctx;
    const held: HeldState = { planVersion: heldVersion, index: this.heldIndex };
    const askedAt = clock.now();
    questions.noteAsked();
    const answer = await client.ask(address, held, MAX_ANSWER_AGE_MS);
    questions.noteOutcome(answer === undefined ? undefined : clock.now() - askedAt);
    if (answer !== undefined) {
      this.takeLeaving(answer.leaving, Number(answer.index));
      state.evacuations.learn(toEvacuationNotices(answer.evacuations), clock.now());
    }
    const hasMore = answer?.hasMoreLeaving === true && parts > 1;
    if (!hasMore) return { answer, heldVersion };
    return this.askForAll(address, state.planVersion ?? heldVersion, parts - 1);
  }

  /** Learns what a control VM has stored, and whether it follows that the plan in effect is, or may not be, the newest one. */
  private takeStored(stored: StoredState, askedAt: number, heldVersion: number): void {
    const { clock, state, logger } = this.ctx;
    this.majority.record(stored, askedAt);
    const now = clock.now();
    const result = this.majority.result(now);
    if (result !== undefined && !isNewerVersion(result.version, state.planVersion)) {
      state.confirmPlan(result.at, now);
      return;
    }
    // One log is enough for a plan that may be in force. While the confirmation of the plan in effect holds, that can wait for
    // others: a log on the smaller side of a split may have what was never committed.
    const isConfirmed = state.planAgeMs(now) < ASK_AGE_MS;
    const possible = result ?? (isConfirmed ? undefined : this.majority.newestPlan(now));
    if (possible === undefined || !isNewerVersion(possible.version, state.planVersion)) return;
    const { version, at, address } = possible;
    const { changes, member } = stored;
    const isAbout = Number(stored.version) === version;
    const update =
      isAbout && changes !== undefined
        ? { fromVersion: heldVersion, changes: decodePlanChanges(changes) }
        : undefined;
    state.notePossiblePlan(version, at, update);
    if (isNewerVersion(version, this.loggedPossible)) {
      this.loggedPossible = version;
      logger.info('a newer plan may be in force', { version, held: state.planVersion });
    }
    const isMissing = state.possiblePlan !== undefined && state.possiblePlan.table === undefined;
    // A control VM that has just answered is the most likely to do so again.
    const from = isAbout ? (member?.address ?? address) : address;
    if (isMissing) this.fetchPossible(from, version, at);
  }

  /** Fetches a plan that may be in force, so that only requests are refused that it could change. */
  private fetchPossible(address: string, version: number, at: number): void {
    this.fetch(address, true, (update) => {
      if (toVersion(update.version) !== version) return;
      const changes = decodePlanChanges(update.changes);
      const fromVersion = toVersion(update.fromVersion);
      this.ctx.state.notePossiblePlan(version, at, { fromVersion, changes });
    }).catch((err: unknown) => this.logFetchError(address, err));
  }

  /** Puts a newer plan in force: from the answer, or fetched if its changes do not fit into a datagram. */
  private async takePlan(
    address: string,
    { version, changes, isPlanLeftOut }: CommittedState,
    heldVersion: number,
  ): Promise<void> {
    const committed = toVersion(version);
    if (committed === undefined) return;
    if (changes !== undefined) this.applyPlan(address, heldVersion, committed, changes);
    if (!isPlanLeftOut || !isNewerVersion(committed, this.ctx.state.planVersion)) return;
    await this.fetch(address, false, (update) => {
      const [from, to] = [toVersion(update.fromVersion), toVersion(update.version)];
      if (to !== undefined) this.applyPlan(address, from, to, update.changes);
    });
  }

  /**
   * Fetches a plan, unless that is under way. Resolves after the share of the time for it at the latest; the plan is taken whenever
   * it comes.
   */
  private async fetch(
    address: string,
    isStored: boolean,
    take: (update: PlanUpdate) => void,
  ): Promise<void> {
    const { client, clock, state } = this.ctx;
    if (this.fetchInTime === undefined) {
      if (this.fetchedFrom.size >= MAX_FETCHES || this.fetchedFrom.has(address)) return;
      this.fetchedFrom.add(address);
      const call = client
        .fetchPlan(address, state.planVersion, isStored, MAX_ANSWER_AGE_MS)
        .then(take)
        .catch((err: unknown) => this.logFetchError(address, err))
        .finally(() => this.fetchedFrom.delete(address));
      this.fetchInTime = Promise.race([call, delay(clock, FETCH_SHARE_MS)]).finally(() => {
        this.fetchInTime = undefined;
      });
    }
    await this.fetchInTime;
  }

  private logFetchError(address: string, err: unknown): void {
    this.ctx.logger.info('the plan could not be fetched', { from: address, error: String(err) });
  }

  /** Applies a newer plan, unless another one has been put in force meanwhile to which the changes do not fit. */
  private applyPlan(
    address: string,
    from: number | undefined,
    to: number,
    changes: Uint8Array,
  ): void {
    const { state, logger } = this.ctx;
    const before = state.planVersion;
    if (!isNewerVersion(to, before) || (from !== undefined && from !== before)) return;
    state.applyPlan(from, to, decodePlanChanges(changes));
    logger.info('plan in force', { version: to, from: address, before });
  }

  /** Sends nothing more to targets that leave, whatever a hub that is cut off says of them. */
  private takeLeaving(leaving: readonly LeavingTarget[], index: number): void {
    const { clock, state, logger } = this.ctx;
    const now = clock.now();
    leaving.forEach(({ id, born }) => {
      // Without the start of the incarnation, the one that is known is meant.
      const target = { id, born: Number(born) || (state.targets.get(id)?.info.born ?? 0) };
      if (state.notices.noteLeaving(target, now)) logger.info('target leaves', { target: id });
    });
    this.heldIndex = Math.max(this.heldIndex, index);
  }
}
