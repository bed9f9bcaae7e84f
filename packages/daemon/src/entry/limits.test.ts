import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { call, sendRaw, statusesOf } from '../testing/callers.js';
import { EntryFixture, TEST_KEY, type FixtureOptions } from '../testing/EntryFixture.js';
import { NaiveProxy } from '../testing/NaiveProxy.js';

const HEAD = `Host: entry.test\r\nX-Api-Key: ${TEST_KEY}\r\n`;
const NEXT = `GET /orders/2 HTTP/1.1\r\n${HEAD}\r\n`;

/** Requests whose end two parsers may see at different places, each with a second request behind it. */
const SMUGGLED = [
  `POST /orders HTTP/1.1\r\n${HEAD}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${NEXT}`,
  `POST /orders HTTP/1.1\r\n${HEAD}Content-Length: 0\r\nContent-Length: ${NEXT.length}\r\n\r\n${NEXT}`,
  `POST /orders HTTP/1.1\r\n${HEAD}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n${NEXT}`,
  `POST /orders HTTP/1.1\r\n${HEAD}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n${NEXT}`,
  `POST /orders HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n${NEXT}`,
  `POST /orders HTTP/1.1\r\n${HEAD}Host: other.test\r\nContent-Length: 0\r\n\r\n${NEXT}`,
  `GET http://other.test/orders/1 HTTP/1.1\r\n${HEAD}\r\n${NEXT}`,
  `GET /orders/1 HTTP/1.0\r\n${HEAD}\r\n${NEXT}`,
  `GET /a%2e%2e/orders/1 HTTP/1.1\r\n${HEAD}\r\n${NEXT}`,
  `CONNECT other.test:443 HTTP/1.1\r\n${HEAD}\r\n${NEXT}`,
  `GET /orders/1 HTTP/1.1\r\n${HEAD}Upgrade: h2c\r\nConnection: Upgrade\r\n\r\n${NEXT}`,
  `GET /orders/1 HTTP/1.1\r\n${HEAD}X: a\rb\r\n\r\n${NEXT}`,
  `GET /orders/1 HTTP/1.1\r\n${HEAD}X: a\u0000b\r\n\r\n${NEXT}`,
];

describe('what a caller may send', () => {
  let fixture: EntryFixture;
  const start = async (options?: FixtureOptions): Promise<void> => {
    fixture = await EntryFixture.start(options);
  };

  afterEach(() => fixture.stop());

  it('ends at the first ambiguous request of a connection', async () => {
    await start();
    const answers = await Promise.all(SMUGGLED.map((bytes) => sendRaw(fixture.server.port, bytes)));
    expect(answers.map(statusesOf)).toEqual(SMUGGLED.map(() => [400]));
    expect(answers.every((text) => text.includes('"verdict":"not-run"'))).toEqual(true);
    expect(fixture.firstUpstream.seen).toEqual([]);
  });

  it('reaches the upstream through a naive proxy', async () => {
    await start();
    const naive = new NaiveProxy([fixture.firstUpstream.address]);
    await naive.listen();
    await Promise.all(SMUGGLED.map((bytes) => sendRaw(naive.port, bytes, 300)));
    await naive.close();
    expect(fixture.firstUpstream.seen.length).toBeGreaterThan(0);
  });

  it('is limited in size', async () => {
    await start();
    const big = Buffer.alloc(100_001);
    const tooLarge = await call(`${fixture.url}/orders`, { method: 'POST', body: big });
    expect([tooLarge.status, tooLarge.verdict]).toEqual([413, 'not-run']);
    const line = `POST /orders HTTP/1.1\r\n${HEAD}Transfer-Encoding: chunked\r\n\r\n`;
    const chunk = `${(10_000).toString(16)}\r\n${'x'.repeat(10_000)}\r\n`;
    const chunked = await sendRaw(fixture.server.port, line + chunk.repeat(11));
    const target = await call(`${fixture.url}/${'a'.repeat(9_000)}`);
    const headers = await sendRaw(
      fixture.server.port,
      `GET /orders/1 HTTP/1.1\r\n${HEAD}X: ${'a'.repeat(20_000)}\r\n\r\n`,
    );
    const many = await sendRaw(
      fixture.server.port,
      `GET /orders/1 HTTP/1.1\r\n${HEAD}${'X: a\r\n'.repeat(200)}\r\n`,
    );
    expect([statusesOf(chunked), target.status, statusesOf(headers), statusesOf(many)]).toEqual([
      [413],
      414,
      [431],
      [431],
    ]);
    expect(fixture.firstUpstream.seen).toEqual([]);
  });

  it('is limited in slowness, for headers, the body and an idle connection', async () => {
    const limits = {
      headersTimeoutMs: 300,
      bodyIdleTimeoutMs: 200,
      bodyTimeoutMs: 600,
      keepAliveTimeoutMs: 300,
      lingerMs: 50,
    };
    await start({ limits });
    const post = `POST /orders HTTP/1.1\r\n${HEAD}Content-Length: 50\r\n\r\n`;
    const trickle = new Promise<string>((resolve) => {
      const socket = connect(fixture.server.port, '127.0.0.1');
      let received = '';
      const timer = setInterval(() => socket.write('x'), 100);
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.once('close', () => {
        clearInterval(timer);
        resolve(received);
      });
      socket.write(post);
    });
    const answers = await Promise.all([
      sendRaw(fixture.server.port, 'GET /orders/1 HTTP/1.1\r\nHost: a', 3_000),
      sendRaw(fixture.server.port, `${post}part`, 3_000),
      trickle,
      sendRaw(fixture.server.port, NEXT, 3_000),
    ]);
    expect(answers.map(statusesOf)).toEqual([[408], [408], [408], [200]]);
    expect(fixture.executions).toEqual(1);
  });

  it('may wait for 100 Continue, and is not asked for a body that is refused', async () => {
    await start({ limits: { lingerMs: 50 } });
    const expecting = (length: number): string =>
      `POST /orders HTTP/1.1\r\n${HEAD}Expect: 100-continue\r\nContent-Length: ${length}\r\n\r\n`;
    const asked = await sendRaw(fixture.server.port, `${expecting(3)}one`, 300);
    const refused = await sendRaw(fixture.server.port, expecting(200_000), 300);
    expect([statusesOf(asked), statusesOf(refused)]).toEqual([[100, 200], [413]]);
  });

  it('may be pipelined, and is answered in order', async () => {
    await start();
    const { firstUpstream } = fixture;
    firstUpstream.choose = (_, index) =>
      index === 0 ? { kind: 'slow', delayMs: 100 } : { kind: 'answer' };
    const bytes = ['1', '2'].map((id) => `GET /orders/${id} HTTP/1.1\r\n${HEAD}\r\n`).join('');
    const received = await sendRaw(fixture.server.port, `${bytes}garbage\r\n\r\n`, 600);
    const urls = [...received.matchAll(/"url":"([^"]+)"/g)].map((match) => match[1]);
    expect(urls).toEqual(['/orders/1', '/orders/2']);
  });
});
