/**
 * Admission by rank, the retry budget and placement together, under the load patterns of lesson booking with uneven demand, in
 * virtual time, with a hub lost in the middle.
 */
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { AdmissionSim, type SimCallers, type SimKind } from './testing/AdmissionSim.js';
import { HubLevels } from './testing/HubLevels.js';
import { HubRouting, RETRY_LIMITS } from './testing/HubRouting.js';

const BEFORE_MS = 8_000;
const HALF_MS = 4_000;
const SEED = 11;

const KINDS: readonly SimKind[] = [
  { rank: 0, perSecond: 234, workMs: 189, deadlineMs: 1_200 },
  { rank: 1, perSecond: 468, workMs: 239, deadlineMs: 1_500 },
  { rank: 2, perSecond: 166, workMs: 300, deadlineMs: 3_000 },
];
const MEAN_WORK_MS = 237;

/** The usual demand takes 0.86 of their slots. */
const TARGETS = 84;

const TEAMS = new Map(
  Array.from({ length: 40 }, (_, i) => [`team-${i}`, i < 3 ? 0.1 : 0.7 / 37] as const),
);
const FLOODING = 'team-0';

/** Bounds of the work plan. */
const MAX_RANK_INVERSION = 0.05;
const MIN_MEAN_SHARE = 0.25;

/** Between two decisions, own and received requests may use this part of the room of a receiver. */
const MAX_RECEIVER_USE = 0.95;

const PATTERNS: Readonly<Record<string, (sim: AdmissionSim) => void>> = {
  'a burst of the least urgent kind': (sim) => {
    Object.assign(sim, { growthOf: ({ rank }: SimKind) => (rank === 2 ? 5 : 1) });
  },
  'one team at eight times its usual demand': (sim) => {
    Object.assign(sim, { growthOf: (_: SimKind, team: string) => (team === FLOODING ? 8 : 1) });
  },
  'half of the targets slow': (sim) => sim.targets.slowDown(0.5, 4.1),
  'half of the requests rejected': (sim) => Object.assign(sim.targets, { rejectedShare: 0.5 }),
};

interface Outcome {
  readonly callers: readonly SimCallers[];
  readonly routing: HubRouting;
}

function simulate(pattern: string, entries: number): Outcome {
  let routing: HubRouting | undefined;
  const sim = new AdmissionSim({
    seed: SEED,
    entries,
    targets: TARGETS,
    kinds: KINDS,
    teams: TEAMS,
    admission: ({ clock, targets }) => new HubLevels(clock, targets, entries, SEED),
    routing: ({ clock, targets }) => {
      routing = new HubRouting(clock, targets, entries, MEAN_WORK_MS, SEED);
      return routing;
    },
  });
  sim.run(BEFORE_MS);
  PATTERNS[pattern]!(sim);
  sim.startRecording();
  sim.run(HALF_MS);
  sim.loseHub();
  sim.run(HALF_MS);
  const callers = sim.stopRecording();
  sim.run(HALF_MS);
  return { callers, routing: routing! };
}

/** Several tests look at the same run. */
const outcomes = new Map<string, Outcome>();

function outcomeOf(pattern: string, entries: number): Outcome {
  const key = `${pattern} ${entries}`;
  const outcome = outcomes.get(key) ?? simulate(pattern, entries);
  outcomes.set(key, outcome);
  return outcome;
}

function servedShare(
  callers: readonly SimCallers[],
  isCounted: (callers: SimCallers) => boolean = () => true,
): number {
  const counted = callers.filter(isCounted);
  const sum = (field: 'callers' | 'served'): number =>
    counted.reduce((total, record) => total + record[field], 0);
  return sum('served') / sum('callers');
}

function countIn(times: readonly number[], to: number): number {
  return times.filter((at) => at > to - RETRY_LIMITS.windowMs && at <= to).length;
}

describe('admission, retries and placement together', () => {
  Object.keys(PATTERNS).forEach((pattern) => {
    [100, 300].forEach((entries) => {
      describe(`${pattern}, ${entries} entries`, () => {
        // Guards against parts that are right alone and starve a kind or a team together.
        it('keep the order of ranks and the minimum of ranks and teams', () => {
          const { callers } = outcomeOf(pattern, entries);
          const minimum = MIN_MEAN_SHARE * servedShare(callers);
          const shares = KINDS.map(({ rank }) => servedShare(callers, (c) => c.rank === rank));
          shares.forEach((share, rank) => {
            expect(share).toBeGreaterThanOrEqual(minimum);
            const lessUrgent = Math.max(0, ...shares.slice(rank + 1));
            expect(share).toBeGreaterThanOrEqual(lessUrgent - MAX_RANK_INVERSION);
          });
          [...TEAMS.keys()]
            .filter((team) => team !== FLOODING)
            .forEach((team) =>
              expect(servedShare(callers, (c) => c.team === team)).toBeGreaterThanOrEqual(minimum),
            );
        });

        // Guards against retries that exceed the budget while refused requests earn some.
        it('keep to the retry budget in each window', () => {
          const { offeredAt, retriedAt } = outcomeOf(pattern, entries).routing;
          const { ratio, slack, windowMs } = RETRY_LIMITS;
          for (let end = windowMs; end <= BEFORE_MS + 3 * HALF_MS; end += 250) {
            const earning = [0, windowMs / 2, windowMs].map((by) => countIn(offeredAt, end - by));
            const allowed = ratio * Math.max(...earning) + slack;
            expect(countIn(retriedAt, end)).toBeLessThanOrEqual(allowed);
          }
        });

        // Guards against data centres that trade the same work, and against a receiver without room.
        it('send nothing both ways, and no more than there is room for', () => {
          const { decisions, roomPerSecond } = outcomeOf(pattern, entries).routing;
          const crossings = decisions.flatMap(({ table, demand }) => {
            const flows = [...table].flatMap(([from, row]) =>
              [...row].map(([to, share]) => ({ from, to, perSecond: share * demand.get(from)! })),
            );
            const senders = new Set(flows.map(({ from }) => from));
            flows.forEach(({ to }) => {
              const received = flows.filter((flow) => flow.to === to);
              const use = received.reduce((sum, flow) => sum + flow.perSecond, demand.get(to)!);
              expect(senders.has(to)).toEqual(false);
              expect(use / roomPerSecond).toBeLessThanOrEqual(MAX_RECEIVER_USE);
            });
            return flows;
          });
          expect(crossings.length).toBeGreaterThan(0);
        });
      });
    });
  });
});
