import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { DEFAULT_TIMING } from './constants.js';
import { FleetBudgets } from './FleetBudgets.js';
import { BudgetTransport, type BorrowRequest, type BorrowResponse } from './types.js';

class DirectTransport extends BudgetTransport {
  public readonly entries = new Map<string, FleetBudgets>();

  public messages = 0;

  public override async borrow(to: string, req: BorrowRequest): Promise<BorrowResponse> {
    this.messages += 1;
    await Promise.resolve();
    const entry = this.entries.get(to);
    if (entry === undefined) throw new Error(`no entry ${to}`);
    return entry.handleBorrow(req);
  }
}

function buildFleet(size: number, limit: { rate: number; burst: number }) {
  const clock = new VirtualClock();
  const transport = new DirectTransport();
  const vms = Array.from({ length: size }, (_, i) => ({
    vm: `vm-${i}`,
    dataCentre: `dc-${i % 3}`,
  }));
  const entries = vms.map(({ vm }) => {
    const entry = new FleetBudgets({
      self: vm,
      incarnation: `${vm}-1`,
      clock,
      transport,
      isCurrent: () => true,
    });
    entry.setView({ epoch: 1, entries: vms });
    entry.setLimits((team) => (team.startsWith('team') ? limit : undefined));
    entry.markViewAccepted(1, 0);
    entry.markLimitsAccepted(0);
    transport.entries.set(vm, entry);
    return entry;
  });
  return { clock, transport, entries };
}

async function tryOnce(entry: FleetBudgets, team = 'team-a'): Promise<boolean> {
  const outcome = await entry.reserve(team, 50);
  return outcome.kind === 'reserved' && outcome.reservation.consume();
}

describe('FleetBudgets', () => {
  it('admits exactly the burst for simultaneous requests spread over all entries', async () => {
    await [1, 2, 3, 4, 7, 30].reduce(async (previous, burst) => {
      await previous;
      const { clock, entries } = buildFleet(9, { rate: 1, burst });
      clock.advance(200_000);
      const results = await Promise.all(
        Array.from({ length: 40 }, (_, i) => tryOnce(entries[i % entries.length]!)),
      );
      expect(results.filter((isAdmitted) => isAdmitted).length).toEqual(burst);
    }, Promise.resolve());
  });

  it('admits nothing until the wait after the acceptance of a view and limits has passed', async () => {
    const { clock, entries } = buildFleet(6, { rate: 1_000, burst: 30 });
    await clock.advanceAsync(DEFAULT_TIMING.acceptanceWaitMs - 1);
    expect(await tryOnce(entries[0]!)).toEqual(false);
    await clock.advanceAsync(50);
    expect(await tryOnce(entries[0]!)).toEqual(true);
  });

  it('reports unknown teams and drops the state of idle teams', async () => {
    const { clock, entries } = buildFleet(6, { rate: 10, burst: 30 });
    expect((await entries[0]!.reserve('other', 10)).kind).toEqual('unknownTeam');
    await clock.advanceAsync(10_000);
    await Promise.all(Array.from({ length: 50 }, (_, i) => tryOnce(entries[i % 6]!, `team-${i}`)));
    expect(entries[0]!.teamsInMemory.borrowing).toBeGreaterThan(0);
    await clock.advanceAsync(30_000);
    entries.forEach((entry) => expect(entry.teamsInMemory).toEqual({ borrowing: 0, held: 0 }));
  });
});
