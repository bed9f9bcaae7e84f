/** Compares latency and throughput of an entry's HTTP path with direct requests and a naive proxy. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { defineCommand } from 'citty';
import { build } from 'hdr-histogram-js';
import { sendAtRate, saturate } from './load.js';
import type { PhaseResult, ServerKind, WorkerInput } from './types.js';

const CONNECTIONS = 32;
const DEFAULT_ROUNDS = 5;
const DEFAULT_PHASE_MS = 2_000;
const WARM_UP_MS = 1_000;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

type Subject = 'direct' | 'naive' | 'entry';
type Addresses = Readonly<Record<Subject, string>>;
type Results = Record<Subject, PhaseResult[]>;

const SUBJECTS: readonly Subject[] = ['direct', 'naive', 'entry'];

async function startServer(
  kind: ServerKind,
  input: Omit<WorkerInput, 'kind'>,
): Promise<{ worker: Worker; address: string }> {
  const file = new URL('./server-worker.js', import.meta.url);
  const worker = new Worker(file, { workerData: { kind, ...input } });
  const [address] = (await once(worker, 'message')) as [string];
  return { worker, address };
}

/** Runs the subjects alternately, so that a change of the machine's load affects all of them. */
async function runAlternating(
  rounds: number,
  run: (subject: Subject) => Promise<PhaseResult>,
): Promise<Results> {
  const results: Results = { direct: [], naive: [], entry: [] };
  for (let round = 0; round < rounds; round += 1) {
    const shift = round % SUBJECTS.length;
    const order = [...SUBJECTS.slice(shift), ...SUBJECTS.slice(0, shift)];
    await order.reduce(async (before, subject) => {
      await before;
      results[subject].push(await run(subject));
    }, Promise.resolve());
  }
  return results;
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;
}

function throughput(phases: readonly PhaseResult[]): number {
  return median(phases.map(({ requests, durationMs }) => (requests / durationMs) * MS_PER_SECOND));
}

/** Median over the rounds of a percentile, in milliseconds. */
function percentile(phases: readonly PhaseResult[], percent: number): number {
  const values = phases.map(({ latenciesUs }) => {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    latenciesUs.forEach((value) => histogram.recordValue(Math.max(1, Math.round(value))));
    return histogram.getValueAtPercentile(percent) / US_PER_MS;
  });
  return median(values);
}

function countFailures(phases: readonly PhaseResult[]): number {
  return phases.reduce((sum, phase) => sum + phase.failures, 0);
}

async function measure(addresses: Addresses, rounds: number, phaseMs: number): Promise<void> {
  await runAlternating(1, (subject) => saturate(addresses[subject], CONNECTIONS, WARM_UP_MS));
  const saturated = await runAlternating(rounds, (subject) =>
    saturate(addresses[subject], CONNECTIONS, phaseMs),
  );
  const rate = throughput(saturated.entry) / 2;
  const halfLoad = await runAlternating(rounds, (subject) =>
    sendAtRate(addresses[subject], CONNECTIONS, rate, phaseMs),
  );
  console.log(`half of the entry's saturating load: ${rate.toFixed(0)} requests/s`);
  console.table(
    SUBJECTS.map((subject) => ({
      subject,
      'requests/s': Math.round(throughput(saturated[subject])),
      'p50 ms at half load': percentile(halfLoad[subject], 50).toFixed(2),
      'p99 ms at half load': percentile(halfLoad[subject], 99).toFixed(2),
      failures: countFailures(saturated[subject]) + countFailures(halfLoad[subject]),
    })),
  );
  const added = (percent: number): string =>
    (percentile(halfLoad.entry, percent) - percentile(halfLoad.direct, percent)).toFixed(2);
  const ratio = throughput(saturated.entry) / throughput(saturated.naive);
  console.log(`added latency: p50 ${added(50)} ms, p99 ${added(99)} ms (goal: 2.3 ms at p99)`);
  console.log(`throughput against the naive proxy: ${ratio.toFixed(2)} (goal: at least 0.7)`);
}

export const pathCommand = defineCommand({
  meta: { name: 'path', description: 'Added latency and throughput of the HTTP path' },
  args: {
    rounds: { type: 'string', default: String(DEFAULT_ROUNDS), description: 'Rounds per subject' },
    phaseMs: { type: 'string', default: String(DEFAULT_PHASE_MS), description: 'Time of a phase' },
    teams: { type: 'string', default: '10', description: 'Teams in the lists of the entry' },
  },
  run: async ({ args }) => {
    const teams = Number(args.teams);
    const upstream = await startServer('upstream', { upstream: '', teams });
    const proxyInput = { upstream: upstream.address, teams };
    const naive = await startServer('naive', proxyInput);
    const entry = await startServer('entry', proxyInput);
    const addresses = { direct: upstream.address, naive: naive.address, entry: entry.address };
    console.log(`${args.rounds} alternating rounds of ${args.phaseMs} ms, ${args.teams} teams`);
    await measure(addresses, Number(args.rounds), Number(args.phaseMs));
    await Promise.all([upstream, naive, entry].map(({ worker }) => worker.terminate()));
  },
});
