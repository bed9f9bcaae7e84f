import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { Coordinator } from './Coordinator.js';
import { TargetPool } from './TargetPool.js';
import { bucketsOf } from './testing.js';
import type { Announcement, AnnouncedState, CoordinateResponse, TargetDigest } from './types.js';

const SERVICE = 'orders';
const FLOOR = 0.6;
const TARGETS = 8;
const ENTRIES = 4;
const STEPS = 400;

const minimum = (count: number): number => Math.ceil(count * FLOOR - 1e-9);

function makePool(clock: VirtualClock, random: Random, entry: string, floor: number): TargetPool {
  return new TargetPool({
    clock,
    random,
    entry,
    dataCentre: 'dc-0',
    floor: () => floor,
    entryCount: () => ENTRIES,
  });
}

/** Targets to which a pool would send a non-idempotent request, found by choosing until none is left. */
function normalTargets(pool: TargetPool): string[] {
  const exclude = new Set<string>();
  for (;;) {
    const lease = pool.tryChoose({ isIdempotent: false, exclude });
    if (lease === undefined) return [...exclude];
    exclude.add(lease.target);
    lease.finish('cancelled', 0);
  }
}

/** Number of times that a coordinator or an entry was below the floor after a random step. */
function countViolations(seed: number, floor: number): number {
  const random = new Random(seed);
  const clock = new VirtualClock();
  const coordinators = [new Coordinator({ clock }), new Coordinator({ clock })];
  coordinators.forEach((c) =>
    c.setServices([{ service: SERVICE, profile: 'prompt-detection', floor }]),
  );
  const entries = Array.from({ length: ENTRIES }, (_, i) => ({
    name: `entry-${i}`,
    pool: makePool(clock, random.fork(), `entry-${i}`, floor),
    // With a floor of 1 every usable target is a candidate, which gives the reference count.
    all: makePool(clock, random.fork(), `entry-${i}`, 1),
  }));
  let sequence = 0;
  const announce = (target: number): void => {
    sequence += 1;
    const state = random.pick<AnnouncedState>(['up', 'up', 'up', 'up', 'draining', 'leaving'])!;
    const announcement: Announcement = {
      service: SERVICE,
      target: `t-${target}`,
      address: `10.0.0.${target}:80`,
      dataCentre: `dc-${target % 2}`,
      incarnation: Math.floor(sequence / 150),
      sequence,
      state: sequence < 40 ? 'up' : state,
      slots: 6,
      maxConnections: 350,
      isCold: false,
      ageMs: random.int(200),
    };
    // The coordinators' views differ: each announcement may miss either of them.
    coordinators.forEach((c) => random.chance(0.7) && c.handleAnnouncements([announcement]));
  };
  const isBad = Array.from({ length: TARGETS }, () => random.chance(0.6));
  const digestOf = (target: number): TargetDigest => ({
    target: `t-${target}`,
    succeeded: 4,
    failed: isBad[target] ? 6 : 0,
    shed: 0,
    // No load, so that a target without room is one that is out of rotation.
    outstanding: 0,
    latencyBuckets: bucketsOf([10, 11, 12, isBad[target] ? 200 : 13]),
  });
  const poll = (): CoordinateResponse => {
    const { name, pool, all } = random.pick(entries)!;
    const digests = Array.from({ length: TARGETS }, (_, i) => digestOf(i));
    const request = { from: name, service: SERVICE, revision: 1, digests, lost: [], cleared: [] };
    const res = random.pick(coordinators)!.handleCoordinate(request);
    const askedAt = clock.now() - random.int(100);
    pool.update(res, askedAt);
    all.update(res, askedAt);
    return res;
  };
  let count = 0;
  for (let step = 0; step < STEPS; step += 1) {
    for (let target = 0; target < TARGETS; target += 1) if (random.chance(0.3)) announce(target);
    if (random.chance(0.02)) isBad[random.int(TARGETS)] = random.chance(0.6);
    const { targets } = poll();
    const usable = targets.filter(
      ({ announcement }) => announcement.state === 'up' && announcement.ageMs < 2_500,
    );
    const inRotation = usable.filter(({ status }) => status === 'inRotation').length;
    if (inRotation < minimum(usable.length)) count += 1;
    const isShort = ({ pool, all }: (typeof entries)[number]): boolean =>
      normalTargets(pool).length < minimum(normalTargets(all).length);
    if (entries.some(isShort)) count += 1;
    entries.forEach(({ pool }) => {
      const lease = pool.tryChoose({ isIdempotent: true, exclude: new Set() });
      lease?.finish(random.chance(0.5) ? 'failed' : 'succeeded', 10);
    });
    clock.advance(random.int(120));
  }
  return count;
}

describe('floor', () => {
  const seeds = Array.from({ length: 30 }, (_, i) => i + 1);

  it('holds for random announcements and evidence at two coordinators with different views', () => {
    expect(seeds.map((seed) => countViolations(seed, FLOOR))).toEqual(seeds.map(() => 0));
  });

  it('is violated with a floor of 0, which shows that the check detects it', () => {
    expect(seeds.some((seed) => countViolations(seed, 0) > 0)).toEqual(true);
  });
});
