import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import { expect } from 'earl';
import type { AdvertisedEntry } from '../AddressBook.js';
import { decodeEvidenceBatch, encodeEvidenceBatch } from '../sync/evidence-batch.js';
import { EntrySession, type HubUpdateInit } from './EntrySession.js';
import { PlanEncoder } from './PlanEncoder.js';
import { CommittedPlan } from './CommittedPlan.js';

function makeCommitted(version: number): CommittedPlan {
  const limits = {
    maxHeaderBytes: 1,
    maxBodyBytes: version,
    headersTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const plan: RoutingPlan = {
    version,
    routes: [],
    services: [],
    teams: [],
    hasTeams: true,
    limits,
  };
  return new CommittedPlan(plan, '');
}

function makeSession(initialVersion?: number): {
  clock: VirtualClock;
  session: EntrySession;
  commit: (plan: CommittedPlan | undefined) => void;
  advertise: (...addresses: string[]) => void;
  sent: HubUpdateInit[];
} {
  const clock = new VirtualClock();
  let current: CommittedPlan | undefined;
  let advertised: ReadonlyMap<string, AdvertisedEntry> = new Map();
  const identity = { vm: 'e1', address: 'e1:80', dataCentre: 'dc-1' };
  const encoder = new PlanEncoder();
  const encodeChanges = encoder.encode.bind(encoder);
  const source = {
    clock,
    encodeChanges,
    currentPlan: () => current,
    advertised: () => advertised,
  };
  const session = new EntrySession(identity, 1, source, initialVersion);
  const sent: HubUpdateInit[] = [];
  session.queue.push = (update) => sent.push(update);
  const commit = (plan: CommittedPlan | undefined): void => {
    current = plan;
    session.planChanged();
  };
  const advertise = (...addresses: string[]): void => {
    advertised = new Map(addresses.map((address) => [address, { address, dataCentre: 'dc-1' }]));
    session.advertisedChanged();
  };
  return { clock, session, commit, advertise, sent };
}

/** Version that each sent plan changes, undefined for a complete one, and the version that results. */
function versionsOf(sent: readonly HubUpdateInit[]): (bigint | undefined)[][] {
  return sent.flatMap(({ plan }) => (plan === undefined ? [] : [[plan.fromVersion, plan.version]]));
}

describe('EntrySession', () => {
  it('sends nothing while the hub withholds its plan', () => {
    const { clock, commit, sent } = makeSession();
    commit(undefined);
    clock.advance(1_000);
    expect(sent).toEqual([]);
  });

  it('sends a series of plans as one difference to the first', () => {
    const { clock, commit, sent } = makeSession();
    commit(makeCommitted(3));
    clock.advance(10);
    [4, 5, 6].forEach((version) => {
      commit(makeCommitted(version));
      clock.advance(10);
    });
    clock.advance(1_000);
    expect(versionsOf(sent)).toEqual([
      [undefined, 3n],
      [3n, 6n],
    ]);
  });

  it('sends a reconnecting entry only the changes since the plan that it holds', () => {
    const { clock, commit, sent } = makeSession(5);
    commit(makeCommitted(5));
    clock.advance(1_000);
    expect(versionsOf(sent)).toEqual([]);
    commit(makeCommitted(6));
    clock.advance(1_000);
    expect(versionsOf(sent)).toEqual([[5n, 6n]]);
  });

  // An entry of the release before has no plan then: it took changes from version 0 for a complete plan.
  it('sends a complete plan after version 0, also to an entry that holds it', () => {
    [undefined, 0].forEach((initialVersion) => {
      const { clock, commit, sent } = makeSession(initialVersion);
      commit(makeCommitted(0));
      clock.advance(1_000);
      commit(makeCommitted(1));
      clock.advance(1_000);
      const first = initialVersion === undefined ? [[undefined, 0n]] : [];
      expect(versionsOf(sent)).toEqual([...first, [undefined, 1n]]);
    });
  });

  it('sends no plan to an entry with a newer one, and later a full plan', () => {
    const { clock, commit, sent } = makeSession(5);
    commit(makeCommitted(3));
    clock.advance(1_000);
    expect(versionsOf(sent)).toEqual([]);
    commit(makeCommitted(7));
    clock.advance(1_000);
    expect(versionsOf(sent)).toEqual([[undefined, 7n]]);
  });

  it('sends the advertised entries once and then only changes', () => {
    const { clock, advertise, sent } = makeSession();
    [
      ['a', 'b'],
      ['a', 'b', 'c'],
      ['c', 'd'],
    ].forEach((addresses) => {
      advertise(...addresses);
      clock.advance(1_000);
    });
    const changes = sent.map(({ fleet }) => [
      fleet?.isWhole,
      fleet?.named?.map(({ address }) => address),
      fleet?.dropped,
    ]);
    expect(changes).toEqual([
      [true, ['a', 'b'], []],
      [false, ['c'], []],
      [false, ['d'], ['a', 'b']],
    ]);
  });

  it('sends a tight team at once and a relaxed one with the next batch', () => {
    const { clock, session, sent } = makeSession();
    session.setTeamMode('north', false);
    clock.advance(50);
    expect(sent.length).toEqual(0);
    session.setTeamMode('south', true);
    clock.advance(2);
    expect(sent[0]?.teams?.length).toEqual(2);
  });

  // Evidence filled the sockets of entries that read slowly, so that plans and tokens waited behind it.
  it('sends a plan before evidence that the entry has not read, and that as one message', async () => {
    const { clock, session, commit, sent } = makeSession();
    const batchOf = (ref: number): Uint8Array =>
      encodeEvidenceBatch([
        { ref, entryRef: 0, succeeded: ref, failed: 0, suspect: 0, inFlight: 0 },
      ]);
    [1, 2, 3].forEach((ref) => session.sendEvidence(batchOf(ref)));
    commit(makeCommitted(3));
    clock.advance(10);
    expect(versionsOf(sent)).toEqual([[undefined, 3n]]);
    const message = await session.queue[Symbol.asyncIterator]().next();
    const { evidenceBatch } = message.value as HubUpdateInit;
    expect(decodeEvidenceBatch(evidenceBatch!).map(({ succeeded }) => succeeded)).toEqual([
      1, 2, 3,
    ]);
  });

  it('tells the entry which of its reports was handled last, without other messages if there are none', () => {
    const { clock, session, sent } = makeSession();
    session.noteReport(clock.now(), 7);
    session.noteReport(clock.now(), 8);
    clock.advance(1_000);
    expect(sent.map(({ handledReportMs }) => handledReportMs)).toEqual([8]);
  });
});
