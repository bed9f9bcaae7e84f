/** Newest announcement of each target of one service. */
import { ANNOUNCEMENT_LEASE_MS, TOMBSTONE_MS } from './constants.js';
import type { Announcement } from './types.js';

/** An announcement and the monotonic time at which the fleet received it. */
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

/** Orders announcements by incarnation and sequence. `leaving` stays as a tombstone. */
export class AnnouncementStore {
  private readonly stored = new Map<string, StoredAnnouncement>();

  /** Adopts an announcement unless an equal or newer one is known. Returns whether the incarnation is new. */
  public adopt(announcement: Announcement, now: number): 'ignored' | 'adopted' | 'newIncarnation' {
    const known = this.stored.get(announcement.target);
    if (known !== undefined && !isNewer(announcement, known.announcement)) return 'ignored';
    const isExpired = announcement.ageMs >= ANNOUNCEMENT_LEASE_MS;
    if (known === undefined && isExpired && announcement.state !== 'leaving') return 'ignored';
    this.stored.set(announcement.target, { announcement, receivedAt: now - announcement.ageMs });
    const isSame = known?.announcement.incarnation === announcement.incarnation;
    return isSame ? 'adopted' : 'newIncarnation';
  }

  /** Forgets targets that have been silent or gone for the tombstone time; returns their ids. */
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

  /** True if the target may be given new work. */
  public isUsable(target: string, now: number): boolean {
    const known = this.stored.get(target);
    return (
      known !== undefined &&
      known.announcement.state === 'up' &&
      now - known.receivedAt < ANNOUNCEMENT_LEASE_MS
    );
  }
}
