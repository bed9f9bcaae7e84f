/** Entries as the hubs know them, for callers who ask where to connect. */

import type { AdvertisedEntry } from '../AddressBook.js';

export interface EntryIdentity {
  readonly vm: string;
  /** Address that callers connect to, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

interface KnownEntry {
  readonly identity: EntryIdentity;
  readonly isReady: boolean;
}

/** An entry that was not seen for this long is not expected back: restarts and partitions are shorter. */
const EXPECTED_MS = 20_000;

/** Below this part of the expected entries, those that are lost from sight are named as well. */
const FEW_SHARE = 0.4;

/** Entries by the hub that they follow; the own hub has the name `''`. */
export class EntryRegistry {
  private readonly byHub = new Map<string, Map<string, KnownEntry>>();

  /** Entries that no hub follows any more, with the time (monotonic ms) since when. */
  private readonly lost = new Map<string, { readonly entry: KnownEntry; readonly at: number }>();

  public set(hub: string, identity: EntryIdentity, isReady: boolean): void {
    const entries = this.byHub.get(hub) ?? new Map<string, KnownEntry>();
    entries.set(identity.vm, { identity, isReady });
    this.byHub.set(hub, entries);
  }

  public remove(hub: string, vm: string, now: number): void {
    const entry = this.byHub.get(hub)?.get(vm);
    if (entry === undefined) return;
    this.byHub.get(hub)?.delete(vm);
    this.lost.set(vm, { entry, at: now });
  }

  /** Forgets the entries of a hub that is silent. */
  public removeHub(hub: string, now: number): void {
    this.ofHub(hub).forEach((entry) => this.lost.set(entry.identity.vm, { entry, at: now }));
    this.byHub.delete(hub);
  }

  /** Entries that follow one hub. */
  public ofHub(hub: string): KnownEntry[] {
    return [...(this.byHub.get(hub)?.values() ?? [])];
  }

  /** Number of entries of all hubs. */
  public get size(): number {
    return this.followed().size;
  }

  /** Number of entries that may be serving: those of all hubs, and those that were lost a short time ago. */
  public expected(now: number): number {
    this.forget(now);
    return this.size + this.lost.size;
  }

  /**
   * Entries that callers may be sent to. A hub that has lost sight of most entries names those as well: to send all
   * callers to the few that are left would overload these.
   */
  public named(now: number): AdvertisedEntry[] {
    return this.knownEntries(now)
      .filter(({ isReady }) => isReady)
      .map(({ identity: { address, dataCentre } }) => ({ address, dataCentre }));
  }

  private knownEntries(now: number): KnownEntry[] {
    const followed = [...this.byHub.values()].flatMap((entries) => [...entries.values()]);
    if (followed.length >= FEW_SHARE * this.expected(now)) return followed;
    return [...followed, ...[...this.lost.values()].map(({ entry }) => entry)];
  }

  /** Drops lost entries that are followed again, or were lost long ago. */
  private forget(now: number): void {
    const followed = this.followed();
    [...this.lost]
      .filter(([vm, { at }]) => followed.has(vm) || now - at > EXPECTED_MS)
      .forEach(([vm]) => this.lost.delete(vm));
  }

  private followed(): Set<string> {
    return new Set([...this.byHub.values()].flatMap((entries) => [...entries.keys()]));
  }
}
