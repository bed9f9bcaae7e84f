/** Entries that are advertised to callers, as known to this process. */

export interface AdvertisedEntry {
  /** Address that callers connect to, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Maximum number of addresses in one lookup response. */
const MAX_ADDRESSES = 64;

/** With fewer entries than this in the caller's data centre, entries of all data centres are returned. */
const MIN_LOCAL_ENTRIES = 3;

/** A hub that has just started does not know all entries yet; entries missing from its list are kept for this long. */
const RETENTION_MS = 5_000;

/** Selects addresses for a caller: the entries of its data centre, or all entries if there are too few. */
export function chooseAddresses(
  entries: readonly AdvertisedEntry[],
  dataCentre: string,
  shuffle: (items: string[]) => string[],
): string[] {
  const local = entries.filter((entry) => entry.dataCentre === dataCentre);
  const chosen = local.length >= MIN_LOCAL_ENTRIES ? local : entries;
  const addresses = [...new Set(chosen.map(({ address }) => address))];
  return shuffle(addresses).slice(0, MAX_ADDRESSES);
}

export class AddressBook {
  private readonly entries = new Map<string, AdvertisedEntry>();

  /** Entries missing from the latest list, with the time (monotonic ms) at which they went missing. */
  private readonly missingSince = new Map<string, number>();

  private withdrawn: string | undefined;

  public get isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /**
   * Removes an entry for good. An entry that stops withdraws itself, since its hub may be late or lost and would leave it
   * on the list.
   */
  public withdraw(address: string): void {
    this.withdrawn = address;
    this.remove([address]);
  }

  /** Adds entries to the list. */
  public add(entries: readonly AdvertisedEntry[]): void {
    entries.forEach((entry) => {
      if (entry.address === this.withdrawn) return;
      this.entries.set(entry.address, entry);
      this.missingSince.delete(entry.address);
    });
  }

  /** Removes entries that are known not to accept callers. */
  public remove(addresses: readonly string[]): void {
    addresses.forEach((address) => {
      this.entries.delete(address);
      this.missingSince.delete(address);
    });
  }

  /** Starts over with the list of another hub. Entries that it lacks are kept for `RETENTION_MS`. */
  public replace(entries: readonly AdvertisedEntry[], now: number): void {
    [...this.entries.keys()]
      .filter((address) => !this.missingSince.has(address))
      .forEach((address) => this.missingSince.set(address, now));
    this.add(entries);
  }

  public addressesFor(
    dataCentre: string,
    shuffle: (items: string[]) => string[],
    now: number,
  ): string[] {
    const hasExpired = ([, at]: readonly [string, number]): boolean => now - at > RETENTION_MS;
    this.remove([...this.missingSince].filter(hasExpired).map(([address]) => address));
    return chooseAddresses([...this.entries.values()], dataCentre, shuffle);
  }
}
