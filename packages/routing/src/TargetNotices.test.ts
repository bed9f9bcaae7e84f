import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MAX_PAUSE_MS, parseRetryAfter, TargetNotices } from './TargetNotices.js';

const TARGET = { id: 't1', born: 100 };

describe('TargetNotices', () => {
  it('keeps a target that leaves unused, until a new incarnation has its id', () => {
    const notices = new TargetNotices();
    expect(notices.noteLeaving(TARGET, 1_000)).toEqual(true);
    expect(notices.noteLeaving(TARGET, 1_100)).toEqual(false);
    expect(notices.isUsable(TARGET, 100_000)).toEqual(false);
    expect(notices.isUsable({ id: 't1', born: 90 }, 100_000)).toEqual(false);
    expect(notices.isUsable({ id: 't1', born: 101 }, 1_200)).toEqual(true);
    expect(notices.isUsable({ id: 't2', born: 100 }, 1_200)).toEqual(true);
  });

  it('pauses a target for the time that it names, and for the longest of several', () => {
    const notices = new TargetNotices();
    expect(notices.notePause(TARGET, 2_000, 0)).toEqual(true);
    expect(notices.notePause(TARGET, 500, 100)).toEqual(false);
    expect(notices.waitMs(TARGET, 1_000)).toEqual(1_000);
    expect(notices.isUsable(TARGET, 1_999)).toEqual(false);
    expect(notices.isUsable(TARGET, 2_000)).toEqual(true);
    expect(notices.isUsable({ id: 't1', born: 200 }, 1_000)).toEqual(true);
  });

  it('does not let a pause end a notice that the target leaves', () => {
    const notices = new TargetNotices();
    notices.noteLeaving(TARGET, 0);
    notices.notePause(TARGET, 10, 0);
    expect(notices.waitMs(TARGET, 1_000)).toEqual(Infinity);
  });
});

describe('parseRetryAfter', () => {
  const now = Date.parse('Sat, 05 Dec 2026 10:00:00 GMT');

  it('reads seconds, decimal seconds and dates', () => {
    expect(parseRetryAfter('2', now)).toEqual(2_000);
    expect(parseRetryAfter(' 0.25 ', now)).toEqual(250);
    expect(parseRetryAfter('0', now)).toEqual(0);
    expect(parseRetryAfter('Sat, 05 Dec 2026 10:00:03 GMT', now)).toEqual(3_000);
    expect(parseRetryAfter('Sat, 05 Dec 2026 09:00:00 GMT', now)).toEqual(0);
  });

  it('bounds huge values', () => {
    expect(parseRetryAfter('999999999999999', now)).toEqual(MAX_PAUSE_MS);
    expect(parseRetryAfter('Sat, 05 Dec 2126 10:00:00 GMT', now)).toEqual(MAX_PAUSE_MS);
  });

  ['', '-1', 'soon', '1e9', 'NaN', '1.', '0x10', 'Sat, 99 Foo 2026 10:00:00 GMT'].forEach(
    (value) => {
      it(`does not read "${value}"`, () => {
        expect(parseRetryAfter(value, now)).toEqual(undefined);
      });
    },
  );
});
