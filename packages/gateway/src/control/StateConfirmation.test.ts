import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import type { ConfirmedState, LogStatus, ReadOutcome } from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { FakeControlGroup } from '../testing/FakeControlGroup.js';
import type { LeadershipAnswer } from '../sync/DirectoryClient.js';
import { StateConfirmation, type ConfirmationContext } from './StateConfirmation.js';

const SELF = { vm: '10.0.0.1', incarnation: 'a', address: '10.0.0.1:7600' };
const LEADER = { vm: '10.0.0.2', incarnation: 'b', address: '10.0.0.2:7600' };

interface Fixture {
  readonly clock: VirtualClock;
  readonly confirmation: StateConfirmation;
  readonly status: { -readonly [K in keyof LogStatus]: LogStatus[K] };
  /** Time until a question is answered. */
  delayMs: number;
  /** The answer to datagrams, undefined while they are lost. */
  datagramAnswer: LeadershipAnswer | undefined;
  /** Questions that were sent. */
  datagrams: number;
  calls: number;
  /** What the answers of a majority confirm to a leader. */
  confirmed: ConfirmedState | undefined;
}

/** A follower whose leader confirms index 7, or a leader whose majority does. */
function makeConfirmation(role: LogStatus['role']): Fixture {
  const clock = new VirtualClock();
  const status = {
    self: SELF,
    role,
    term: 1,
    commitIndex: 7,
    lastIndex: 7,
    leader: role === 'leader' ? SELF : LEADER,
    membership: { voters: [SELF, LEADER], learners: [] },
    progress: [],
  };
  const fixture: Partial<Fixture> = {
    clock,
    status,
    delayMs: 0,
    datagramAnswer: { isLeader: true, index: 7n },
    datagrams: 0,
    calls: 0,
    confirmed: undefined,
  };
  const later = <T>(value: T): Promise<T> =>
    new Promise((resolve) => {
      clock.setTimeout(() => resolve(value), fixture.delayMs!);
    });
  const read = (): ReadOutcome =>
    status.role === 'leader'
      ? { kind: 'confirmed', index: 7 }
      : { kind: 'notLeader', leader: undefined };
  const confirmation = new StateConfirmation({
    clock,
    logger: new NullLogger(),
    log: {
      status: () => status,
      confirmedState: () => (status.role === 'leader' ? fixture.confirmed : undefined),
      confirmReadByHeartbeat: () => later(read()),
    },
    datagrams: {
      confirmLeadership: () => {
        fixture.datagrams! += 1;
        return later(fixture.datagramAnswer);
      },
    },
    clientOf: (() => ({
      confirm: () => {
        fixture.calls! += 1;
        return later({ isLeader: true, index: 7n });
      },
    })) as unknown as ConfirmationContext['clientOf'],
  });
  return Object.assign(fixture, { confirmation }) as Fixture;
}

async function confirmLeadership({ clock, confirmation }: Fixture): Promise<number | undefined> {
  const confirmed = confirmation.confirmLeadership();
  await clock.advanceAsync(1);
  return confirmed;
}

describe('StateConfirmation', () => {
  // Dated by its arrival, an answer that waited at a busy VM would make an old state appear new.
  it('counts the age of a confirmation from when the leader was asked', async () => {
    const { clock, confirmation } = Object.assign(makeConfirmation('follower'), {
      delayMs: 250,
    });
    await clock.advanceAsync(290);
    expect(confirmation.confirmedAgeMs()).toEqual(250);
    expect(confirmation.leaderAgeMs()).toEqual(0);
  });

  it('counts the age of a confirmation by the majority from the message that it has answered', async () => {
    const fixture = makeConfirmation('leader');
    const { clock, confirmation } = fixture;
    fixture.confirmed = { index: 7, at: 40 };
    await clock.advanceAsync(290);
    expect(confirmation.confirmedAgeMs()).toEqual(250);
    expect(await confirmLeadership(fixture)).toEqual(7);
  });

  it('confirms a state only once it is applied', async () => {
    const { clock, confirmation, status } = makeConfirmation('follower');
    status.commitIndex = 6;
    await clock.advanceAsync(100);
    expect(confirmation.confirmedAgeMs()).toEqual(Infinity);
    status.commitIndex = 7;
    expect(confirmation.confirmedAgeMs()).toBeLessThan(100);
  });

  // What a former leader has confirmed would otherwise be passed on in a later term.
  it('passes nothing on from an earlier leadership', async () => {
    const fixture = makeConfirmation('leader');
    const { clock, status } = fixture;
    await clock.advanceAsync(100);
    expect(await confirmLeadership(fixture)).toEqual(7);
    status.role = 'follower';
    expect(await confirmLeadership(fixture)).toEqual(undefined);
  });

  // The calls of six to ten members were a third of what the leader did in a quiet group.
  it('asks by datagrams alone while they are answered', async () => {
    const fixture = makeConfirmation('follower');
    await fixture.clock.advanceAsync(100);
    fixture.calls = 0;
    await fixture.clock.advanceAsync(2_000);
    expect([fixture.datagrams >= 10, fixture.calls]).toEqual([true, 0]);
  });

  // The first change that each member forwarded after a loss of power waited for a new connection to a saturated leader for
  // more than 2 s, later ones took 0.1 to 0.5 s.
  it('opens a connection to each new leader before there is a change to forward', async () => {
    const fixture = makeConfirmation('follower');
    const { clock, status } = fixture;
    await clock.advanceAsync(2_000);
    expect(fixture.calls).toEqual(1);
    status.leader = { ...LEADER, vm: '10.0.0.3' };
    await clock.advanceAsync(2_000);
    expect(fixture.calls).toEqual(2);
  });

  it('asks by a call after 0.3 s if a datagram is not answered', async () => {
    const fixture = makeConfirmation('follower');
    const { clock, confirmation } = fixture;
    await clock.advanceAsync(500);
    Object.assign(fixture, { datagramAnswer: undefined, delayMs: 1_000, calls: 0 });
    await clock.advanceAsync(200);
    fixture.delayMs = 0;
    await clock.advanceAsync(400);
    expect(fixture.calls).toEqual(1);
    expect(confirmation.confirmedAgeMs()).toBeLessThan(300);
  });

  it('asks a leader that does not confirm by datagrams by a call, at once', async () => {
    const fixture = makeConfirmation('follower');
    fixture.datagramAnswer = 'unsupported';
    await fixture.clock.advanceAsync(1_000);
    // One more opens the connection.
    expect(fixture.calls).toEqual(fixture.datagrams + 1);
    expect(fixture.confirmation.confirmedAgeMs()).toBeLessThan(250);
  });

  // Of 7 VMs, 6 ask the leader, also while one of them is frozen.
  it('confirms every running VM within 0.5 s, and after an election within 1.3 s', async () => {
    const group = await FakeControlGroup.start(7, 11);
    const ages = (): number[] =>
      group.followers.map(({ confirmation }) => confirmation.confirmedAgeMs());
    expect(Math.max(...ages())).toBeLessThan(500);
    const frozen = group.leader;
    group.freeze(frozen);
    const worst: number[] = [];
    for (let i = 0; i < 100; i += 1) {
      await group.advance(20);
      const running = group.vms.filter((vm) => vm !== frozen);
      worst.push(...running.map(({ confirmation }) => confirmation.confirmedAgeMs()));
    }
    expect(Math.max(...worst)).toBeLessThan(1_300);
  });
});
