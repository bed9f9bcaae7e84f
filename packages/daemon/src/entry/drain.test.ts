import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { Pool, request } from 'undici';
import { EntryFixture, TEST_KEY } from '../testing/EntryFixture.js';
import { NaiveProxy } from '../testing/NaiveProxy.js';

type RequestOutcome = 'answered' | 'failed' | 'connectionRefused';

interface Tally {
  readonly outcomes: readonly RequestOutcome[];
  /** Number of responses with `Connection: close`. */
  readonly closingResponses: number;
}

const CALLER_COUNT = 20;

const MIN_REQUESTS_BEFORE_CLOSE = 100;

interface RequestResult {
  readonly outcome: RequestOutcome;
  readonly isClosing: boolean;
}

async function sendOne(pool: Pool): Promise<RequestResult> {
  try {
    const headers = { 'x-api-key': TEST_KEY };
    const res = await pool.request({ path: '/orders/7', method: 'GET', headers });
    await res.body.dump();
    const isClosing = res.headers.connection === 'close';
    return { outcome: res.statusCode === 200 ? 'answered' : 'failed', isClosing };
  } catch (err) {
    const isRefused = (err as { code?: string }).code === 'ECONNREFUSED';
    return { outcome: isRefused ? 'connectionRefused' : 'failed', isClosing: false };
  }
}

/** Sends requests on a keep-alive connection, with short and long pauses, until new connections are refused. */
async function sendUntilRefused(url: string): Promise<RequestResult[]> {
  const pool = new Pool(url, { connections: 1, pipelining: 1 });
  const sent: RequestResult[] = [];
  do {
    sent.push(await sendOne(pool));
    await sleep(sent.length % 5 === 0 ? 150 : 5);
  } while (sent.at(-1)?.outcome !== 'connectionRefused');
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
    const callers = Array.from({ length: CALLER_COUNT }, () => sendUntilRefused(url));
    // Waits for a number of requests rather than a time, so that a slow machine does not reduce the sample.
    while (fixture.executions < MIN_REQUESTS_BEFORE_CLOSE) await sleep(10);
    await close();
    const sent = (await Promise.all(callers)).flat();
    return {
      outcomes: sent.map(({ outcome }) => outcome),
      closingResponses: sent.filter(({ isClosing }) => isClosing).length,
    };
  };

  const countOutcomes = (tally: Tally, outcome: RequestOutcome): number =>
    tally.outcomes.filter((other) => other === outcome).length;

  afterEach(() => fixture.stop());

  it('completes every request, including those on keep-alive connections', async () => {
    const limits = { leaveNoticeMs: 1_000, keepAliveTimeoutMs: 5_000 };
    fixture = await EntryFixture.start({ limits });
    fixture.firstUpstream.choose = (_, index) => ({ kind: 'slow', delayMs: index % 30 });
    const tally = await runCallers(fixture.url, () => fixture.server.drain());
    expect(countOutcomes(tally, 'failed')).toEqual(0);
    expect(countOutcomes(tally, 'answered')).toBeGreaterThan(MIN_REQUESTS_BEFORE_CLOSE);
    expect(countOutcomes(tally, 'connectionRefused')).toEqual(CALLER_COUNT);
    expect(tally.closingResponses).toBeGreaterThan(0);
    expect(fixture.executions).toEqual(countOutcomes(tally, 'answered'));
  });

  it('is removed from the address list at once and keeps serving', async () => {
    fixture = await EntryFixture.start({ limits: { drainDelayMs: 200, keepAliveTimeoutMs: 100 } });
    const drained = fixture.server.drain();
    const res = await fetchJson(`${fixture.url}/.well-known/marigoldbank/addresses`);
    expect(res).toEqual({ addresses: ['127.0.0.1:7003'], ttlSeconds: 5 });
    await drained;
  });

  it('control: finds failed requests behind a proxy that closes its connections at once', async () => {
    fixture = await EntryFixture.start();
    fixture.firstUpstream.choose = (_, index) => ({ kind: 'slow', delayMs: index % 30 });
    const naive = new NaiveProxy([fixture.firstUpstream.address]);
    await naive.listen();
    const tally = await runCallers(naive.url, () => naive.close());
    expect(countOutcomes(tally, 'failed')).toBeGreaterThan(0);
  });
});
