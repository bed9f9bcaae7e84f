/** With a safety mechanism disabled, the randomised runs must detect the violation that it prevents. */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { runRandomFaults } from './runRandomFaults.js';
import type { SafetyMechanisms } from './SimulatedVm.js';
import { UnsyncedStorage } from './UnsyncedStorage.js';
import { WeakenedRules, type DisabledCheck } from './WeakenedRules.js';

const MAX_SEEDS = 150;

const STEPS = 40;

/** Whether some run has the violation. */
async function isFound(violation: RegExp, mechanisms: Partial<SafetyMechanisms>): Promise<boolean> {
  for (let seed = 1; seed <= MAX_SEEDS; seed += 1) {
    const { violations } = await runRandomFaults({ seed, vms: 3, steps: STEPS, mechanisms });
    if (violations.some((text) => violation.test(text))) return true;
  }
  return false;
}

function isFoundWithout(disabled: DisabledCheck, violation: RegExp): Promise<boolean> {
  return isFound(violation, { createRules: () => new WeakenedRules(disabled) });
}

describe('randomised faults with a safety mechanism disabled', () => {
  it('detects lost or changed commands without a sync before the acknowledgement', async () => {
    const found = await isFound(/^lost: |two commands committed|voted twice|two leaders/, {
      createStorage: (disk, clock, random) => new UnsyncedStorage(disk, clock, random),
    });
    expect(found).toEqual(true);
  });

  it('detects stale reads without the confirmation of reads', async () => {
    expect(await isFoundWithout('readConfirmation', /^a read saw/)).toEqual(true);
  });

  it('detects an incomplete voter without the check that a learner has caught up', async () => {
    const violation = /promoted without all committed entries/;
    expect(await isFoundWithout('caughtUpCheck', violation)).toEqual(true);
  });

  it('detects a second vote of a wiped voter without the check of the incarnation', async () => {
    expect(
      await isFoundWithout(
        'incarnationCheck',
        /voted twice|two commands committed|two leaders|^lost: /,
      ),
    ).toEqual(true);
  });
});
