/** Targets as they announce themselves. */
import type { Announcement } from '../ProtocolAdapter.js';

/** A target without an announcement for this long is dropped; cuts from control last longer than its crashes. */
const EXPIRY_MS = 20_000;

export interface RegisteredTarget {
  readonly announcement: Announcement;
  /** Monotonic ms of the last announcement. */
  readonly heardAt: number;
}

/** What an announcement changed. */
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

  /** Ids that left, so that a late announcement does not bring them back. */
  private readonly left = new Map<string, number>();

  /** Takes an announcement that was heard at a time in monotonic ms. */
  public announce(next: Announcement, heardAt: number): AnnouncementEffect {
    const leftBorn = this.left.get(next.id);
    if (leftBorn !== undefined && (next.born === 0 || next.born <= leftBorn)) return 'outdated';
    const known = this.targets.get(next.id);
    if (known !== undefined && !isNewer(next, known.announcement)) return 'outdated';
    if (this.isDisplaced(next)) return 'outdated';
    this.targets.set(next.id, { announcement: next, heardAt });
    this.byAddress.set(next.address, next.id);
    return known !== undefined && isSame(known.announcement, next) ? 'refreshed' : 'changed';
  }

  /** Forgets a target that has left. Returns whether it was known. */
  public leave(id: string, born: number): boolean {
    this.left.set(id, Math.max(born, this.left.get(id) ?? 0));
    return this.drop(id);
  }

  /** Drops targets that were silent for too long and returns their ids. */
  public expire(now: number): string[] {
    const silent = [...this.targets.values()]
      .filter(({ heardAt }) => heardAt < now - EXPIRY_MS)
      .map(({ announcement }) => announcement.id);
    silent.forEach((id) => this.drop(id));
    return silent;
  }

  public get(id: string): RegisteredTarget | undefined {
    return this.targets.get(id);
  }

  /** The id that held the address before, if another target now announces itself there. */
  public displacedBy(next: Announcement): string | undefined {
    const holder = this.byAddress.get(next.address);
    return holder === undefined || holder === next.id ? undefined : holder;
  }

  public all(): RegisteredTarget[] {
    return [...this.targets.values()];
  }

  /** Whether a later incarnation holds the address: the announcement was delayed on its way. */
  private isDisplaced(next: Announcement): boolean {
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
