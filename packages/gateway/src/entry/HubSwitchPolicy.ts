/** How long an entry stays with its hub. */
import type { Random } from '@marigoldbank/base/random';

/** A hub sends at least every 400 ms; one that is silent for this long is left. */
const SILENCE_MS = 900;

/** The same for an entry without a plan: most likely the hub has just started too, and is busy with all its entries. */
const STARTUP_SILENCE_MS = 2_500;

/** A hub that a majority has not confirmed for this long may hold old state. */
const UNCONFIRMED_MS = 1_300;

/**
 * Time at a hub that is cut off from the others before it is left: it may miss changes that were acknowledged. Doubled
 * while the next hub is no better.
 */
const MIN_STAY_MS = 300;
const MAX_STAY_MS = 16_000;

/**
 * Time without a confirmation at a hub that hears a majority of the voters and no leader. No other hub is better then,
 * and entries that all move keep the control VMs from electing a leader.
 */
const LEADERLESS_STAY_MS = 4_000;

/** Time at a hub in another data centre before a nearer one is followed. */
const FAR_STAY_MS = 5_000;

/** What is known of the hub that is followed. Times are monotonic ms. */
export interface HubView {
  /** When its first message came, undefined before: what is known of confirmations is another hub's until then. */
  readonly followedAt: number | undefined;
  readonly heardAt: number;
  readonly confirmedAgeMs: number;
  /** Whether the entry has a plan, which may become outdated. */
  readonly hasPlan: boolean;
  readonly isLeaderless: boolean;
  /** Whether a hub in the own data centre can be followed instead. */
  readonly hasNearer: boolean;
}

export type LeaveReason = 'silent' | 'unconfirmed' | 'far';

export class HubPatience {
  private stayMs = MIN_STAY_MS;

  private spread = 1;

  public constructor(private readonly random: Random) {}

  /** A hub is followed from now on. Entries differ in how long they stay, so that they do not move together. */
  public begin(): void {
    this.spread = 1 + this.random.float();
  }

  /** Why the hub is to be left now, if it is. */
  public reasonToLeave(hub: HubView, now: number): LeaveReason | undefined {
    const silenceMs = hub.hasPlan ? SILENCE_MS : STARTUP_SILENCE_MS;
    if (now - hub.heardAt > silenceMs) return 'silent';
    if (hub.followedAt === undefined) return undefined;
    const stayedMs = now - hub.followedAt;
    if (hub.confirmedAgeMs <= UNCONFIRMED_MS) {
      this.stayMs = MIN_STAY_MS;
      return hub.hasNearer && stayedMs > FAR_STAY_MS * this.spread ? 'far' : undefined;
    }
    const unconfirmedMs = Math.min(stayedMs, hub.confirmedAgeMs - UNCONFIRMED_MS);
    // An entry without a plan obeys no old one; its hub most likely catches up sooner than another one would serve it.
    if (hub.isLeaderless || !hub.hasPlan) {
      return unconfirmedMs > LEADERLESS_STAY_MS * this.spread ? 'unconfirmed' : undefined;
    }
    if (stayedMs <= this.stayMs * this.spread) return undefined;
    this.stayMs = Math.min(MAX_STAY_MS, this.stayMs * 2);
    return 'unconfirmed';
  }
}
