import { describe, it } from 'node:test';
import { expect } from 'earl';
import {
  announcementOf,
  digestOf,
  healthy,
  makeFleet,
  SERVICE,
  type FixtureOptions,
  type Sampler,
} from './fixtures.js';

const BAD = 't-3';

const slow: Sampler = (entry, target, random) =>
  target === BAD
    ? digestOf(target, [random.logNormal(100, 0.5), random.logNormal(100, 0.5)])
    : healthy(entry, target, random);

const failing: Sampler = (entry, target, random) => {
  const failed = [0, 1, 2].filter(() => random.chance(0.3)).length;
  return target === BAD
    ? digestOf(target, [20, 21, 22].slice(failed), failed)
    : healthy(entry, target, random);
};

/** One entry cannot reach one target; the other entries can. */
const unreachable: Sampler = (entry, target, random) =>
  entry === 0 && target === BAD ? digestOf(target, [], 30) : healthy(entry, target, random);

/** One entry has bad network links to all targets. */
const badLinks: Sampler = (entry, target, random) =>
  entry === 0 ? digestOf(target, [200, 200], 4) : healthy(entry, target, random);

const stalls: Sampler = (entry, target, random) =>
  random.chance(0.01) ? digestOf(target, [150, 150, 150]) : healthy(entry, target, random);

function ejected(sample: Sampler, options: FixtureOptions = {}, durationMs = 10_000): string[] {
  return [...makeFleet(options).run(durationMs, sample).keys()];
}

describe('Coordinator: evidence', () => {
  it('ejects a 5x slow and a 30% failing target within the 4 s of the design page, and no other', () => {
    [slow, failing].forEach((sample) => {
      const ejectedAt = makeFleet().run(10_000, sample);
      expect([...ejectedAt.keys()]).toEqual([BAD]);
      expect(ejectedAt.get(BAD)!).toBeLessThanOrEqual(4_000 - 250);
    });
  });

  it('ejects nothing in ten minutes of healthy targets with noise and short stalls', () => {
    expect(ejected(stalls, {}, 600_000)).toEqual([]);
  });

  it('ejects healthy targets if the threshold is too low, which shows that the check detects it', () => {
    const parameters = { cusumThreshold: 1, gainPerRound: 1, reporterQuorum: 0 };
    expect(ejected(stalls, { parameters }, 60_000).length).toBeGreaterThan(0);
  });

  it('does not eject a target that one busy entry alone cannot reach', () => {
    expect(ejected(unreachable)).toEqual([]);
    const parameters = { reporterQuorum: 0, reporterCap: Number.POSITIVE_INFINITY };
    expect(ejected(unreachable, { parameters })).toEqual([BAD]);
  });

  it('suspects a reporter that finds all targets bad, ejects none of them, and trusts it again later', () => {
    const fleet = makeFleet();
    expect([...fleet.run(3_000, badLinks).keys()]).toEqual([]);
    expect(fleet.poll(1).suspectedReporters).toEqual(['entry-0']);
    fleet.run(15_000, healthy);
    expect(fleet.poll(1).suspectedReporters).toEqual([]);
  });

  it('does not count slow requests of a cold target as bad, but counts its failures', () => {
    const warm = makeFleet();
    warm.run(2_000, healthy);
    const cold = { incarnation: 2, isCold: true };
    const run = (sample: Sampler): string[] => {
      const fleet = makeFleet();
      fleet.run(2_000, healthy);
      const ejectedAt = fleet.run(3_000, (entry, target, random) => {
        fleet.coordinator.handleAnnouncements([announcementOf(BAD, { ...cold, sequence: 9_000 })]);
        return sample(entry, target, random);
      });
      return [...ejectedAt.keys()];
    };
    expect(run(slow)).toEqual([]);
    expect(run((e, t, r) => (t === BAD ? digestOf(t, [20], 3) : healthy(e, t, r)))).toEqual([BAD]);
  });
});

describe('Coordinator: return to rotation', () => {
  it('returns a target through probation with a rising share, and doubles the ejection on a relapse', () => {
    const fleet = makeFleet();
    const shares = new Set<number>();
    const statusOf = () => fleet.poll(0).targets.find((t) => t.announcement.target === BAD)!;
    fleet.run(3_000, slow);
    expect(statusOf().reason).toMatchRegex(/ejected for 5 s/);
    for (let i = 0; i < 80; i += 1) {
      fleet.run(250, healthy);
      if (statusOf().status === 'probation') shares.add(statusOf().share);
    }
    expect([...shares]).toEqual([0.1, 0.2, 0.4, 0.8]);
    expect(statusOf().status).toEqual('inRotation');
    fleet.run(3_000, slow);
    expect(statusOf().reason).toMatchRegex(/ejected for 10 s/);
  });
});

