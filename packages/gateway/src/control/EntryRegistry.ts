/** Registry of the entries and the hubs they are connected to. Selects the entries that are advertised to callers. */

import type { AdvertisedEntry } from '../AddressBook.js';

export interface EntryIdentity {
  readonly vm: string;
  /** Address that callers connect to, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

/**
 * Time for which the number of entries that an entry reports on connecting counts as expected. After a restart of all hubs
 * the entries reconnect within it.
 */
const REPORTED_COUNT_MS = 5_000;

interface KnownEntry {
  readonly identity: EntryIdentity;
  readonly isReady: boolean;
}

/** Key of this hub in the registry. */
export const OWN_HUB = '';

/** A lost entry counts as expected for this long: restarts and partitions are shorter. */
const EXPECTED_RETURN_MS = 20_000;

/** If less than this share of the expected entries is connected to any hub, lost entries are advertised as well. */
const MIN_CONNECTED_SHARE = 0.4;

/** Entries by the hub they are connected to; the key of this hub is `''`. */
export class EntryRegistry {
  private readonly byHub = new Map<string, Map<string, KnownEntry>>();

  /** Entries that have lost their hub, with the time (monotonic ms) of the loss. */
  private readonly lost = new Map<string, { readonly entry: KnownEntry; readonly at: number }>();

  private reported = { count: 0, at: -Infinity };

  /** Notes the number of entries that an entry knew when it connected. */
  public noteReportedCount(count: number, now: number): void {
    if (count >= this.reportedCount(now)) this.reported = { count, at: now };
  }

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

  /** Marks the entries of a hub that has timed out as lost. */
  public removeHub(hub: string, now: number): void {
    this.entriesOf(hub).forEach((entry) => this.lost.set(entry.identity.vm, { entry, at: now }));
    this.byHub.delete(hub);
  }

  /** Whether an entry was last reported ready, undefined if it is not connected to the hub. */
  public readinessOf(hub: string, vm: string): boolean | undefined {
    return this.byHub.get(hub)?.get(vm)?.isReady;
  }

  /** Entries that are connected to one hub. */
  public entriesOf(hub: string): KnownEntry[] {
    return [...(this.byHub.get(hub)?.values() ?? [])];
  }

  /** Number of entries that are connected to one hub. */
  public countOf(hub: string): number {
    return this.byHub.get(hub)?.size ?? 0;
  }

  /** Number of entries that are connected to any hub. */
  public get size(): number {
    return this.connectedVms().size;
  }

  /**
   * Number of entries that may be serving: those connected to a hub, and those lost a short time ago. If this hub has
   * just started, at least as many as its entries know.
   */
  public expectedSize(now: number): number {
    this.pruneLost(now);
    return Math.max(this.size + this.lost.size, this.reportedCount(now));
  }

  /**
   * Share of the entries of a data centre that are connected to a hub, among those that may be serving. 1 if none is known.
   */
  public connectedShare(dataCentre: string, now: number): number {
    this.pruneLost(now);
    const isThere = ({ identity }: KnownEntry): boolean => identity.dataCentre === dataCentre;
    const connected = [...this.byHub.values()].reduce(
      (sum, entries) => sum + [...entries.values()].filter(isThere).length,
      0,
    );
    const lost = [...this.lost.values()].filter(({ entry }) => isThere(entry)).length;
    return connected + lost === 0 ? 1 : connected / (connected + lost);
  }

  /**
   * Entries that are advertised to callers. If most entries are lost, they are included: sending all callers to the
   * few remaining entries would overload these.
   */
  public advertised(now: number): AdvertisedEntry[] {
    return this.advertisedCandidates(now)
      .filter(({ isReady }) => isReady)
      .map(({ identity: { address, dataCentre } }) => ({ address, dataCentre }));
  }

  private advertisedCandidates(now: number): KnownEntry[] {
    const connected = [...this.byHub.values()].flatMap((entries) => [...entries.values()]);
    if (connected.length >= MIN_CONNECTED_SHARE * this.expectedSize(now)) return connected;
    return [...connected, ...[...this.lost.values()].map(({ entry }) => entry)];
  }

  private reportedCount(now: number): number {
    return now - this.reported.at < REPORTED_COUNT_MS ? this.reported.count : 0;
  }

  /** Removes lost entries that have reconnected to a hub or were lost long ago. */
  private pruneLost(now: number): void {
    const connected = this.connectedVms();
    [...this.lost]
      .filter(([vm, { at }]) => connected.has(vm) || now - at > EXPECTED_RETURN_MS)
      .forEach(([vm]) => this.lost.delete(vm));
  }

  private connectedVms(): Set<string> {
    return new Set([...this.byHub.values()].flatMap((entries) => [...entries.keys()]));
  }
}
