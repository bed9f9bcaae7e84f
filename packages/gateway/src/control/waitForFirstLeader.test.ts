import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import type { LogStatus } from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { waitForFirstLeader } from './waitForFirstLeader.js';

const LEADER = { vm: '10.0.0.2', incarnation: 'b', address: '10.0.0.2:1' };

/** Time for which a log process waits that knows a leader from `leaderAt` on. */
async function measureWait(leaderAt: number): Promise<number> {
  const clock = new VirtualClock();
  const status = (): LogStatus =>
    ({ leader: clock.now() >= leaderAt ? LEADER : undefined }) as unknown as LogStatus;
  let endedAt: number | undefined;
  waitForFirstLeader({ status }, clock)
    .then(() => {
      endedAt = clock.now();
    })
    .catch(() => undefined);
  await clock.advanceAsync(5_000);
  return endedAt ?? Infinity;
}

// Announcements of all targets at the start of the log processes delayed the votes.
describe('waitForFirstLeader', () => {
  it('ends with the first leader', async () => {
    const waitedMs = await measureWait(300);
    expect(waitedMs).toBeGreaterThanOrEqual(300);
    expect(waitedMs).toBeLessThan(350);
  });

  it('ends without a leader, since hubs need announcements also then', async () => {
    expect(await measureWait(Infinity)).toBeLessThan(1_500);
  });
});
