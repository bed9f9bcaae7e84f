/** The scenarios of the experiments: which faults or loads a run has, and when. Times are in ms from its start. */
import type { Variant } from './EntryModel.js';
import type { FakeTarget } from './FakeTarget.js';
import type { FleetModel } from './FleetModel.js';

export type ScenarioGroup = 'detection' | 'limits' | 'fairness' | 'retries';

export interface Scenario {
  readonly name: string;
  readonly group: ScenarioGroup;
  readonly title: string;
  readonly durationMs: number;
  readonly variants: readonly Variant[];
  readonly setUp: (fleet: FleetModel) => void;
  /** Team that sends more than its rate and is left out of the shares and team figures. */
  readonly greedyTeam?: string;
}

const OURS: Variant = { name: 'ours', pool: 'ours', queue: 'fair', retries: 'budget' };
const NAIVE: Variant = { name: 'naive', pool: 'naive', queue: 'fifo', retries: 'unlimited' };
const FIFO: Variant = { ...OURS, name: 'ours with FIFO', queue: 'fifo' };
const UNLIMITED: Variant = { ...OURS, name: 'ours with unlimited retries', retries: 'unlimited' };
const BOTH = [OURS, NAIVE];

const FAULT_AT_MS = 3_000;
/** Interval between two drains, with which about a fifth of the targets is out or cold at any time. */
const DRAIN_INTERVAL_MS = 2_000;

/** Requests/s that all slots together can serve in the scenarios with a greedy team. */
const OVERLOADED_CAPACITY = 3_000;

/** Ratio of mean to median of a log-normal service time with sigma 0.5. */
const MEAN_TO_MEDIAN = 1.13;

const GREEDY_TEAM = 'large-2';
const GREEDY_RATE_FACTOR = 5;

/** Selects at least one target, from the end, so that a lost or skewed first data centre stays a separate fault. */
function lastTargets(fleet: FleetModel, share: number): FakeTarget[] {
  return fleet.targets.slice(-Math.max(1, Math.round(fleet.targets.length * share)));
}

function startGreedyTeam(fleet: FleetModel): void {
  fleet.rateFactors.set(GREEDY_TEAM, GREEDY_RATE_FACTOR);
}

/** Slows down all targets, so that the greedy team alone can occupy all slots. */
function shrinkCapacity(fleet: FleetModel): void {
  const { targets, slots, serviceMedianMs } = fleet.deployment;
  const meanServiceMs = (targets * slots * 1_000) / OVERLOADED_CAPACITY;
  const paceFactor = meanServiceMs / serviceMedianMs / MEAN_TO_MEDIAN;
  fleet.targets.forEach((target) => Object.assign(target, { paceFactor }));
}

function flap(fleet: FleetModel, target: FakeTarget, periodMs: number, times: number): void {
  if (times === 0) return;
  fleet.startFault(target, { failRate: 0.5 }, false);
  fleet.at(periodMs, () => fleet.endFault(target));
  fleet.at(2 * periodMs, () => flap(fleet, target, periodMs, times - 1));
}

function restartEntries(fleet: FleetModel): void {
  fleet.entryVms.forEach((entryVm, i) => {
    const drainAt = FAULT_AT_MS + i * 300;
    fleet.at(drainAt, () => Object.assign(entryVm.entry ?? {}, { isDraining: true }));
    fleet.at(drainAt + 2_000, () => fleet.stopEntry(entryVm));
    fleet.at(drainAt + 3_000, () => fleet.startEntry(entryVm));
  });
}

function loseDataCentre(fleet: FleetModel, dataCentre: string): void {
  fleet.entryVms
    .filter((entryVm) => entryVm.dataCentre === dataCentre)
    .forEach((entryVm) => fleet.stopEntry(entryVm));
  fleet.targets
    .filter((target) => target.dataCentre === dataCentre)
    .forEach((target) => target.crash(Number.POSITIVE_INFINITY));
}

function drainTargets(fleet: FleetModel): void {
  fleet.targets.slice(-10).forEach((target, i) => {
    const leaveAt = FAULT_AT_MS + i * DRAIN_INTERVAL_MS;
    fleet.at(leaveAt, () => fleet.leave(target));
    fleet.at(leaveAt + 5_000, () => target.crash(1_000));
  });
}

