import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { EntryReportSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { expect } from 'earl';
import type { HubCandidate } from '../sync/HubCandidate.js';
import type { EntryIdentity } from './EntryRegistry.js';
import type { EntrySession } from './EntrySession.js';
import type { EntryStream } from './EntryStream.js';
import { StreamAdmission } from './StreamAdmission.js';

interface Setup {
  readonly clock: VirtualClock;
  readonly admission: StreamAdmission;
  readonly request: (vm: string, hasOtherHub?: boolean) => EntryStream | undefined;
  /** Numbers of entries of the other hubs. */
  readonly others: number[];
  readonly opened: () => number;
}

function makeHub(address: string, entries: number): HubCandidate {
  return { address, dataCentre: 'dc-1', entries, isSilent: false, isLate: false };
}

function makeSetup(): Setup {
  const clock = new VirtualClock();
  const others: number[] = [];
  let opened = 0;
  const admission: StreamAdmission = new StreamAdmission({
    clock,
    isLate: () => false,
    hubs: (): HubCandidate[] => [
      makeHub('own', opened + admission.waitingCount),
      ...others.map((entries, i) => makeHub(`hub-${i}`, entries)),
    ],
    openSession: () => {
      opened += 1;
      return { dispose: () => undefined } as EntrySession;
    },
  });
  const request = (vm: string, hasOtherHub = false): EntryStream | undefined => {
    const identity = { vm, address: `${vm}:80`, dataCentre: 'dc-1' } as EntryIdentity;
    return admission.request(identity, create(EntryReportSchema, { hasOtherHub, canWait: true }));
  };
  return { clock, admission, request, others, opened: () => opened };
}

function requestMany({ request }: Setup, count: number): EntryStream[] {
  return Array.from({ length: count }, (_, i) => request(`e${i}`)!);
}

describe('StreamAdmission', () => {
  // All entries of a fleet that starts connect to three hubs, whose other messages waited behind all of their snapshots.
  it('opens the next stream only when an entry has answered its snapshot', () => {
    const setup = makeSetup();
    const streams = requestMany(setup, 100);
    expect(setup.opened()).toEqual(3);
    streams.slice(0, 2).forEach(({ session }) => setup.admission.noteAnswer(session!));
    expect(setup.opened()).toEqual(5);
    expect(setup.admission.waitingCount).toEqual(95);
  });

  it('opens the streams of entries without a hub first, and refuses others while many wait', () => {
    const setup = makeSetup();
    requestMany(setup, 3);
    const moving = setup.request('moving-1', true);
    const waiting = ['a', 'b', 'c'].map((vm) => setup.request(vm));
    expect(setup.request('moving-2', true)).toEqual(undefined);
    setup.clock.advance(1_500);
    setup.admission.tick(setup.clock.now());
    expect(waiting.every((stream) => stream?.session !== undefined)).toEqual(true);
    expect(moving?.session).toEqual(undefined);
  });

  it('does not wait for entries that never answer', () => {
    const setup = makeSetup();
    requestMany(setup, 10);
    setup.clock.advance(1_500);
    setup.admission.tick(setup.clock.now());
    expect(setup.opened()).toEqual(6);
  });

  it('goes on when the stream of an entry that was being set up ends', () => {
    const setup = makeSetup();
    const streams = requestMany(setup, 10);
    setup.admission.remove(streams[0]!);
    setup.admission.remove(streams[9]!);
    expect(setup.opened()).toEqual(4);
    expect(setup.admission.waitingCount).toEqual(5);
  });

  // Entries that wait at the three hubs that they know at their start would be served much later than by the others.
  it('refuses as many of the waiting entries as the other hubs have room for', async () => {
    const setup = makeSetup();
    const streams = requestMany(setup, 100);
    setup.others.push(0, 0, 0, 0);
    setup.admission.tick(setup.clock.now());
    expect(setup.opened() + setup.admission.waitingCount).toEqual(100);
    setup.clock.advance(1_500);
    setup.admission.tick(setup.clock.now());
    expect(setup.opened() + setup.admission.waitingCount).toEqual(26);
    const messages = streams.at(-1)!.updates();
    expect((await messages.next()).value?.isWaiting).toEqual(true);
    expect((await messages.next()).value?.hubs?.length).toEqual(5);
    await expect(messages.next()).toBeRejectedWith('no time');
  });

  it('keeps waiting entries if the other hubs have no room either', () => {
    const setup = makeSetup();
    requestMany(setup, 100);
    setup.others.push(100, 100);
    setup.clock.advance(1_500);
    setup.admission.tick(setup.clock.now());
    expect(setup.opened() + setup.admission.waitingCount).toEqual(100);
  });
});
