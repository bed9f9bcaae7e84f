import { describe, it } from 'node:test';
import { expect } from 'earl';
import { AddressBook, type AdvertisedEntry } from './AddressBook.js';

function makeEntries(...names: string[]): AdvertisedEntry[] {
  return names.map((name) => ({ address: name, dataCentre: name.slice(0, 1) }));
}

function namesFor(book: AddressBook, dataCentre: string, now = 0): string[] {
  return book.addressesFor(dataCentre, (items) => [...items].sort(), now);
}

describe('AddressBook', () => {
  it('returns only entries of the caller’s data centre if there are enough', () => {
    const book = new AddressBook();
    book.add(makeEntries('a1', 'a2', 'a3', 'b1'));
    expect(namesFor(book, 'a')).toEqual(['a1', 'a2', 'a3']);
    expect(namesFor(book, 'b')).toEqual(['a1', 'a2', 'a3', 'b1']);
  });

  it('applies additions and removals', () => {
    const book = new AddressBook();
    book.add(makeEntries('a1', 'a2', 'a3'));
    book.remove(['a2']);
    book.add(makeEntries('a4'));
    expect(namesFor(book, 'a')).toEqual(['a1', 'a3', 'a4']);
  });

  // The hub of an entry that stops may be late or lost, and its list would name the entry until it ends.
  it('no longer lists an entry that has withdrawn, whatever later lists contain', () => {
    const book = new AddressBook();
    book.add(makeEntries('a1', 'a2'));
    book.withdraw('a1');
    expect(namesFor(book, 'a')).toEqual(['a2']);
    book.replace(makeEntries('a1', 'a2'), 0);
    book.add(makeEntries('a1'));
    expect(namesFor(book, 'a')).toEqual(['a2']);
    book.remove(['a2']);
    expect(book.isEmpty).toEqual(true);
  });

  it('keeps entries that are missing from the list of a newly started hub for some seconds', () => {
    const book = new AddressBook();
    book.replace(makeEntries('a1', 'a2', 'a3', 'a4'), 0);
    book.replace(makeEntries('a1'), 10_000);
    expect(namesFor(book, 'a', 11_000)).toEqual(['a1', 'a2', 'a3', 'a4']);
    book.add(makeEntries('a2', 'a3'));
    book.remove(['a4']);
    expect(namesFor(book, 'a', 11_000)).toEqual(['a1', 'a2', 'a3']);
    expect(namesFor(book, 'a', 20_000)).toEqual(['a1', 'a2', 'a3']);
  });

  it('drops entries that no later list contains', () => {
    const book = new AddressBook();
    book.replace(makeEntries('a1', 'a2', 'a3'), 0);
    [10_000, 12_000, 14_000].forEach((now) => book.replace(makeEntries('a1', 'a2', 'a4'), now));
    expect(namesFor(book, 'a', 16_000)).toEqual(['a1', 'a2', 'a4']);
  });
});
