import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Pool, request } from 'undici';
import { EntryFixture, TEST_KEY } from '../testing/EntryFixture.js';
import { NaiveProxy } from '../testing/NaiveProxy.js';

type Event = 'answered' | 'cut' | 'connectionRefused';

interface Tally {
  readonly events: readonly Event[];
  /** Answers that announced the end of their connection. */
  readonly closing: number;
}

const CALLERS = 20;

const REQUESTS_BEFORE = 100;

interface Sent {
  readonly event: Event;
  readonly isClosing: boolean;
}

async function sendOne(pool: Pool): Promise<Sent> {
  try {
    const headers = { 'x-api-key': TEST_KEY };
    const res = await pool.request({ path: '/orders/7', method: 'GET', headers });
    await res.body.dump();
    const isClosing = res.headers.connection === 'close';
    return { event: res.statusCode === 200 ? 'answered' : 'cut', isClosing };
  } catch (err) {
    const isRefused = (err as { code?: string }).code === 'ECONNREFUSED';
    return { event: isRefused ? 'connectionRefused' : 'cut', isClosing: false };
  }
}

/** Sends requests on a kept connection, with short and long pauses, until new connections are refused. */
async function sendUntilClosed(url: string): Promise<Sent[]> {
  const pool = new Pool(url, { connections: 1, pipelining: 1 });
  const sent: Sent[] = [];
  do {
    sent.push(await sendOne(pool));
    await sleep(sent.length % 5 === 0 ? 150 : 5);
  } while (sent.at(-1)?.event !== 'connectionRefused');
  await pool.destroy();
  return sent;
}

async function fetchJson(url: string): Promise<unknown> {
  const res = await request(url);
  return res.body.json();
}

describe('drain', () => {
  let fixture: EntryFixture;

  const runCallers = async (url: string, close: () => Promise<void>): Promise<Tally> => {
    const callers = Array.from({ length: CALLERS }, () => sendUntilClosed(url));
    // A count and not a time, so that a slow machine does not make the sample smaller.
    while (fixture.executions < REQUESTS_BEFORE) await sleep(10);
    await close();
    const sent = (await Promise.all(callers)).flat();
    return {
      events: sent.map(({ event }) => event),
      closing: sent.filter(({ isClosing }) => isClosing).length,
    };
  };

  const count = (tally: Tally, event: Event): number =>
    tally.events.filter((other) => other === event).length;

  afterEach(() => fixture.stop());

  it('cuts no request, on kept connections neither', async () => {
    const limits = { leaveNoticeMs: 1_000, keepAliveTimeoutMs: 5_000 };
    fixture = await EntryFixture.start({ limits });
    fixture.firstUpstream.choose = (_, index) => ({ kind: 'slow', delayMs: index % 30 });
    const tally = await runCallers(fixture.url, () => fixture.server.drain());
    expect(count(tally, 'cut')).toEqual(0);
    expect(count(tally, 'answered')).toBeGreaterThan(REQUESTS_BEFORE);
    expect(count(tally, 'connectionRefused')).toEqual(CALLERS);
    expect(tally.closing).toBeGreaterThan(0);
    expect(fixture.executions).toEqual(count(tally, 'answered'));
  });

  it('leaves the answers at once and keeps serving', async () => {
    fixture = await EntryFixture.start({ limits: { drainDelayMs: 200, keepAliveTimeoutMs: 100 } });
    const drained = fixture.server.drain();
    const res = await fetchJson(`${fixture.url}/.well-known/marigoldbank/addresses`);
    expect(res).toEqual({ addresses: ['127.0.0.1:7003'], ttlSeconds: 5 });
    await drained;
  });

  it('would be found cutting requests of a proxy that closes its connections', async () => {
    fixture = await EntryFixture.start();
    fixture.firstUpstream.choose = (_, index) => ({ kind: 'slow', delayMs: index % 30 });
    const naive = new NaiveProxy([fixture.firstUpstream.address]);
    await naive.listen();
    const tally = await runCallers(naive.url, () => naive.close());
    expect(count(tally, 'cut')).toBeGreaterThan(0);
  });
});
