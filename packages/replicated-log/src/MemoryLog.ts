/** The log in memory: the retained entries, the latest snapshot and the memberships. */
import { entriesMatchingSnapshot } from './entriesMatchingSnapshot.js';
import type { Snapshot } from './LogStorage.js';
import { decodeMembership, EMPTY_MEMBERSHIP } from './membership.js';
import { entryBytes } from './transferTime.js';
import type { LogEntry, Membership } from './types.js';

interface MembershipAt {
  readonly index: number;
  readonly membership: Membership;
}

/** Entries by index. A membership is in force from the moment its entry is appended. */
export class MemoryLog {
  private latestSnapshot: Snapshot | undefined;

  /** Index and term of the entry just before the first retained one; term 0 if it is unknown. */
  private base = { index: 0, term: 0 };

  private entries: LogEntry[] = [];

  private memberships: MembershipAt[] = [{ index: 0, membership: EMPTY_MEMBERSHIP }];

  /** Sets the membership that is in force before the first entry of the log. */
  public setInitialMembership(membership: Membership): void {
    if (this.memberships[0]?.index === 0) this.memberships[0] = { index: 0, membership };
  }

  /** Loads the log from storage. Entries that do not match the snapshot are dropped. */
  public load(snapshot: Snapshot | undefined, entries: readonly LogEntry[]): void {
    if (snapshot !== undefined) {
      this.latestSnapshot = snapshot;
      this.base = { index: snapshot.index, term: snapshot.term };
      this.memberships = [{ index: snapshot.index, membership: snapshot.membership }];
    }
    const usable = entriesMatchingSnapshot(snapshot, entries);
    const first = usable[0];
    if (first !== undefined && first.index <= this.base.index) {
      this.base = { index: first.index - 1, term: 0 };
    }
    usable.forEach((entry) => this.append(entry));
  }

  public get snapshot(): Snapshot | undefined {
    return this.latestSnapshot;
  }

  /** Index of the first entry that is still in the log. */
  public get firstIndex(): number {
    return this.base.index + 1;
  }

  public get lastIndex(): number {
    return this.base.index + this.entries.length;
  }

  /** Bytes of data in the retained entries. */
  public get entryBytes(): number {
    return entryBytes(this.entries);
  }

  public get lastTerm(): number {
    return this.termAt(this.lastIndex) ?? 0;
  }

  /** The membership in force: the newest one in the log, committed or not. */
  public get membership(): Membership {
    return this.memberships.at(-1)!.membership;
  }

  /** Index of the entry that set the membership in force; 0 if no entry or snapshot did. */
  public get membershipIndex(): number {
    return this.memberships.at(-1)!.index;
  }

  /** The membership in force after the entry at `index`. */
  public membershipAt(index: number): Membership {
    return (this.memberships.findLast((item) => item.index <= index) ?? this.memberships[0]!)
      .membership;
  }

  /** Term of the entry at `index`, or undefined if it was dropped or does not exist. */
  public termAt(index: number): number | undefined {
    if (index === 0) return 0;
    if (index === this.latestSnapshot?.index) return this.latestSnapshot.term;
    if (index === this.base.index) return this.base.term === 0 ? undefined : this.base.term;
    return this.entryAt(index)?.term;
  }

  /** Whether the entries from `index` on and the term of the one before are known. */
  public canContinueFrom(index: number): boolean {
    return index >= this.firstIndex && this.termAt(index - 1) !== undefined;
  }

  public entryAt(index: number): LogEntry | undefined {
    return this.entries[index - this.firstIndex];
  }

  /** Entries from `from` to `to`, both included. */
  public slice(from: number, to: number = this.lastIndex): LogEntry[] {
    return this.entries.slice(
      Math.max(0, from - this.firstIndex),
      Math.max(0, to - this.base.index),
    );
  }

  /** Entries from `from` to `to`, as many as fit into `maxBytes` of data, but at least one if there is one. */
  public sliceLimited(from: number, to: number, maxBytes: number): LogEntry[] {
    let bytes = 0;
    const candidates = this.slice(from, to);
    const end = candidates.findIndex((entry, i) => {
      bytes += entry.data.length;
      return i > 0 && bytes > maxBytes;
    });
    return end === -1 ? candidates : candidates.slice(0, end);
  }

  /** Index before the first entry of the term of the entry at `index`, but not below `floor`. */
  public indexBeforeTermOf(index: number, floor: number): number {
    const term = this.termAt(index);
    let before = index;
    while (before > floor && this.termAt(before) === term) before -= 1;
    return before;
  }

  /** Index after which the entries up to `to` have at most `maxBytes` of data together. */
  public indexBefore(to: number, maxBytes: number): number {
    let index = Math.min(to, this.lastIndex);
    let bytes = this.entryAt(index)?.data.length ?? 0;
    while (index >= this.firstIndex && bytes <= maxBytes) {
      index -= 1;
      bytes += this.entryAt(index)?.data.length ?? 0;
    }
    return index;
  }

  public append(entry: LogEntry): void {
    if (entry.index !== this.lastIndex + 1) {
      throw new RangeError(`expected entry ${this.lastIndex + 1}, got ${entry.index}`);
    }
    this.push(entry);
  }

  /** Removes the entries from `index` on, and the memberships they set. */
  public truncateFrom(index: number): void {
    this.entries.length = Math.max(0, index - this.firstIndex);
    this.memberships = this.memberships.filter((item, i) => i === 0 || item.index < index);
  }

  /** Records a snapshot taken by this member and drops entries up to `dropTo`. */
  public compact(snapshot: Snapshot, dropTo: number): void {
    const membership = this.membershipAt(dropTo);
    const later = this.memberships.filter((item) => item.index > dropTo);
    this.latestSnapshot = snapshot;
    if (dropTo <= this.base.index) return;
    const term = this.termAt(dropTo) ?? 0;
    this.entries = this.slice(dropTo + 1);
    this.base = { index: dropTo, term };
    this.memberships = [{ index: dropTo, membership }, ...later];
  }

  /** Replaces the log up to a received snapshot; later entries are kept only if the log matches the snapshot. */
  public installSnapshot(snapshot: Snapshot): void {
    const isContinued = this.entryAt(snapshot.index)?.term === snapshot.term;
    const rest = isContinued ? this.slice(snapshot.index + 1) : [];
    this.latestSnapshot = snapshot;
    this.base = { index: snapshot.index, term: snapshot.term };
    this.entries = [];
    this.memberships = [{ index: snapshot.index, membership: snapshot.membership }];
    rest.forEach((entry) => this.push(entry));
  }

  private push(entry: LogEntry): void {
    if (entry.kind === 'membership') {
      const membership = decodeMembership(entry.data);
      if (entry.index > this.memberships[0]!.index) {
        this.memberships.push({ index: entry.index, membership });
      }
    }
    this.entries.push(entry);
  }
}
