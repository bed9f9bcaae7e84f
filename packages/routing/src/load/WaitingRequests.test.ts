import { describe, it } from 'node:test';
import { expect } from 'earl';
import { WaitingRequests, type WaitingRequest } from './WaitingRequests.js';

interface Queue {
  readonly waiting: WaitingRequests<string>;
  readonly events: string[];
  /** Number of slots that are free. */
  free: number;
  readonly add: (name: string, rank: number, startBy: number) => WaitingRequest<string>;
}

function makeQueue(): Queue {
  const waiting = new WaitingRequests<string>();
  const events: string[] = [];
  const queue: Queue = {
    waiting,
    events,
    free: 0,
    add: (name, rank, startBy) => {
      const req: WaitingRequest<string> = {
        service: 'orders',
        rank,
        dueAt: startBy + 100,
        startBy,
        tryStart: () => {
          const isStarted = queue.free > 0;
          if (isStarted) queue.free -= 1;
          return isStarted;
        },
        onEnd: (outcome) => events.push(`${name} ${outcome}`),
      };
      waiting.add(req);
      return req;
    },
  };
  return queue;
}

const rate = (): number => 0.01;

describe('WaitingRequests', () => {
  it('starts urgent requests first, then those with less time left', () => {
    const queue = makeQueue();
    queue.add('late', 1, 500);
    queue.add('archive', 2, 100);
    queue.add('soon', 1, 400);
    queue.add('urgent', 0, 900);
    queue.free = 3;
    [0, 1, 2, 3].forEach(() => queue.waiting.startFirst('orders'));
    expect(queue.events).toEqual(['urgent started', 'soon started', 'late started']);
    expect(queue.waiting.countAhead('orders', 2)).toEqual(1);
  });

  // A request that cannot be served in time must not wait until its deadline.
  it('refuses at once what would be too late at its place, and not what is before it', () => {
    const queue = makeQueue();
    queue.add('first', 0, 50);
    queue.add('second', 1, 90);
    queue.add('third', 1, 250);
    queue.waiting.update(rate, 0);
    expect(queue.events).toEqual(['second refused']);
    queue.waiting.update(rate, 60);
    expect(queue.events).toEqual(['second refused', 'first refused']);
  });

  // All entries learn of the same free slots at the same time, and sent several requests for each.
  it('starts at slots that others report at twice its share at most', () => {
    const queue = makeQueue();
    Array.from({ length: 30 }).forEach((_, i) => queue.add(`r${i}`, 1, 10_000 + i));
    queue.free = 30;
    Array.from({ length: 100 }, (_, i) => i * 10).forEach((at) => queue.waiting.update(rate, at));
    expect(queue.events.length).toBeLessThanOrEqual(2 * rate() * 1_000 + 1);
    expect(queue.events.length).toBeGreaterThanOrEqual(rate() * 1_000);
  });

  it('ends the wait of a request once', () => {
    const queue = makeQueue();
    const req = queue.add('gone', 1, 500);
    queue.waiting.remove(req, 'ended');
    queue.waiting.remove(req, 'refused');
    queue.free = 1;
    expect(queue.waiting.startFirst('orders')).toEqual(false);
    expect(queue.events).toEqual(['gone ended']);
  });
});
