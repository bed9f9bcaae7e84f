import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import fc from 'fast-check';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { FairQueue } from './FairQueue.js';
import { ModelQueue } from './ModelQueue.js';
import { FifoQueue } from './testing.js';
import type { AcquireRequest, AdmissionOutcome, Permit } from './types.js';

/** Permits for the requests of a queue. The test sets how many are free. */
function makePermitSource() {
  const source = {
    free: 0,
    tryAcquire: (): Permit | undefined => {
      if (source.free === 0) return undefined;
      source.free -= 1;
      return { dispose: () => undefined };
    },
  };
  return source;
}

type Outcome = AdmissionOutcome<Permit>;

function makeQueue(maxWaiting = 1_000, maxWaitingPerTeam = 1_000) {
  const clock = new VirtualClock();
  const source = makePermitSource();
  const { tryAcquire } = source;
  const queue = new FairQueue({ clock, tryAcquire, maxWaiting, maxWaitingPerTeam });
  const log: string[] = [];
  const add = (id: string, team: string, deadlineAt = 1e6): IDisposable =>
    queue.enqueue({ team, deadlineAt, isIdempotent: true }, (outcome) =>
      log.push(`${id}:${outcome.kind}`),
    );
  const serve = (): void => {
    source.free = 1;
    queue.wake();
    source.free = 0;
  };
  return { clock, source, queue, log, add, serve };
}

/** Offers 5 requests of a greedy and 1 of a modest team per 2 permits. Returns the modest team's admitted share. */
function modestShare(kind: 'fair' | 'fifo'): number {
  const clock = new VirtualClock();
  const source = makePermitSource();
  const { tryAcquire } = source;
  const limits = { maxWaiting: 40, maxWaitingPerTeam: 30 };
  const queue =
    kind === 'fair'
      ? new FairQueue({ clock, tryAcquire, ...limits })
      : new FifoQueue({ clock, tryAcquire, maxWaiting: limits.maxWaiting });
  const served: string[] = [];
  const request = (team: string): void => {
    const req: AcquireRequest = { team, deadlineAt: clock.now() + 100, isIdempotent: true };
    queue.enqueue(req, (outcome: Outcome) => outcome.kind === 'admitted' && served.push(team));
  };
  for (let i = 0; i < 400; i += 1) {
    for (let j = 0; j < 5; j += 1) request('greedy');
    request('modest');
    source.free = 2;
    queue.wake();
    source.free = 0;
    clock.advance(10);
  }
  return served.filter((team) => team === 'modest').length / 400;
}

describe('FairQueue', () => {
  it('serves in the order of the reference model for any sequence of additions, cancellations and permits', () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('add' as const), team: fc.constantFrom('a', 'b', 'c', 'd') }),
      fc.record({ kind: fc.constant('serve' as const) }),
      fc.record({ kind: fc.constant('cancel' as const), index: fc.nat(30) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
        const { add, serve, log } = makeQueue();
        const model = new ModelQueue();
        const added: { id: string; handle: IDisposable }[] = [];
        const expected: string[] = [];
        steps.forEach((item, i) => {
          if (item.kind === 'add') {
            added.push({ id: `${i}`, handle: add(`${i}`, item.team) });
            model.add(`${i}`, item.team);
          } else if (item.kind === 'serve') {
            serve();
            const id = model.serve();
            if (id !== undefined) expected.push(`${id}:admitted`);
          } else {
            const cancelled = added[item.index];
            cancelled?.handle.dispose();
            if (cancelled !== undefined) model.remove(cancelled.id);
          }
        });
        expect(log.filter((line) => line.endsWith('admitted'))).toEqual(expected);
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  it('serves the modest team in full next to a greedy one; a FIFO queue fails the same check', () => {
    expect(modestShare('fair')).toBeGreaterThanOrEqual(0.99);
    expect(modestShare('fifo')).toBeLessThan(0.9);
  });

  it('reports exactly one outcome per request and has no waiting request left after it is disposed of', () => {
    const random = new Random(5);
    const { clock, source, queue, log, add } = makeQueue(20, 8);
    for (let i = 0; i < 2_000; i += 1) {
      const handle = add(`${i}`, `team-${random.int(6)}`, clock.now() + random.int(30));
      if (random.chance(0.2)) handle.dispose();
      clock.advance(random.int(5));
      if (random.chance(0.6)) source.free += 1;
      queue.wake();
    }
    queue.dispose();
    expect(queue.waiting).toEqual(0);
    expect(new Set(log.map((line) => line.split(':')[0])).size).toEqual(2_000);
    expect(log.length).toEqual(2_000);
  });

  it('reports timedOut at the deadline and does not admit the request afterwards', () => {
    const { clock, log, add, serve } = makeQueue();
    add('late', 'a', 50);
    clock.advance(50);
    serve();
    expect(log).toEqual(['late:timedOut']);
  });

  it('displaces the newest request of the longest team queue when full, never one of a shorter queue', () => {
    const { log, add } = makeQueue(4, 4);
    ['g1', 'g2', 'g3', 'g4'].forEach((id) => add(id, 'greedy'));
    add('m1', 'modest');
    add('g5', 'greedy');
    expect(log).toEqual(['g4:queueFull', 'g5:queueFull']);
  });

  it('cancels a waiting request when its AbortSignal aborts', async () => {
    const { queue } = makeQueue();
    const abort = new AbortController();
    const { signal } = abort;
    const outcome = queue.acquire({ team: 'a', deadlineAt: 100, isIdempotent: true, signal });
    abort.abort();
    expect(await outcome).toEqual({ kind: 'cancelled' });
    expect(queue.waiting).toEqual(0);
  });
});
