/** Decides when an entry leaves the hub that it follows. */
import type { Random } from '@marigoldbank/base/random';
import { MAX_CONFIRMED_AGE_MS } from '../sync/confirmation.js';
import type { BetterHubReason } from './HubSelector.js';

/** A hub sends a message at least every 400 ms. An entry leaves a hub that sends nothing for this long. */
const SILENCE_TIMEOUT_MS = 900;

/** Timeout without a plan, or of a hub that has just started: most likely it is busy with the streams of its entries. */
const STARTUP_SILENCE_TIMEOUT_MS = 2_500;

/**
 * Time for which an entry follows a hub that is partitioned from the others and may miss acknowledged changes. It
 * doubles with each further hub that is not confirmed either.
 */
const MIN_STAY_MS = 300;
const MAX_STAY_MS = 16_000;

/**
 * Longest time without a confirmation for which an entry stays at a hub that is late, if another one is not. It is
 * randomised: each connection costs a hub so much that it is late as well if many entries move to it at once.
 */
const LATE_STAY_MS = 1_500;

/**
 * Time without a confirmation after which an entry leaves a hub if no other one is known to be better: all of them are
 * late, or there is no leader. Entries that move then keep the hubs late, and the control VMs from electing a leader.
 */
const NO_ALTERNATIVE_STAY_MS = 4_000;

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
  /** Whether the hub had just started when it sent its last message. */
  readonly isStarting: boolean;
  readonly isLeaderless: boolean;
  /** Whether it does not reach a majority of the voters. */
  readonly isCutOff: boolean;
  /** Whether another hub is not late and has room. */
  readonly hasAlternative: boolean;
  /** Why another hub is better, undefined if none is. */
  readonly betterHubReason: BetterHubReason | undefined;
}

export type LeaveReason = 'silent' | 'unconfirmed' | BetterHubReason;

/** Whether a hub that has sent nothing since a time (monotonic ms) counts as silent. It has longer if it `isStarting`. */
export function isSilent(since: number, isStarting: boolean, now: number): boolean {
  return now - since > (isStarting ? STARTUP_SILENCE_TIMEOUT_MS : SILENCE_TIMEOUT_MS);
}

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

  /** Records that the entry leaves a hub that is not confirmed. It stays longer at the next one that is not either. */
  public recordUnconfirmed(): void {
    this.stayMs = Math.min(MAX_STAY_MS, this.stayMs * 2);
  }

  /** Returns why the entry should leave the hub now, or undefined if it should stay. */
  public reasonToLeave(hub: FollowedHub, now: number): LeaveReason | undefined {
    if (isSilent(hub.lastMessageAt, hub.isStarting || !hub.hasPlan, now)) return 'silent';
    if (hub.firstMessageAt === undefined) return undefined;
    const stayedMs = now - hub.firstMessageAt;
    if (hub.confirmedAgeMs <= MAX_CONFIRMED_AGE_MS) {
      this.stayMs = MIN_STAY_MS;
      return this.reasonForBetterHub(hub.betterHubReason, now);
    }
    const unconfirmedMs = Math.min(stayedMs, hub.confirmedAgeMs - MAX_CONFIRMED_AGE_MS);
    // Without a plan the entry serves no requests by an outdated one, and its hub most likely catches up sooner than
    // another hub could serve the entry.
    const isBetterElsewhere = hub.isCutOff || hub.hasAlternative;
    if (hub.isLeaderless || !hub.hasPlan || !isBetterElsewhere) {
      return unconfirmedMs > NO_ALTERNATIVE_STAY_MS * this.jitter ? 'unconfirmed' : undefined;
    }
    if (!hub.isCutOff && unconfirmedMs <= LATE_STAY_MS * (this.jitter - 1)) return undefined;
    if (stayedMs <= this.stayMs * this.jitter) return undefined;
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
