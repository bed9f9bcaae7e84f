import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { expect } from 'earl';
import { EntryState } from './EntryState.js';
import { HubReporter, type EntryReportInit } from './HubReporter.js';

const STEP_MS = 10;

interface Setup {
  readonly clock: VirtualClock;
  readonly reporter: HubReporter;
  readonly sent: EntryReportInit[];
  /** Lets the hub handle all reports that were sent. */
  readonly handle: () => void;
}

function makeSetup(): Setup {
  const clock = new VirtualClock();
  clock.advance(1_000);
  const state = new EntryState({ ratio: 0.2, slack: 188, windowMs: 10_000 }, new Random(1), () =>
    clock.now(),
  );
  const reporter = new HubReporter(clock, state, new NullLogger());
  const sent: EntryReportInit[] = [];
  reporter.attach((report) => sent.push(report));
  return { clock, reporter, sent, handle: () => reporter.noteHandled(sent.at(-1)!.sentAtMs!) };
}

function fail({ clock, reporter }: Setup, count: number): void {
  Array.from({ length: count }).forEach(() => {
    reporter.recordOutcome('target-1', 'failed');
    clock.advance(STEP_MS);
  });
}

function failuresIn(sent: readonly EntryReportInit[]): number {
  return sent.reduce(
    (sum, { evidence = [] }) => sum + evidence.reduce((n, { failed = 0 }) => n + failed, 0),
    0,
  );
}

describe('HubReporter', () => {
  // Each failure was a report of its own, however many of them waited at the hub, so that failures saturated it.
  it('sends few reports to a hub that handles none, and what they would have said with the next one', () => {
    const setup = makeSetup();
    setup.handle();
    fail(setup, 100);
    expect(setup.sent.length).toBeLessThanOrEqual(4);
    setup.handle();
    setup.clock.advance(STEP_MS);
    expect(failuresIn(setup.sent)).toEqual(100);
  });

  it('reports failures at once to a hub that handles them', () => {
    const setup = makeSetup();
    Array.from({ length: 20 }).forEach(() => {
      setup.handle();
      fail(setup, 1);
    });
    expect(setup.sent.length).toEqual(21);
  });

  it('leaves room for a failure while other reports wait', () => {
    const setup = makeSetup();
    setup.handle();
    Array.from({ length: 10 }).forEach(() => {
      setup.reporter.recordLoadChange('target-1');
      setup.clock.advance(100);
    });
    const before = setup.sent.length;
    fail(setup, 1);
    expect(setup.sent.length).toEqual(before + 1);
  });

  it('does not limit reports to a hub of an older release', () => {
    const setup = makeSetup();
    setup.reporter.noteHandled(0);
    fail(setup, 50);
    expect(setup.sent.length).toEqual(51);
  });
});
