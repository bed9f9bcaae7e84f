/** Three entries in one process share one limit: of 30 requests at once, the burst is admitted. */
import { setTimeout as sleep } from 'node:timers/promises';
import { SystemClock } from '@marigoldbank/base/clock';
import { FleetBudgets } from '@marigoldbank/budgets';

const clock = new SystemClock();
const vms = ['vm-1', 'vm-2', 'vm-3'];
const fleet = new Map();
const transport = { borrow: async (to, req) => fleet.get(to).handleBorrow(req) };

vms.forEach((self) => {
  const budgets = new FleetBudgets({
    self,
    incarnation: '1',
    clock,
    transport,
    isCurrent: () => true,
  });
  budgets.setView({ epoch: 1, entries: vms.map((vm) => ({ vm, dataCentre: vm })) });
  budgets.setLimits((team) => (team === 'bakery' ? { rate: 5, burst: 10 } : undefined));
  budgets.markViewAccepted(1, clock.now());
  budgets.markLimitsAccepted(clock.now());
  fleet.set(self, budgets);
});

// New holders wait 3,030 ms after the acceptance of the view, then accrue 5 tokens a second together.
await sleep(6_000);
const outcomes = await Promise.all(
  Array.from({ length: 30 }, (_, i) => fleet.get(vms[i % 3]).reserve('bakery', 100)),
);
const admitted = outcomes.filter(
  (outcome) => outcome.kind === 'reserved' && outcome.reservation.consume(),
);
process.stdout.write(`admitted ${admitted.length} of ${outcomes.length}\n`);
fleet.forEach((budgets) => budgets.dispose());
