import { describe, it } from 'node:test';
import { expect } from 'earl';
import { EntryCount } from './EntryCount.js';

describe('EntryCount', () => {
  // An entry that knows only itself would take the whole rate of a target.
  it('assumes many entries until 2 s after the first complete count', () => {
    const count = new EntryCount();
    expect(count.largest).toEqual(1);
    expect(count.cautious(0)).toBeGreaterThan(300);
    count.note(3, 1_000, false);
    expect(count.cautious(9_000)).toBeGreaterThan(300);
    count.note(126, 10_000, true);
    expect(count.cautious(11_999)).toBeGreaterThan(300);
    expect(count.cautious(12_000)).toEqual(126);
  });

  // A hub that has just started counts few entries.
  it('keeps to the largest of the last 20 s, also without further counts', () => {
    const count = new EntryCount();
    count.note(126, 0, true);
    count.note(5, 19_000, true);
    expect(count.cautious(19_000)).toEqual(126);
    expect(count.cautious(90_000)).toEqual(126);
    count.note(5, 20_001, true);
    expect(count.cautious(20_001)).toEqual(5);
  });
});
