/** Newest announcement of each target of one service. */
import { ANNOUNCEMENT_LEASE_MS, TOMBSTONE_MS } from './constants.js';
import type { Announcement } from './types.js';

/** An announcement and the monotonic time in ms at which the fleet received it. */
export interface StoredAnnouncement {
  readonly announcement: Announcement;
  readonly receivedAt: number;
}

/** True if `a` supersedes `b`. */
export function isNewer(
  a: Pick<Announcement, 'incarnation' | 'sequence'>,
  b: Pick<Announcement, 'incarnation' | 'sequence'>,
): boolean {
  return (
    a.incarnation > b.incarnation || (a.incarnation === b.incarnation && a.sequence > b.sequence)
  );
}

/** Keeps the newest announcement by incarnation and sequence. An announcement of `leaving` stays as a tombstone. */
export class AnnouncementStore {
  private readonly stored = new Map<string, StoredAnnouncement>();

  /**
   * Adopts an announcement if it is newer than the known one. An expired one of an unknown target is ignored, unless it
   * is `leaving`. Tells if the incarnation is new, as it is for an unknown target.
   */
  public adopt(announcement: Announcement, now: number): 'ignored' | 'adopted' | 'newIncarnation' {
    const known = this.stored.get(announcement.target);
    if (known !== undefined && !isNewer(announcement, known.announcement)) return 'ignored';
    const isExpired = announcement.ageMs >= ANNOUNCEMENT_LEASE_MS;
    if (known === undefined && isExpired && announcement.state !== 'leaving') return 'ignored';
    this.stored.set(announcement.target, { announcement, receivedAt: now - announcement.ageMs });
    const isSame = known?.announcement.incarnation === announcement.incarnation;
    return isSame ? 'adopted' : 'newIncarnation';
  }

  /** Drops targets without an announcement for longer than `TOMBSTONE_MS` and returns their ids. */
  public expire(now: number): string[] {
    const gone = [...this.stored]
      .filter(([, { receivedAt }]) => now - receivedAt > TOMBSTONE_MS)
      .map(([target]) => target);
    gone.forEach((target) => this.stored.delete(target));
    return gone;
  }

  public get(target: string): StoredAnnouncement | undefined {
    return this.stored.get(target);
  }

  public all(): StoredAnnouncement[] {
    return [...this.stored.values()];
  }

  /** Returns whether the target may be given new requests. */
  public isUsable(target: string, now: number): boolean {
    const known = this.stored.get(target);
    return (
      known !== undefined &&
      known.announcement.state === 'up' &&
      now - known.receivedAt < ANNOUNCEMENT_LEASE_MS
    );
  }
}
