/**
 * Guards against uploads that fill the memory of an entry, or that its link cannot pass on in time: 60 kB on average, up to
 * 360 kB, 2.5 Mbit/s, deadline 4.7 s.
 */
import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { Random } from '@marigoldbank/base/random';
import { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { makeRoute } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import { UploadAdmission } from './UploadAdmission.js';

const MEGABYTE = 1_000_000;

function makeAdmission({
  memory = new MemoryBudget(MEGABYTE),
  linkMbps = 2.5,
} = {}): UploadAdmission {
  return new UploadAdmission({
    clock: new VirtualClock(),
    random: new Random(1),
    memory,
    linkMbps,
  });
}

function makeUpload(bytes: number, overrides = {}) {
  const route = makeRoute({ hasLargeBody: true });
  return { route, bytes, remainingMs: 4_700, expectedMs: 260, ...overrides };
}

describe('UploadAdmission', () => {
  it('accepts a body that the link carries in time', () => {
    expect(makeAdmission().refusalOf(makeUpload(360_000))).toEqual(undefined);
  });

  it('refuses a body that would come in after its deadline, and names the time when the link is free', () => {
    const admission = makeAdmission();
    const upload = makeUpload(360_000);
    const req = { on: () => undefined };
    Array.from({ length: 4 }).forEach(() => admission.begin(req as never, upload));
    const refusal = admission.refusalOf(upload);
    const retryAfterMs =
      refusal !== undefined && 'retryAfterMs' in refusal ? refusal.retryAfterMs : 0;
    expect([refusal?.kind, refusal?.verdict]).toEqual(['overloaded', 'notRun']);
    expect(retryAfterMs).toBeGreaterThanOrEqual(4 * 1_152);
  });

  it('keeps a quarter of the memory for answers and other requests', () => {
    const memory = new MemoryBudget(MEGABYTE);
    memory.lease().reserve(400_000);
    const admission = makeAdmission({ memory });
    expect(admission.refusalOf(makeUpload(351_000))?.kind).toEqual('overloaded');
    expect(admission.refusalOf(makeUpload(349_000))).toEqual(undefined);
  });

  it('lets requests of other routes pass, whatever their length', () => {
    const upload = makeUpload(10 * MEGABYTE, { route: makeRoute() });
    expect(makeAdmission().refusalOf(upload)).toEqual(undefined);
  });
});
