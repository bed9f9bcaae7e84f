import { EventEmitter } from 'node:events';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ActiveRequests } from './ActiveRequests.js';
import type { Transaction } from './ResponseWriter.js';

interface FakeTransaction {
  readonly tx: Transaction;
  readonly res: EventEmitter;
}

function makeTransaction(): FakeTransaction {
  const res = new EventEmitter();
  return { tx: { connection: {}, res } as unknown as Transaction, res };
}

const NEVER = new Promise<string>(() => {
  // Stands for a wait that never ends.
});

describe('ActiveRequests', () => {
  // The process ended while a response was still buffered because its caller read slowly.
  it('counts a request until its response is written, and not only until it has an outcome', () => {
    const active = new ActiveRequests();
    const { tx, res } = makeTransaction();
    active.add(tx);
    expect(active.count).toEqual(1);
    res.emit('close');
    expect(active.count).toEqual(0);
  });

  it('does not count a request whose connection is lost before the turn of its response', () => {
    const active = new ActiveRequests();
    const { tx } = makeTransaction();
    active.add(tx);
    active.add(makeTransaction().tx);
    active.removeConnection(tx.connection);
    expect(active.count).toEqual(1);
  });

  it('ends the waits in progress and each later one', async () => {
    const active = new ActiveRequests();
    const { tx } = makeTransaction();
    expect(await active.wait(tx, Promise.resolve('body'))).toEqual({ kind: 'done', value: 'body' });
    const waiting = active.wait(tx, NEVER);
    active.endWaits();
    expect(await waiting).toEqual({ kind: 'stopped' });
    expect(await active.wait(tx, NEVER)).toEqual({ kind: 'stopped' });
  });

  // The end of the wait for a body removed the wait for a token that had followed it, so that a stop did not end that one.
  it('ends a wait that has followed another one for some time', async () => {
    const active = new ActiveRequests();
    const { tx } = makeTransaction();
    await active.wait(tx, Promise.resolve('body'));
    const waiting = active.wait(tx, NEVER);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    active.endWaits();
    const timedOut = new Promise((resolve) => {
      setTimeout(() => resolve('not ended'), 50);
    });
    expect(await Promise.race([waiting, timedOut])).toEqual({ kind: 'stopped' });
  });

  it('gives up the runs that have no outcome yet', async () => {
    const active = new ActiveRequests();
    const given: string[] = [];
    const run = (name: string) => ({ giveUp: () => given.push(name) });
    await active.track(makeTransaction().tx, run('ended'), Promise.resolve());
    const pending = active.track(makeTransaction().tx, run('pending'), Promise.race([NEVER]));
    active.giveUp();
    expect(given).toEqual(['pending']);
    await Promise.race([pending, Promise.resolve()]);
  });
});
