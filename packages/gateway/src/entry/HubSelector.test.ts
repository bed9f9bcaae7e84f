import { describe, it } from 'node:test';
import { expect } from 'earl';
import { HubChoice } from './HubSelector.js';

const SEEDS = ['s1:1', 's2:1'];

function makeChoice(): HubChoice {
  const choice = new HubChoice('dc-1', SEEDS, 0, 0);
  choice.learn(
    [
      { address: 'near:1', dataCentre: 'dc-1' },
      { address: 'far:1', dataCentre: 'dc-2' },
    ],
    SEEDS,
  );
  return choice;
}

describe('HubChoice', () => {
  it('begins with the seeds', () => {
    const choice = new HubChoice('dc-1', SEEDS, 0, 0.9);
    expect(choice.next(0, 0)).toEqual('s2:1');
    expect(choice.next(1_000, 0)).toEqual('s1:1');
    expect(choice.next(1_000, 0.9)).toEqual('s2:1');
  });

  it('waits for its first choice for a while, so that the first control VM that is up does not get all entries', () => {
    const points = Array.from({ length: 40 }, (_, i) => i / 40);
    const chosen = points.map((point) => {
      const choice = new HubChoice('dc-1', SEEDS, 0, point);
      // Only the first seed is up; the other one refuses connections.
      choice.noteFailure('s2:1', 10);
      return choice.next(300, point);
    });
    expect(chosen.filter((address) => address === 's1:1').length).toEqual(20);
  });

  it('goes to another seed when the first choice stays down', () => {
    const choice = new HubChoice('dc-1', SEEDS, 0, 0.9);
    choice.noteFailure('s2:1', 900);
    expect(choice.next(1_000, 0.9)).toEqual('s1:1');
  });

  it('prefers the own data centre, and leaves it for a while after a failure', () => {
    const choice = makeChoice();
    expect(choice.next(0, 0.5)).toEqual('near:1');
    choice.noteFailure('near:1', 0);
    expect(choice.next(1_000, 0)).toEqual('far:1');
    expect(choice.hasNearer('far:1', 1_000)).toEqual(false);
    expect(choice.hasNearer('far:1', 5_000)).toEqual(true);
  });

  it('tries the hub whose failure is the oldest when all have failed', () => {
    const choice = makeChoice();
    ['far:1', 's2:1', 'near:1', 's1:1'].forEach((address, at) => choice.noteFailure(address, at));
    expect(choice.next(10, 0.9)).toEqual('far:1');
    choice.noteFailure('far:1', 11);
    expect(choice.next(12, 0.9)).toEqual('s2:1');
  });
});
