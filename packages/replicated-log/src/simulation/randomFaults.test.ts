import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runRandomFaults } from './runRandomFaults.js';

const SEEDS = 30;

const STEPS = 40;

describe('randomised faults', () => {
  it('keeps every acknowledged command, one leader for each term and linearizable reads', async () => {
    let acknowledged = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const history = await runRandomFaults({ seed, vms: 3 + (seed % 3), steps: STEPS });
      expect({ seed, violations: history.violations }).toEqual({ seed, violations: [] });
      acknowledged += history.acknowledgedCount;
    }
    // Guards against runs in which nothing is acknowledged and so nothing is checked.
    expect(acknowledged).toBeGreaterThan(SEEDS * STEPS);
  });
});
