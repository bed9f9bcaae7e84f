/** Entries that are advertised to callers. */
import { Random } from '@marigoldbank/base/random';
import { chooseAddresses, type AdvertisedEntry } from '../AddressBook.js';
import type { EntryRegistry } from './EntryRegistry.js';

const MAX_SEED = 0x7fffffff;

function hasSameKeys(a: ReadonlyMap<string, unknown>, b: ReadonlyMap<string, unknown>): boolean {
  return a.size === b.size && [...a.keys()].every((key) => b.has(key));
}

export class AdvertisedEntries {
  private readonly random = new Random(Math.floor(Math.random() * MAX_SEED));

  private byAddress: ReadonlyMap<string, AdvertisedEntry> = new Map();

  public constructor(private readonly registry: EntryRegistry) {}

  /** The entries by address, as of the last update. */
  public get current(): ReadonlyMap<string, AdvertisedEntry> {
    return this.byAddress;
  }

  /** Reads the entries again. Returns whether others are advertised than before. */
  public update(now: number): boolean {
    const entries = this.registry.advertised(now);
    const advertised = new Map(entries.map((entry) => [entry.address, entry]));
    if (hasSameKeys(advertised, this.byAddress)) return false;
    this.byAddress = advertised;
    return true;
  }

  /** Addresses for a caller in a data centre. */
  public addressesFor(dataCentre: string, now: number): string[] {
    return chooseAddresses(this.registry.advertised(now), dataCentre, (items) =>
      this.random.shuffle(items),
    );
  }
}
