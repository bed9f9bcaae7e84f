/** Test fixtures. */
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { Coordinator } from './Coordinator.js';
import type { ProfileParameters } from './profiles.js';
import { TargetPool } from './TargetPool.js';
import { bucketsOf } from './testing.js';
import type { Announcement, CoordinateResponse, LostRequest, TargetDigest } from './types.js';

export const SERVICE = 'orders';

export interface FixtureOptions {
  readonly targets?: number;
  readonly entries?: number;
  readonly floor?: number;
  readonly parameters?: Partial<ProfileParameters>;
}

export function announcementOf(
  target: string,
  overrides: Partial<Announcement> = {},
): Announcement {
  return {
    service: SERVICE,
    target,
    address: '10.0.0.1:80',
    dataCentre: 'dc-0',
    incarnation: 1,
    sequence: 1,
    state: 'up',
    slots: 6,
    maxConnections: 350,
    isCold: false,
    ageMs: 0,
    ...overrides,
  };
}

export function digestOf(target: string, latenciesMs: readonly number[], failed = 0): TargetDigest {
  const succeeded = latenciesMs.length;
  const latencyBuckets = bucketsOf(latenciesMs);
  return { target, succeeded, failed, shed: 0, outstanding: 0, latencyBuckets };
}

export function poolOf(clock: VirtualClock, entry = 'entry-0', floor = 0.6): TargetPool {
  const random = new Random(1);
  const options = { clock, random, entry, dataCentre: 'dc-0', entryCount: () => 1 };
  return new TargetPool({ ...options, floor: () => floor });
}

/** Samples of one entry at one target for one poll. */
export type Sampler = (entry: number, target: string, random: Random) => TargetDigest;

export interface FleetFixture {
  readonly clock: VirtualClock;
  readonly coordinator: Coordinator;
  /** Polls once for an entry. */
  readonly poll: (
    entry: number,
    digests?: readonly TargetDigest[],
    lost?: readonly LostRequest[],
    cleared?: readonly string[],
  ) => CoordinateResponse;
  /** Runs for `durationMs` and returns, per target, the time of its first ejection. */
  readonly run: (durationMs: number, sample: Sampler) => Map<string, number>;
}

/** A coordinator with announced targets and entries that poll it every 250 ms. */
export function makeFleet(options: FixtureOptions = {}): FleetFixture {
  const { targets = 10, entries = 8, floor = 0.6, parameters } = options;
  const clock = new VirtualClock();
  const random = new Random(42);
  const coordinator = new Coordinator({ clock, parameters });
  coordinator.setServices([{ service: SERVICE, profile: 'prompt-detection', floor }]);
  const names = Array.from({ length: targets }, (_, i) => `t-${i}`);
  let sequence = 0;
  const announce = (overrides: Partial<Announcement> = {}): void => {
    sequence += 1;
    coordinator.handleAnnouncements(
      names.map((name) => announcementOf(name, { sequence, ...overrides })),
    );
  };
  const poll: FleetFixture['poll'] = (entry, digests = [], lost = [], cleared = []) => {
    const from = `entry-${entry}`;
    const digest = { digests, lost, cleared };
    return coordinator.handleCoordinate({ from, service: SERVICE, revision: 1, ...digest });
  };
  const run: FleetFixture['run'] = (durationMs, sample) => {
    const ejectedAt = new Map<string, number>();
    const start = clock.now();
    for (let atMs = 0; atMs < durationMs; atMs += 250) {
      announce();
      for (let entry = 0; entry < entries; entry += 1) {
        const res = poll(
          entry,
          names.map((name) => sample(entry, name, random)),
        );
        res.targets
          .filter(({ status }) => status === 'ejected')
          .map(({ announcement }) => announcement.target)
          .filter((target) => !ejectedAt.has(target))
          .forEach((target) => ejectedAt.set(target, clock.now() - start));
        clock.advance(250 / entries);
      }
    }
    return ejectedAt;
  };
  announce();
  return { clock, coordinator, poll, run };
}

/** Three requests of a healthy target: log-normal around 20 ms, 0.2% failed. */
export const healthy: Sampler = (_, target, random) => {
  const latencies = Array.from({ length: 3 }, () => random.logNormal(20, 0.5));
  return digestOf(target, latencies, random.chance(0.006) ? 1 : 0);
};
