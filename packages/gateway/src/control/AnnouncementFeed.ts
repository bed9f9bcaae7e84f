/** Announcements that this control VM has received, numbered in the order of their arrival. */
import type { Announcement } from '../announcement.js';
import { isColdnessChanged } from './coldness.js';
import { TargetRegistry, type AnnouncementEffect } from './TargetRegistry.js';
import { toTargetMessage, type TargetInit } from './targets-codec.js';

/** Announcements after a position, and the position that they lead to. */
export interface AnnouncementBatch {
  readonly announcements: readonly TargetInit[];
  readonly position: number;
}

export class AnnouncementFeed {
  private readonly registry = new TargetRegistry();

  /** Position of the newest announcement of each target. There is one of each, so the feed is bounded. */
  private readonly positions = new Map<string, number>();

  private lastPosition = 0;

  private lastChangePosition = 0;

  public get position(): number {
    return this.lastPosition;
  }

  /** Position of the newest announcement that was not a mere repetition. */
  public get changePosition(): number {
    return this.lastChangePosition;
  }

  /** Adds an announcement that was received at `now` (monotonic ms), unless a newer one is known. */
  public add(announcement: Announcement, now: number): AnnouncementEffect {
    const displaced = this.registry.displacedBy(announcement);
    const isColdChange = this.isColdnessChanged(announcement, now);
    const registered = this.registry.announce(announcement, now);
    if (registered === 'outdated') return registered;
    const effect = isColdChange ? 'changed' : registered;
    if (displaced !== undefined) this.remove(displaced, 0);
    this.lastPosition += 1;
    this.positions.set(announcement.id, this.lastPosition);
    if (effect === 'changed') this.lastChangePosition = this.lastPosition;
    return effect;
  }

  /** Removes a target that has left. Later announcements of incarnations up to `born` are ignored. */
  public remove(id: string, born: number): void {
    this.registry.remove(id, born);
    this.positions.delete(id);
  }

  /** Removes targets whose announcements have expired. */
  public expire(now: number): void {
    this.registry.expire(now).forEach((id) => this.positions.delete(id));
  }

  /** Start (Unix ms) of a target's incarnation, 0 if unknown. */
  public bornOf(id: string): number {
    return this.registry.get(id)?.announcement.born ?? 0;
  }

  /** Whether an announcement says something else than the last one about the time for which its target is cold. */
  private isColdnessChanged({ id, coldMs }: Announcement, now: number): boolean {
    const known = this.registry.get(id);
    if (known === undefined) return false;
    return isColdnessChanged(known.announcedAt + known.announcement.coldMs, now + coldMs, now);
  }

  /** Announcements after a position, with their ages at `now` (monotonic ms). */
  public since(position: number, now: number): AnnouncementBatch {
    const announcements = [...this.positions]
      .filter(([, at]) => at > position)
      .flatMap(([id]) => {
        const registered = this.registry.get(id);
        return registered === undefined ? [] : [toTargetMessage(registered, now)];
      });
    return { announcements, position: this.lastPosition };
  }
}
