/** Registry of targets by their announcements. */
import type { Announcement } from '../announcement.js';

/**
 * A target without an announcement for this long is removed. Targets must stay registered during partitions between
 * them and the control VMs, which last longer than crashes of targets.
 */
const EXPIRY_MS = 20_000;

export interface RegisteredTarget {
  readonly announcement: Announcement;
  /** Time (monotonic ms) of the last announcement. */
  readonly announcedAt: number;
}

/** Effect of an announcement on the registry; an outdated one is ignored. */
export type AnnouncementEffect = 'changed' | 'refreshed' | 'outdated';

function isNewer(next: Announcement, known: Announcement): boolean {
  if (next.born !== known.born) return next.born > known.born;
  return next.seq > known.seq;
}

function isSame(a: Announcement, b: Announcement): boolean {
  return (
    a.address === b.address &&
    a.service === b.service &&
    a.dataCentre === b.dataCentre &&
    a.slots === b.slots &&
    a.isDraining === b.isDraining &&
    a.born === b.born
  );
}

export class TargetRegistry {
  private readonly targets = new Map<string, RegisteredTarget>();

  private readonly byAddress = new Map<string, string>();

  /** Start of the incarnation last removed (0: unknown), by id. Delayed announcements must not register it again. */
  private readonly departed = new Map<string, number>();

  /** Registers an announcement that was received at `announcedAt` (monotonic ms). */
  public announce(next: Announcement, announcedAt: number): AnnouncementEffect {
    const lastBorn = this.departed.get(next.id);
    if (lastBorn !== undefined && (next.born === 0 || next.born <= lastBorn)) return 'outdated';
    const known = this.targets.get(next.id);
    if (known !== undefined && !isNewer(next, known.announcement)) return 'outdated';
    if (this.isAddressTaken(next)) return 'outdated';
    this.targets.set(next.id, { announcement: next, announcedAt });
    this.byAddress.set(next.address, next.id);
    return known !== undefined && isSame(known.announcement, next) ? 'refreshed' : 'changed';
  }

  /**
   * Removes a target and returns whether it was known. Later announcements of its id are ignored unless they are of an
   * incarnation that started after `born`.
   */
  public remove(id: string, born: number): boolean {
    this.departed.set(id, Math.max(born, this.departed.get(id) ?? 0));
    return this.drop(id);
  }

  /** Removes targets whose announcements have expired and returns their ids. */
  public expire(now: number): string[] {
    const expired = [...this.targets.values()]
      .filter(({ announcedAt }) => announcedAt < now - EXPIRY_MS)
      .map(({ announcement }) => announcement.id);
    expired.forEach((id) => this.drop(id));
    return expired;
  }

  public get(id: string): RegisteredTarget | undefined {
    return this.targets.get(id);
  }

  /** Returns the id of another target that holds the announced address, if any. */
  public displacedBy(next: Announcement): string | undefined {
    const holder = this.byAddress.get(next.address);
    return holder === undefined || holder === next.id ? undefined : holder;
  }

  public all(): RegisteredTarget[] {
    return [...this.targets.values()];
  }

  /** Whether a target with a later start holds the address, which means that the announcement was delayed. */
  private isAddressTaken(next: Announcement): boolean {
    const holder = this.displacedBy(next);
    const other = holder === undefined ? undefined : this.targets.get(holder);
    if (other === undefined) return false;
    const { announcement } = other;
    return announcement.address === next.address && announcement.born > next.born;
  }

  private drop(id: string): boolean {
    const known = this.targets.get(id);
    if (known === undefined) return false;
    this.targets.delete(id);
    const { address } = known.announcement;
    if (this.byAddress.get(address) === id) this.byAddress.delete(address);
    return true;
  }
}
