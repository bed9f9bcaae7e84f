import { describe, it } from 'node:test';
import { expect } from 'earl';
import { Random } from '@marigoldbank/base/random';
import { createBehaviourChooser, FaultRun } from './FaultRun.js';
import { FleetFixture } from './FleetFixture.js';

const SEED = 20_261_204;
const REQUESTS = 10_000;

describe('a fleet under randomised faults', () => {
  it('loses none of 10,000 requests, runs none twice and reports none falsely', async () => {
    const random = new Random(SEED);
    const upstreams = Array.from({ length: 5 }, () => ({
      choose: createBehaviourChooser(random.fork()),
    }));
    const options = { controlCount: 3, entryCount: 5, hasRelays: true, entriesWithDisk: 2 };
    const fixture = await FleetFixture.start(options, upstreams);
    try {
      const run = new FaultRun({ fixture, seed: SEED, requests: REQUESTS, callers: 32 });
      const report = await run.run();
      console.log(`seed ${SEED}: ${JSON.stringify(report)}`);
      expect(report.doubled).toEqual([]);
      expect(report.falseNotRun).toEqual([]);
      expect(report.lost).toEqual([]);
      expect(report.wrongAnswer).toEqual([]);
      expect(report.attempts).toBeGreaterThanOrEqual(REQUESTS);
    } finally {
      await fixture.stop();
    }
  });
});
