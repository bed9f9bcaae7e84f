/** Entries that callers may be sent to, as one process knows them. */

export interface AdvertisedEntry {
  /** Address that callers connect to, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Most addresses in one answer. */
const MAX_ADDRESSES = 64;

/** With fewer entries in the caller's data centre, those of the others are named as well. */
const MIN_NEAR_ENTRIES = 3;

/** A hub that has just started does not know all entries yet; those that it leaves out are kept for this long. */
const KEEP_MS = 5_000;

/** Addresses for a caller: the entries of its data centre, or all if those are few. */
export function chooseAddresses(
  entries: readonly AdvertisedEntry[],
  dataCentre: string,
  shuffle: (items: string[]) => string[],
): string[] {
  const near = entries.filter((entry) => entry.dataCentre === dataCentre);
  const chosen = near.length >= MIN_NEAR_ENTRIES ? near : entries;
  const addresses = [...new Set(chosen.map(({ address }) => address))];
  return shuffle(addresses).slice(0, MAX_ADDRESSES);
}

export class AddressBook {
  private readonly entries = new Map<string, AdvertisedEntry>();

  /** Entries that a new list left out, and when. */
  private readonly leftOutAt = new Map<string, number>();

  /** Adds entries to the list. */
  public add(entries: readonly AdvertisedEntry[]): void {
    entries.forEach((entry) => {
      this.entries.set(entry.address, entry);
      this.leftOutAt.delete(entry.address);
    });
  }

  /** Removes entries that are known not to take callers. */
  public remove(addresses: readonly string[]): void {
    addresses.forEach((address) => {
      this.entries.delete(address);
      this.leftOutAt.delete(address);
    });
  }

  /** Begins a new list, of another hub. */
  public replace(entries: readonly AdvertisedEntry[], now: number): void {
    [...this.entries.keys()]
      .filter((address) => !this.leftOutAt.has(address))
      .forEach((address) => this.leftOutAt.set(address, now));
    this.add(entries);
  }

  public addressesFor(
    dataCentre: string,
    shuffle: (items: string[]) => string[],
    now: number,
  ): string[] {
    const isGone = ([, at]: readonly [string, number]): boolean => now - at > KEEP_MS;
    this.remove([...this.leftOutAt].filter(isGone).map(([address]) => address));
    return chooseAddresses([...this.entries.values()], dataCentre, shuffle);
  }
}
