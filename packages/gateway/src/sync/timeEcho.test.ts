import { describe, it } from 'node:test';
import { expect } from 'earl';
import { echoOf, trueSince } from './timeEcho.js';

describe('TimeEcho', () => {
  const handled = { sentAtMs: 5_000, handledAt: 90_000 };

  it('dates a statement by the receiver, not by when its message arrives', () => {
    const echo = echoOf(handled, 90_300);
    expect([5_310, 8_400].map((now) => trueSince(echo, now))).toEqual([5_300, 5_300]);
  });

  it('dates a statement that was true before the echoed message was handled', () => {
    expect(trueSince(echoOf(handled, 89_900), 5_200)).toEqual(4_900);
  });

  it('does not date a message with the time of no message or of a previous process', () => {
    expect(trueSince(echoOf(undefined, 90_000), 5_000)).toEqual(undefined);
    expect(trueSince(echoOf(handled, 90_000), 700)).toEqual(undefined);
  });

  it('dates a message without an echo by its arrival', () => {
    expect(trueSince(undefined, 700)).toEqual(700);
  });
});
