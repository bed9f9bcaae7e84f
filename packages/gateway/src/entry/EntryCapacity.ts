/**
 * Room of the targets as one entry knows it: requests without a free slot wait here, and callers of refused ones are told
 * when to return.
 */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Random } from '@marigoldbank/base/random';
import {
  estimateRoom,
  measureSlots,
  type EntryRoom,
  type SlotTotals,
} from '@marigoldbank/routing/load/EntryRoom';
import { ReturnTimes } from '@marigoldbank/routing/load/ReturnTimes';
import { TargetPaces } from '@marigoldbank/routing/load/TargetPaces';
import {
  WaitingRequests,
  type WaitingRequest,
  type WaitOutcome,
} from '@marigoldbank/routing/load/WaitingRequests';
import {
  expectedWaitMs,
  type ITargetFilter,
  type Selection,
} from '@marigoldbank/routing/TargetSelector';
import type { TargetState, TargetTable } from '@marigoldbank/routing/TargetTable';
import { refusalsTotal, returnSeconds, slotWaitSeconds, waitingRequests } from '../metrics.js';
import { DEFAULT_RETRY_AFTER_MS, type ErrorResponse } from './ErrorResponse.js';
import type { Expectation } from './SendAttempt.js';

/** Interval at which waiting requests are checked, besides the times at which slots are known to have become free. */
const CHECK_MS = 15;

/** Longest expected wait at a target whose slot is handed over, as a share of the expected duration. */
const HANDOVER_WAIT = 0.5;

/** Time for which the slots of a service are not counted again. What others report is older. */
const ROOM_AGE_MS = 50;

const MS_PER_SECOND = 1_000;

/** Why a request was refused. */
export type RefusalReason =
  /** Targets rejected it although they had free slots. */
  | 'rejected'
  /** No target had a free slot in time, or those that seemed to have one rejected it. */
  | 'noSlot'
  /** No target may get requests. */
  | 'noTarget'
  | 'other';

/** A request as far as waiting depends on it. Times are monotonic ms. */
export interface CapacityRequest {
  readonly service: string;
  readonly rank: number;
  readonly dueAt: number;
  /** Time until which it is to be answered to meet its objective. */
  readonly objectiveAt: number;
  readonly expectedMs: number;
}

/** A request that may wait. */
export interface StartRequest extends CapacityRequest {
  /** Selects a target, of these if given. */
  readonly select: (among: readonly TargetState[] | undefined) => Selection | undefined;
  readonly send: (selection: Selection) => void;
}

export interface EntryCapacityContext {
  readonly clock: Clock;
  readonly targets: TargetTable;
  readonly filter: ITargetFilter;
  readonly random: Random;
  readonly entryCount: () => number;
  readonly isFollowingHub: (now: number) => boolean;
}

export class EntryCapacity {
  public readonly paces = new TargetPaces();

  private readonly returns: ReturnTimes;

  private readonly waiting = new WaitingRequests<TargetState>();

  /** Expected durations of the last requests, for the rate at which waiting ones are started. */
  private readonly expectedMs = new Map<string, number>();

  private readonly totals = new Map<string, { totals: SlotTotals; at: number }>();

  private wasFollowing = false;

  private timer: IDisposable | undefined;

  public constructor(private readonly ctx: EntryCapacityContext) {
    this.returns = new ReturnTimes(ctx.random);
  }

  /**
   * Starts a request at the selected target, if that has a free slot and no other request is to be started before. Otherwise
   * it waits, unless that would be too long for its objective. The wait ends with `ended`.
   */
  public start(req: StartRequest, first: Selection, ended: Promise<unknown>): Promise<WaitOutcome> {
    const { service, rank, dueAt, objectiveAt, expectedMs } = req;
    const now = this.ctx.clock.now();
    this.forgetWithoutHub(now);
    this.returns.noteArrival(service, rank, now);
    this.expectedMs.set(service, expectedMs);
    const ahead = this.waiting.countAhead(service, rank);
    const { perMs, most } = this.roomOf(service, expectedMs, now);
    if (first.waitMs === 0 && ahead === 0 && this.ownInFlight(service) < most) {
      req.send(first);
      return Promise.resolve('started');
    }
    const startBy = Math.min(objectiveAt, dueAt) - expectedMs;
    const isTooLate =
      now + first.waitMs > startBy || WaitingRequests.isTooLate(ahead, startBy, perMs, now);
    // A slot that was found for this request goes to the first one that waits.
    if (first.waitMs === 0) this.waiting.startFirst(service);
    return isTooLate ? Promise.resolve('refused') : this.wait(req, startBy, ended, now);
  }

  /** What is expected of an attempt that begins now. The pace of the target is left out, since it is to be learnt. */
  public expectationOf(target: TargetState, waitMs: number, expectedMs: number): Expectation {
    const usualWaitMs = expectedWaitMs(target, expectedMs, this.ctx.clock.now());
    return { durationMs: expectedMs + usualWaitMs, hasFreeSlot: waitMs === 0 };
  }