describe('Coordinator: announcements', () => {
  const states = (fleet: ReturnType<typeof makeFleet>) =>
    fleet.poll(0).targets.filter((t) => t.announcement.target === 't-0');

  it('ignores late announcements with an older sequence or incarnation, also of a target that has left', () => {
    const fleet = makeFleet({ targets: 1 });
    const announce = (sequence: number, state: 'up' | 'leaving', incarnation = 1): void =>
      fleet.coordinator.handleAnnouncements([
        announcementOf('t-0', { sequence, state, incarnation }),
      ]);
    announce(5, 'leaving');
    announce(4, 'up');
    expect(states(fleet).map((t) => t.announcement.state)).toEqual(['leaving']);
    fleet.clock.advance(59_000);
    announce(4, 'up');
    expect(states(fleet).map((t) => t.announcement.state)).toEqual(['leaving']);
    announce(1, 'up', 2);
    expect(states(fleet).map((t) => t.announcement.state)).toEqual(['up']);
    announce(99, 'up', 1);
    expect(states(fleet)[0]!.announcement.incarnation).toEqual(2);
  });

  it('adds the time at the coordinator to the age, and answers for an unknown service without targets', () => {
    const fleet = makeFleet({ targets: 1 });
    fleet.clock.advance(700);
    expect(states(fleet)[0]!.announcement.ageMs).toEqual(700);
    fleet.coordinator.setServices([]);
    expect(fleet.poll(0).targets).toEqual([]);
    expect(SERVICE).toEqual('orders');
  });
});

describe('Coordinator: poison requests', () => {
  const lost = (target: string, ...fingerprints: string[]) =>
    fingerprints.map((fingerprint) => ({ fingerprint, target }));

  it('quarantines the poison request, but no other request that was in flight at the same crashes', () => {
    const fleet = makeFleet();
    fleet.poll(0, [], lost('t-0', 'innocent', 'poison'));
    fleet.clock.advance(400);
    // The innocent request is in flight at a second crash by chance; each entry reports its own losses.
    fleet.poll(1, [], lost('t-1', 'innocent'));
    fleet.clock.advance(200);
    fleet.poll(0, [], lost('t-1', 'poison'));
    fleet.clock.advance(400);
    expect(fleet.poll(0).quarantined).toEqual([]);
    fleet.poll(0, [], lost('t-2', 'poison', 'other'));
    fleet.clock.advance(400);
    expect(fleet.poll(0).quarantined).toEqual(['poison']);
    expect(fleet.poll(0).suspectedFingerprints).toEqual([]);
  });

  it('quarantines after losses at two targets without a success in between, and releases after 5 min', () => {
    const fleet = makeFleet();
    const reportLoss = (target: string, cleared: readonly string[] = []): void => {
      fleet.poll(0, [], lost(target, 'p'), cleared);
      fleet.clock.advance(400);
    };
    reportLoss('t-0', ['p']);
    reportLoss('t-1');
    expect(fleet.poll(0).quarantined).toEqual([]);
    reportLoss('t-2');
    expect(fleet.poll(0).quarantined).toEqual(['p']);
    fleet.clock.advance(300_000);
    expect(fleet.poll(0).quarantined).toEqual([]);
  });

  it('counts lost requests against a target that loses many, not against targets that a poison request crashes', () => {
    const run = (loseAt: (i: number) => { target: string; fingerprints: string[] } | undefined) => {
      const fleet = makeFleet();
      fleet.run(2_000, healthy);
      let i = 0;
      const ejectedAt = fleet.run(6_000, (entry, target, random) => {
        if (target === BAD) {
          const loss = loseAt(i);
          i += 1;
          if (loss !== undefined) fleet.poll(entry, [], lost(loss.target, ...loss.fingerprints));
        }
        return healthy(entry, target, random);
      });
      return [...ejectedAt.keys()];
    };
    const losingTarget = run((i) => ({ target: BAD, fingerprints: [`q-${i}`, `r-${i}`] }));
    expect(losingTarget).toEqual([BAD]);
    // Every 250 ms the poison request crashes one of three targets, with five other requests in flight.
    const others = (i: number) => Array.from({ length: 5 }, (_, j) => `r-${i}-${j}`);
    const crashedTargets = run((i) =>
      i % 8 === 0
        ? { target: `t-${(i / 8) % 3}`, fingerprints: ['poison', ...others(i)] }
        : undefined,
    );
    expect(crashedTargets).toEqual([]);
  });
});
