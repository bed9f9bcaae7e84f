import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { consensusAddress } from '../settings.js';
import { makeSettings } from '../testing/fake-fleet-parts.js';
import { ELECTION_WAIT_MS, waitForLog } from './waitForLog.js';

const LONGEST_MS = 2_000;

const settings = { ...makeSettings('10.0.0.1', 'dc-1'), seeds: ['10.0.0.2:8080'] };

/**
 * Time after which the hub goes on if its log process accepts connections of other VMs from `acceptsAt` on, and of operators
 * from `servesAt` on.
 */
async function measureWait(acceptsAt: number, servesAt: number): Promise<number> {
  const clock = new VirtualClock();
  const ports = new Map([
    [consensusAddress(settings, settings.ip), acceptsAt],
    [`${settings.ip}:8080`, servesAt],
  ]);
  let endedAt: number | undefined;
  waitForLog(settings, clock, (address) => Promise.resolve(clock.now() >= ports.get(address)!))
    .then(() => {
      endedAt = clock.now();
    })
    .catch(() => undefined);
  await clock.advanceAsync(2 * LONGEST_MS);
  return endedAt ?? Infinity;
}

// The start of a hub beside that of its log process made votes late, so that there was no leader for seconds.
describe('waitForLog', () => {
  it('gives a log process that starts time for an election', async () => {
    const waitedMs = await measureWait(500, 1_300);
    expect(waitedMs).toBeGreaterThanOrEqual(1_300);
    expect(waitedMs).toBeLessThan(1_300 + 100);
  });

  // The processes of a VM do not start at the same moment: a hub that started a second later took its log process, whose
  // election was under way, for one that had run before.
  it('gives a log process that has started before it time for an election', async () => {
    const waitedMs = await measureWait(0, 700);
    expect(waitedMs).toBeGreaterThanOrEqual(700);
    expect(waitedMs).toBeLessThan(700 + 100);
  });

  it('does not wait if the log process runs already', async () => {
    expect(await measureWait(0, 0)).toEqual(0);
  });

  it('ends if the log process does not start', async () => {
    expect(await measureWait(Infinity, Infinity)).toBeLessThan(LONGEST_MS);
  });

  it('ends if the log process does not serve operators', async () => {
    expect(await measureWait(0, Infinity)).toBeLessThan(ELECTION_WAIT_MS + 100);
  });
});
