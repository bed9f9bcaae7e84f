import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { PoisonTable, type RequestLoss } from './PoisonTable.js';

const FINGERPRINT = 'poison';
const RUN_MS = 100;
const MINUTE_MS = 60_000;

/** A loss at the target `t<number>`, which had the request for 100 ms. */
function makeLoss(
  target: number,
  lostAt: number,
  overrides: Partial<RequestLoss> = {},
): RequestLoss {
  const sentAt = lostAt - RUN_MS;
  return { target: `t${target}`, born: 1, sentAt, lostAt, isAccepting: false, ...overrides };
}

function add(table: PoisonTable, fingerprint: string, ...losses: RequestLoss[]): void {
  losses.forEach((loss) =>
    table.merge({ fingerprint, losses: [loss], succeededAt: undefined }, loss.lostAt),
  );
}

/** A table in which the request has ended this many targets, one each second. */
function makeTable(ends: number): PoisonTable {
  const table = new PoisonTable();
  add(table, FINGERPRINT, ...Array.from({ length: ends }, (_, i) => makeLoss(i, 1_000 * (i + 1))));
  return table;
}

describe('PoisonTable', () => {
  // A request that ends the targets that run it was sent on as often as it was repeated.
  it('refuses a request after the third target that ended under it, and not before', () => {
    expect(makeTable(2).quarantineMs(FINGERPRINT, 2_000)).toEqual(0);
    expect(makeTable(3).quarantineMs(FINGERPRINT, 3_000)).toBeGreaterThan(0);
  });

  it('suspects a request after the second target, which is not sent to a third one without being repeated', () => {
    expect([1, 2].map((ends) => makeTable(ends).isSuspected(FINGERPRINT))).toEqual([false, true]);
  });

  // Requests in flight at targets that end together, such as those of a rack, are not the cause.
  it('counts targets that ended while they had the request at the same time as one', () => {
    const table = new PoisonTable();
    add(table, FINGERPRINT, ...[1, 2, 3, 4, 5].map((target) => makeLoss(target, 1_000 + target)));
    expect(table.quarantineMs(FINGERPRINT, 2_000)).toEqual(0);
    expect(table.isSuspected(FINGERPRINT)).toEqual(false);
  });

  it('counts each incarnation of a target once', () => {
    const table = new PoisonTable();
    add(table, FINGERPRINT, makeLoss(1, 1_000), makeLoss(1, 2_000), makeLoss(1, 3_000));
    expect(table.quarantineMs(FINGERPRINT, 3_000)).toEqual(0);
    add(table, FINGERPRINT, makeLoss(1, 4_000, { born: 2 }), makeLoss(1, 5_000, { born: 3 }));
    expect(table.quarantineMs(FINGERPRINT, 5_000)).toBeGreaterThan(0);
  });

  it('clears a request that has succeeded at a target, also of losses that are reported later', () => {
    const table = makeTable(3);
    expect(table.noteSuccess(FINGERPRINT, 4_000)).toEqual(true);
    expect(table.quarantineMs(FINGERPRINT, 4_000)).toEqual(0);
    add(table, FINGERPRINT, makeLoss(7, 1_500), makeLoss(8, 2_500), makeLoss(9, 3_500));
    expect(table.quarantineMs(FINGERPRINT, 4_000)).toEqual(0);
  });

  it('does not note successes of requests that were not lost', () => {
    const table = new PoisonTable();
    expect(table.noteSuccess(FINGERPRINT, 1_000)).toEqual(false);
    expect(table.isEmpty).toEqual(true);
  });

  it('needs six losses after which the targets accepted connections', () => {
    const table = new PoisonTable();
    const losses = Array.from({ length: 6 }, (_, i) =>
      makeLoss(i, 1_000 * (i + 1), { isAccepting: true }),
    );
    add(table, FINGERPRINT, ...losses.slice(0, 5));
    expect(table.quarantineMs(FINGERPRINT, 5_000)).toEqual(0);
    add(table, FINGERPRINT, ...losses.slice(5));
    expect(table.quarantineMs(FINGERPRINT, 6_000)).toBeGreaterThan(0);
  });

  it('learns later that a target accepts connections', () => {
    const table = makeTable(3);
    add(table, FINGERPRINT, makeLoss(2, 3_000, { isAccepting: true }));
    expect(table.quarantineMs(FINGERPRINT, 3_000)).toEqual(0);
  });

  it('ends a quarantine after five minutes, and starts the next one after a single further loss', () => {
    const table = makeTable(3);
    const later = 3_000 + 5 * MINUTE_MS;
    expect(table.quarantineMs(FINGERPRINT, later - 1)).toEqual(1);
    expect(table.quarantineMs(FINGERPRINT, later)).toEqual(0);
    add(table, FINGERPRINT, makeLoss(9, later + MINUTE_MS));
    expect(table.quarantineMs(FINGERPRINT, later + MINUTE_MS)).toEqual(5 * MINUTE_MS);
  });

  it('forgets a request that was lost twice after five minutes', () => {
    const table = makeTable(2);
    add(table, 'other', makeLoss(1, 2_001 + 5 * MINUTE_MS));
    expect(table.isSuspected(FINGERPRINT)).toEqual(false);
  });

  // Memory must not grow with requests that are lost once, nor may they push out those that end targets.
  it('keeps a quarantine during a flood of other requests, and at most 1000 requests', () => {
    const table = makeTable(3);
    Array.from({ length: 5_000 }, (_, i) => add(table, `flood-${i}`, makeLoss(1, 4_000 + i)));
    expect(table.quarantineMs(FINGERPRINT, 9_000)).toBeGreaterThan(0);
    expect(table.statements().length).toEqual(1_000);
  });

  it('comes to the same in any order of the reports, and if they arrive more than once', () => {
    const reports = [
      ...[1, 2, 3, 4].map((i) => ({ losses: [makeLoss(i, 1_000 * i)], succeededAt: undefined })),
      { losses: [], succeededAt: 2_500 },
      { losses: [makeLoss(4, 4_000, { isAccepting: true })], succeededAt: undefined },
    ].map((report) => ({ fingerprint: FINGERPRINT, ...report }));
    const summaryOf = (table: PoisonTable): unknown => {
      const { losses } = table.statementOf(FINGERPRINT)!;
      return losses.map(({ target, isAccepting }) => [target, isAccepting]);
    };
    const order = fc.shuffledSubarray([...reports, ...reports], {
      minLength: 2 * reports.length,
    });
    fc.assert(
      fc.property(order, (shuffled) => {
        const table = new PoisonTable();
        shuffled.forEach((report) => table.merge(report, 5_000));
        expect(summaryOf(table)).toEqual([
          ['t3', false],
          ['t4', true],
        ]);
      }),
      { seed: 20261205, numRuns: 1_000 },
    );
  });
});