export const SCENARIOS: readonly Scenario[] = [
  {
    name: 'slow-target',
    group: 'detection',
    title: 'A target turns 5x slow',
    durationMs: 12_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () => fleet.startFault(lastTargets(fleet, 0)[0]!, { slowFactor: 5 })),
  },
  {
    name: 'failing-target',
    group: 'detection',
    title: 'A target fails 30%',
    durationMs: 12_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () => fleet.startFault(lastTargets(fleet, 0)[0]!, { failRate: 0.3 })),
  },
  {
    name: 'gray-targets',
    group: 'detection',
    title: 'Three targets serve badly (3.5x slow, 20% failed); health and load checks pass',
    durationMs: 15_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () =>
        fleet.targets
          .slice(-3)
          .forEach((t) => fleet.startFault(t, { slowFactor: 3.5, failRate: 0.2 })),
      ),
  },
  {
    name: 'flapping-targets',
    group: 'detection',
    title: 'Two targets flap: 50% failed for 3 s of every 6 s',
    durationMs: 40_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () => fleet.targets.slice(-2).forEach((t) => flap(fleet, t, 3_000, 6))),
  },
  {
    name: 'cut-links',
    group: 'detection',
    title: 'Five entries cannot reach three targets each',
    durationMs: 20_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () =>
        [0, 3, 6, 9, 12].forEach((entry) =>
          fleet.random
            .shuffle(fleet.targets)
            .slice(0, 3)
            .forEach((target) => fleet.cut(entry, target)),
        ),
      ),
  },
  {
    name: 'bad-reporter',
    group: 'detection',
    title: 'One entry has bad links to all targets (30% lost, +100 ms)',
    durationMs: 20_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () =>
        Object.assign(fleet.entryVms[5]!.entry!, { badLinks: { delayMs: 50, loss: 0.3 } }),
      ),
  },
  {
    name: 'slow-data-centre',
    group: 'detection',
    title: 'All targets of one data centre turn 5x slow',
    durationMs: 15_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () =>
        fleet.targets
          .filter(({ dataCentre }) => dataCentre === 'dc-2')
          .forEach((target) => fleet.startFault(target, { slowFactor: 5 })),
      ),
  },
  {
    name: 'most-bad',
    group: 'detection',
    title: 'Seven in ten targets fail 50% (the floor allows four in ten out)',
    durationMs: 15_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () =>
        lastTargets(fleet, 0.7).forEach((t) => fleet.startFault(t, { failRate: 0.5 }, false)),
      ),
  },
  {
    name: 'healthy-noise',
    group: 'detection',
    title: 'Healthy noise: stalls, 0.2% failures',
    durationMs: 60_000,
    variants: BOTH,
    setUp: () => undefined,
  },
  {
    name: 'cold-starts',
    group: 'detection',
    title: 'Six targets restart cold (4x slow for 5 s)',
    durationMs: 20_000,
    variants: BOTH,
    setUp: (fleet) =>
      fleet.targets.slice(-6).forEach((target, i) => {
        fleet.at(FAULT_AT_MS + i * 1_000, () => {
          fleet.leave(target);
          fleet.at(3_500, () => target.crash(500));
        });
      }),
  },
  {
    name: 'rolling-drain',
    group: 'limits',
    title: 'Ten targets leave and restart cold in turn',
    durationMs: 30_000,
    variants: BOTH,
    setUp: drainTargets,
  },
  {
    name: 'poison',
    group: 'retries',
    title: 'A poison request is resent by its caller',
    durationMs: 15_000,
    variants: BOTH,
    setUp: (fleet) => fleet.at(FAULT_AT_MS, () => fleet.sendPoison()),
  },
  {
    name: 'greedy-team',
    group: 'fairness',
    title: 'One team sends five times its rate; slots for 3,000 requests/s; no budgets',
    durationMs: 12_000,
    variants: [OURS, FIFO, NAIVE],
    greedyTeam: GREEDY_TEAM,
    setUp: (fleet: FleetModel): void => {
      shrinkCapacity(fleet);
      startGreedyTeam(fleet);
    },
  },
  {
    name: 'skewed-traffic',
    group: 'fairness',
    title: '60% of the traffic goes to one entry',
    durationMs: 12_000,
    variants: BOTH,
    setUp: (fleet) => Object.assign(fleet, { skew: 0.6 }),
  },
  {
    name: 'rolling-restart',
    group: 'fairness',
    title: 'Entries restart one after the other',
    durationMs: 22_000,
    variants: BOTH,
    setUp: restartEntries,
  },
  {
    name: 'lost-data-centre',
    group: 'fairness',
    title: 'A data centre is lost (first 10 s after it)',
    durationMs: 13_000,
    variants: BOTH,
    setUp: (fleet) => fleet.at(FAULT_AT_MS, () => loseDataCentre(fleet, 'dc-2')),
  },
  {
    name: 'failing-service',
    group: 'retries',
    title: 'All targets fail 40%',
    durationMs: 12_000,
    variants: [OURS, UNLIMITED, NAIVE],
    setUp: (fleet) =>
      fleet.at(FAULT_AT_MS, () =>
        fleet.targets.forEach((target) => fleet.startFault(target, { failRate: 0.4 }, false)),
      ),
  },
  {
    name: 'gray-and-greedy',
    group: 'fairness',
    title: 'A gray target (8x slow, 20% failed) while a team sends five times its rate',
    durationMs: 15_000,
    variants: BOTH,
    greedyTeam: GREEDY_TEAM,
    setUp: (fleet: FleetModel): void => {
      shrinkCapacity(fleet);
      startGreedyTeam(fleet);
      const [gray] = lastTargets(fleet, 0);
      fleet.at(FAULT_AT_MS, () => fleet.startFault(gray!, { slowFactor: 8, failRate: 0.2 }));
    },
  },
  {
    name: 'lost-and-skewed',
    group: 'fairness',
    title: 'A data centre is lost while 60% of the traffic goes to one entry',
    durationMs: 13_000,
    variants: BOTH,
    setUp: (fleet: FleetModel): void => {
      Object.assign(fleet, { skew: 0.6 });
      fleet.at(FAULT_AT_MS, () => loseDataCentre(fleet, 'dc-2'));
    },
  },
  {
    name: 'restarts-and-flapping',
    group: 'fairness',
    title: 'Entries restart one after the other while a target flaps',
    durationMs: 30_000,
    variants: BOTH,
    setUp: (fleet: FleetModel): void => {
      restartEntries(fleet);
      fleet.at(FAULT_AT_MS, () => flap(fleet, lastTargets(fleet, 0)[0]!, 3_000, 4));
    },
  },
];
