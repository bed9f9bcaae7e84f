/** Decides when an entry leaves the hub that it follows. */
import type { Random } from '@marigoldbank/base/random';
import { MAX_CONFIRMED_AGE_MS } from '../sync/confirmation.js';
import type { BetterHubReason } from './HubSelector.js';

/** A hub sends a message at least every 400 ms. An entry leaves a hub that sends nothing for this long. */
const SILENCE_TIMEOUT_MS = 900;

/** Timeout without a plan: most likely the hub has just started as well and is busy with all its entries. */
const STARTUP_SILENCE_TIMEOUT_MS = 2_500;

/**
 * Time for which an entry follows a hub that is partitioned from the others and may miss acknowledged changes. It
 * doubles with each further hub that is not confirmed either.
 */
const MIN_STAY_MS = 300;
const MAX_STAY_MS = 16_000;

/**
 * Time without a confirmation after which an entry leaves a hub that reaches a majority of the voters but no leader. No
 * other hub is better then, and entries that all move at once keep the control VMs from electing a leader.
 */
const LEADERLESS_STAY_MS = 4_000;

/**
 * Time for which an entry stays at a hub after it has learnt of a better one. It is randomised, so that a few entries
 * move first and the others see that the better hub has filled up.
 */
const BETTER_HUB_STAY_MS = 5_000;

/** State of the hub that the entry follows. Times are monotonic ms. */
export interface FollowedHub {
  /** Time of its first message, undefined before. Until then `confirmedAgeMs` still stems from the previous hub. */
  readonly firstMessageAt: number | undefined;
  readonly lastMessageAt: number;
  readonly confirmedAgeMs: number;
  /** Whether the entry has a plan, which can become outdated. */
  readonly hasPlan: boolean;
  readonly isLeaderless: boolean;
  /** Why another hub is better, undefined if none is. */
  readonly betterHubReason: BetterHubReason | undefined;
}

export type LeaveReason = 'silent' | 'unconfirmed' | BetterHubReason;

export class HubSwitchPolicy {
  private stayMs = MIN_STAY_MS;

  private jitter = 1;

  /** Time since which a better hub has been known. */
  private betterSince: number | undefined;

  public constructor(private readonly random: Random) {}

  /** Starts with a new hub. The jitter keeps entries from leaving a hub all at the same time. */
  public startFollowing(): void {
    this.jitter = 1 + this.random.float();
    this.betterSince = undefined;
  }

  /** Returns why the entry should leave the hub now, or undefined if it should stay. */
  public reasonToLeave(hub: FollowedHub, now: number): LeaveReason | undefined {
    const silenceMs = hub.hasPlan ? SILENCE_TIMEOUT_MS : STARTUP_SILENCE_TIMEOUT_MS;
    if (now - hub.lastMessageAt > silenceMs) return 'silent';
    if (hub.firstMessageAt === undefined) return undefined;
    const stayedMs = now - hub.firstMessageAt;
    if (hub.confirmedAgeMs <= MAX_CONFIRMED_AGE_MS) {
      this.stayMs = MIN_STAY_MS;
      return this.reasonForBetterHub(hub.betterHubReason, now);
    }
    const unconfirmedMs = Math.min(stayedMs, hub.confirmedAgeMs - MAX_CONFIRMED_AGE_MS);
    // Without a plan the entry serves no requests by an outdated one, and its hub most likely catches up sooner than
    // another hub could serve the entry.
    if (hub.isLeaderless || !hub.hasPlan) {
      return unconfirmedMs > LEADERLESS_STAY_MS * this.jitter ? 'unconfirmed' : undefined;
    }
    if (stayedMs <= this.stayMs * this.jitter) return undefined;
    this.stayMs = Math.min(MAX_STAY_MS, this.stayMs * 2);
    return 'unconfirmed';
  }

  private reasonForBetterHub(
    reason: BetterHubReason | undefined,
    now: number,
  ): LeaveReason | undefined {
    if (reason === undefined) this.betterSince = undefined;
    else this.betterSince ??= now;
    const isDue =
      this.betterSince !== undefined && now - this.betterSince > BETTER_HUB_STAY_MS * this.jitter;
    return isDue ? reason : undefined;
  }
}
