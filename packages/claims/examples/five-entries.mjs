/**
 * Five entries in one process. Two of them claim the same key at once and one becomes its owner; a resend through a
 * third entry gets the stored outcome.
 */
import { SystemClock } from '@marigoldbank/base/clock';
import { ClaimRegistry } from '@marigoldbank/claims';

const clock = new SystemClock();
const vms = ['vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5'];
const view = { epoch: 1, entries: vms.map((vm, i) => ({ vm, dataCentre: `dc-${i % 3}` })) };
const fleet = new Map();
const transport = {
  claim: async (to, req) => fleet.get(to).handleClaim(req),
  resolve: async (to, req) => fleet.get(to).handleResolve(req),
  recover: async (to, req) => fleet.get(to).handleRecover(req),
};

vms.forEach((self) => {
  fleet.set(self, new ClaimRegistry({ self, incarnation: 1, clock, transport, startsEmpty: true }));
});
fleet.forEach((registry) => registry.setView(view));

const claim = (vm) => fleet.get(vm).claim('bakery', 'order-17', 'hash of the request', 1_000);
const outcomes = await Promise.all([claim('vm-1'), claim('vm-2')]);
process.stdout.write(`${outcomes.map((outcome) => outcome.kind).join(', ')}\n`);
const owned = outcomes.find((outcome) => outcome.kind === 'owned');
if (owned?.claim.mayDispatch()) await owned.claim.complete(new TextEncoder().encode('done'));
const resent = await claim('vm-3');
process.stdout.write(`${resent.kind}: ${new TextDecoder().decode(resent.outcome)}\n`);
fleet.forEach((registry) => registry.dispose());
