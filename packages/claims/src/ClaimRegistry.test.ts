import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { ClaimRegistry } from './ClaimRegistry.js';
import { MAX_OUTCOME_BYTES } from './constants.js';
import {
  ClaimTransport,
  type ClaimRequest,
  type ClaimResponse,
  type RecoverClaimsRequest,
  type RecoverClaimsResponse,
  type ResolveClaimRequest,
  type ResolveClaimResponse,
} from './types.js';

class DirectTransport extends ClaimTransport {
  public readonly entries = new Map<string, ClaimRegistry>();

  public override async claim(to: string, req: ClaimRequest): Promise<ClaimResponse> {
    return this.get(to).handleClaim(req);
  }

  public override async resolve(
    to: string,
    req: ResolveClaimRequest,
  ): Promise<ResolveClaimResponse> {
    return this.get(to).handleResolve(req);
  }

  public override async recover(
    to: string,
    req: RecoverClaimsRequest,
  ): Promise<RecoverClaimsResponse> {
    return this.get(to).handleRecover(req);
  }

  private get(vm: string): ClaimRegistry {
    const entry = this.entries.get(vm);
    if (entry === undefined) throw new Error(`no entry ${vm}`);
    return entry;
  }
}

function buildView(epoch: number, vms: readonly string[]) {
  return { epoch, entries: vms.map((vm, i) => ({ vm, dataCentre: `dc-${i % 3}` })) };
}

function buildFleet(size: number) {
  const clock = new VirtualClock();
  const transport = new DirectTransport();
  const vms = Array.from({ length: size }, (_, i) => `vm-${i}`);
  const view = buildView(1, vms);
  const start = (vm: string, incarnation: number, startsEmpty: boolean): ClaimRegistry => {
    transport.entries.get(vm)?.dispose();
    const entry = new ClaimRegistry({ self: vm, incarnation, clock, transport, startsEmpty });
    transport.entries.set(vm, entry);
    entry.setView(view);
    return entry;
  };
  vms.forEach((vm) => start(vm, 1, true));
  const entry = (i: number): ClaimRegistry => transport.entries.get(`vm-${i}`)!;
  return { clock, transport, vms, start, entry };
}

async function run<T>(clock: VirtualClock, promise: Promise<T>, durationMs = 2_000): Promise<T> {
  const [result] = await Promise.all([promise, clock.advanceAsync(durationMs)]);
  return result;
}

function claim(clock: VirtualClock, entry: ClaimRegistry, key: string, fingerprint = 'f') {
  return run(clock, entry.claim('team', key, fingerprint, 1_000));
}

describe('ClaimRegistry', () => {
  it('grants a key to one of two competing entries and returns the stored outcome to a resend', async () => {
    const { clock, entry } = buildFleet(7);
    const both = await run(
      clock,
      Promise.all([
        entry(0).claim('team', 'k', 'f', 1_000),
        entry(1).claim('team', 'k', 'f', 1_000),
      ]),
    );
    expect(both.map((outcome) => outcome.kind).sort()).toEqual(['inProgress', 'owned']);
    const owned = both.find((outcome) => outcome.kind === 'owned')!;
    await run(clock, owned.claim.complete(new Uint8Array([7])));
    const resent = await claim(clock, entry(3), 'k');
    expect(resent).toEqual({ kind: 'completed', outcome: new Uint8Array([7]) });
    expect((await claim(clock, entry(3), 'k', 'other')).kind).toEqual('mismatch');
  });

  it('frees a key when its claim is released, and refuses dispatch 5 s after the claim', async () => {
    const { clock, entry } = buildFleet(5);
    const first = await claim(clock, entry(0), 'k');
    if (first.kind !== 'owned') throw new Error(first.kind);
    expect(first.claim.mayDispatch()).toEqual(true);
    await run(clock, first.claim.release());
    expect(first.claim.mayDispatch()).toEqual(false);
    const second = await claim(clock, entry(1), 'k');
    if (second.kind !== 'owned') throw new Error(second.kind);
    await clock.advanceAsync(5_000);
    expect(second.claim.mayDispatch()).toEqual(false);
  });

  it('keeps a claim when all holders restart one after the other', async () => {
    const { clock, entry, vms, start } = buildFleet(5);
    expect((await claim(clock, entry(0), 'k')).kind).toEqual('owned');
    await vms.reduce(async (previous, vm) => {
      await previous;
      start(vm, 2, false);
      await clock.advanceAsync(1_000);
    }, Promise.resolve());
    expect((await claim(clock, entry(2), 'k')).kind).toEqual('inProgress');
    expect((await claim(clock, entry(2), 'new')).kind).toEqual('owned');
  });

  it('keeps a claim over view changes that replace holders, and frees the key after its lifetime', async () => {
    const { clock, entry, vms } = buildFleet(9);
    expect((await claim(clock, entry(0), 'k')).kind).toEqual('owned');
    await [1, 2, 3].reduce(async (previous, step) => {
      await previous;
      const view = buildView(step + 1, vms.slice(step));
      vms.forEach((_, i) => entry(i).setView(view));
      await clock.advanceAsync(1_000);
    }, Promise.resolve());
    expect((await claim(clock, entry(8), 'k')).kind).toEqual('inProgress');
    await clock.advanceAsync(620_000);
    expect((await claim(clock, entry(8), 'k')).kind).toEqual('owned');
  });

  it('refuses claims after all holders have lost their state, until the lost claims have expired', async () => {
    const { clock, entry, vms, start } = buildFleet(5);
    vms.forEach((vm) => start(vm, 2, false).markViewAccepted(1, 0));
    expect((await claim(clock, entry(0), 'k')).kind).toEqual('unavailable');
    await clock.advanceAsync(610_000);
    expect((await claim(clock, entry(0), 'k')).kind).toEqual('owned');
  });

  it('stores an outcome that is too large without its content', async () => {
    const { clock, entry } = buildFleet(5);
    const owned = await claim(clock, entry(0), 'k');
    if (owned.kind !== 'owned') throw new Error(owned.kind);
    await run(clock, owned.claim.complete(new Uint8Array(MAX_OUTCOME_BYTES + 1)));
    expect((await claim(clock, entry(1), 'k')).kind).toEqual('completedNotKept');
  });
});
