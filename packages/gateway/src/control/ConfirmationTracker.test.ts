import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ConfirmationTracker } from './ConfirmationTracker.js';

describe('ConfirmationTracker', () => {
  it('counts a confirmation only when its index has been applied', () => {
    const confirmation = new ConfirmationTracker();
    confirmation.record(7, 1_000, 5);
    expect(confirmation.ageMs(1_100)).toEqual(Infinity);
    confirmation.advance(7);
    expect(confirmation.ageMs(1_100)).toEqual(100);
  });

  it('distinguishes a hub that lags behind its leader from one without a leader', () => {
    const confirmation = new ConfirmationTracker();
    expect(confirmation.arrivalAgeMs(0)).toEqual(Infinity);
    confirmation.record(7, 1_000, 5);
    expect([confirmation.ageMs(1_500), confirmation.arrivalAgeMs(1_500)]).toEqual([Infinity, 500]);
  });
});