  /** Uses a slot that a request of this entry has left. */
  public slotFreed(target: TargetState): void {
    if (this.waiting.size > 0) this.waiting.startFirst(target.info.service, [target]);
  }

  /** Checks the waiting requests, when something new is known of the targets. */
  public update(): void {
    if (this.waiting.size === 0) return;
    const now = this.ctx.clock.now();
    const perMsOf = (service: string): number =>
      this.roomOf(service, this.expectedMs.get(service) ?? 1, now).perMs;
    this.waiting.update(perMsOf, now);
  }

  /** The refusal with a time to come back. Those that may have run, or that do not depend on targets, stay as they are. */
  public withReturnTime(
    error: ErrorResponse,
    reason: RefusalReason,
    req: CapacityRequest,
  ): ErrorResponse {
    const { kind } = error;
    if (kind !== 'overloaded' && kind !== 'notSent' && kind !== 'noTarget') return error;
    const remainingMs = req.dueAt - this.ctx.clock.now();
    const usualMs = 'retryAfterMs' in error ? error.retryAfterMs : DEFAULT_RETRY_AFTER_MS;
    const retryAfterMs = this.returnMs(reason, usualMs, req, remainingMs);
    refusalsTotal.inc({ service: req.service, reason });
    returnSeconds.observe({ reason }, retryAfterMs / MS_PER_SECOND);
    return { ...error, retryAfterMs };
  }

  private returnMs(
    reason: RefusalReason,
    usualMs: number,
    req: CapacityRequest,
    remainingMs: number,
  ): number {
    if (reason === 'rejected') return this.returns.afterRejection(remainingMs);
    if (reason !== 'noSlot') return this.returns.after(usualMs, remainingMs);
    const { service, rank, expectedMs } = req;
    const now = this.ctx.clock.now();
    const { waitMs, perMs } = this.roomOf(service, expectedMs, now);
    const waiting = this.waiting.countAhead(service, rank);
    return this.returns.forRoom({ service, rank, waitMs, perMs, waiting, remainingMs }, now);
  }

  private wait(
    req: StartRequest,
    startBy: number,
    ended: Promise<unknown>,
    now: number,
  ): Promise<WaitOutcome> {
    const { service, rank, dueAt, expectedMs } = req;
    return new Promise((resolve) => {
      const settle = (outcome: WaitOutcome): void => {
        waitingRequests.set(this.waiting.size);
        slotWaitSeconds.observe({ outcome }, (this.ctx.clock.now() - now) / MS_PER_SECOND);
        resolve(outcome);
      };
      const waiter: WaitingRequest<TargetState> = {
        service,
        rank,
        dueAt,
        startBy,
        tryStart: (targets) => {
          const { most } = this.roomOf(service, expectedMs, this.ctx.clock.now());
          if (this.ownInFlight(service) >= most) return false;
          const selection = req.select(targets);
          // A target that this entry has just left gets its next request, also if others have taken one more slot there.
          const maxWaitMs = targets === undefined ? 0 : HANDOVER_WAIT * expectedMs;
          if (selection === undefined || selection.waitMs > maxWaitMs) return false;
          req.send(selection);
          return true;
        },
        onEnd: settle,
      };
      const onEnded = (): void => this.waiting.remove(waiter, 'ended');
      this.waiting.add(waiter);
      waitingRequests.set(this.waiting.size);
      ended.then(onEnded).catch(onEnded);
      this.schedule();
    });
  }

  /** Without a hub nothing more is heard of the requests of others, which would fill their slots for ever. */
  private forgetWithoutHub(now: number): void {
    const isFollowing = this.ctx.isFollowingHub(now);
    if (this.wasFollowing && !isFollowing) {
      this.ctx.targets.all().forEach((target) => Object.assign(target, { othersInFlight: 0 }));
    }
    this.wasFollowing = isFollowing;
  }

  private schedule(): void {
    if (this.timer !== undefined || this.waiting.size === 0) return;
    this.timer = this.ctx.clock.setTimeout(() => {
      this.timer = undefined;
      this.update();
      this.schedule();
    }, CHECK_MS);
  }

  private ownInFlight(service: string): number {
    return this.ctx.targets
      .candidates(service)
      .reduce((sum, { ownInFlight }) => sum + ownInFlight, 0);
  }

  private roomOf(service: string, expectedMs: number, now: number): EntryRoom {
    const { targets, filter, entryCount } = this.ctx;
    const known = this.totals.get(service);
    if (known !== undefined && now - known.at < ROOM_AGE_MS) {
      return estimateRoom(known.totals, expectedMs, entryCount());
    }
    const usable = targets.candidates(service).filter(({ info }) => filter.isUsable(info, now));
    const totals = measureSlots(usable, now, this.paces);
    this.totals.set(service, { totals, at: now });
    return estimateRoom(totals, expectedMs, entryCount());
  }
}
