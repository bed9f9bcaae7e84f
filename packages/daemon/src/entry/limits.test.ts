import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { call, sendRaw, statusesOf } from '../testing/callers.js';
import { EntryFixture, TEST_KEY, type FixtureOptions } from '../testing/EntryFixture.js';
import { NaiveProxy } from '../testing/NaiveProxy.js';

const HEADERS = `Host: entry.test\r\nX-Api-Key: ${TEST_KEY}\r\n`;
const FOLLOWING_REQUEST = `GET /orders/2 HTTP/1.1\r\n${HEADERS}\r\n`;

/** Requests whose end or target parsers may interpret differently, each followed by a second request. */
const SMUGGLING_ATTEMPTS = [
  `POST /orders HTTP/1.1\r\n${HEADERS}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n${FOLLOWING_REQUEST}`,
  `POST /orders HTTP/1.1\r\n${HEADERS}Content-Length: 0\r\nContent-Length: ${FOLLOWING_REQUEST.length}\r\n\r\n${FOLLOWING_REQUEST}`,
  `POST /orders HTTP/1.1\r\n${HEADERS}Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n${FOLLOWING_REQUEST}`,
  `POST /orders HTTP/1.1\r\n${HEADERS}Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n${FOLLOWING_REQUEST}`,
  `POST /orders HTTP/1.1\r\n${HEADERS}Transfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n${FOLLOWING_REQUEST}`,
  `POST /orders HTTP/1.1\r\n${HEADERS}Host: other.test\r\nContent-Length: 0\r\n\r\n${FOLLOWING_REQUEST}`,
  `GET http://other.test/orders/1 HTTP/1.1\r\n${HEADERS}\r\n${FOLLOWING_REQUEST}`,
  `GET /orders/1 HTTP/1.0\r\n${HEADERS}\r\n${FOLLOWING_REQUEST}`,
  `GET /a%2e%2e/orders/1 HTTP/1.1\r\n${HEADERS}\r\n${FOLLOWING_REQUEST}`,
  `CONNECT other.test:443 HTTP/1.1\r\n${HEADERS}\r\n${FOLLOWING_REQUEST}`,
  `GET /orders/1 HTTP/1.1\r\n${HEADERS}Upgrade: h2c\r\nConnection: Upgrade\r\n\r\n${FOLLOWING_REQUEST}`,
  `GET /orders/1 HTTP/1.1\r\n${HEADERS}X: a\rb\r\n\r\n${FOLLOWING_REQUEST}`,
  `GET /orders/1 HTTP/1.1\r\n${HEADERS}X: a\u0000b\r\n\r\n${FOLLOWING_REQUEST}`,
];

describe('limits on caller requests', () => {
  let fixture: EntryFixture;
  const start = async (options?: FixtureOptions): Promise<void> => {
    fixture = await EntryFixture.start(options);
  };

  afterEach(() => fixture.stop());

  it('answer only the first request of a connection when it is ambiguous, with 400', async () => {
    await start();
    const answers = await Promise.all(
      SMUGGLING_ATTEMPTS.map((bytes) => sendRaw(fixture.server.port, bytes)),
    );
    expect(answers.map(statusesOf)).toEqual(SMUGGLING_ATTEMPTS.map(() => [400]));
    expect(answers.every((text) => text.includes('"verdict":"not-run"'))).toEqual(true);
    expect(fixture.firstUpstream.seen).toEqual([]);
  });

  it('control: smuggled requests reach the upstream through a naive proxy', async () => {
    await start();
    const naive = new NaiveProxy([fixture.firstUpstream.address]);
    await naive.listen();
    await Promise.all(SMUGGLING_ATTEMPTS.map((bytes) => sendRaw(naive.port, bytes, 300)));
    await naive.close();
    expect(fixture.firstUpstream.seen.length).toBeGreaterThan(0);
  });

  it('apply to the size of bodies, targets and headers', async () => {
    await start();
    const big = Buffer.alloc(100_001);
    const tooLarge = await call(`${fixture.url}/orders`, { method: 'POST', body: big });
    expect([tooLarge.status, tooLarge.verdict]).toEqual([413, 'not-run']);
    const line = `POST /orders HTTP/1.1\r\n${HEADERS}Transfer-Encoding: chunked\r\n\r\n`;
    const chunk = `${(10_000).toString(16)}\r\n${'x'.repeat(10_000)}\r\n`;
    const chunked = await sendRaw(fixture.server.port, line + chunk.repeat(11));
    const target = await call(`${fixture.url}/${'a'.repeat(9_000)}`);
    const headers = await sendRaw(
      fixture.server.port,
      `GET /orders/1 HTTP/1.1\r\n${HEADERS}X: ${'a'.repeat(20_000)}\r\n\r\n`,
    );
    const many = await sendRaw(
      fixture.server.port,
      `GET /orders/1 HTTP/1.1\r\n${HEADERS}${'X: a\r\n'.repeat(200)}\r\n`,
    );
    expect([statusesOf(chunked), target.status, statusesOf(headers), statusesOf(many)]).toEqual([
      [413],
      414,
      [431],
      [431],
    ]);
    expect(fixture.firstUpstream.seen).toEqual([]);
  });

  it('apply to slow headers, slow bodies and idle connections', async () => {
    const limits = {
      headersTimeoutMs: 300,
      bodyIdleTimeoutMs: 200,
      bodyTimeoutMs: 600,
      keepAliveTimeoutMs: 300,
      lingerMs: 50,
    };
    await start({ limits });
    const post = `POST /orders HTTP/1.1\r\n${HEADERS}Content-Length: 50\r\n\r\n`;
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
      sendRaw(fixture.server.port, FOLLOWING_REQUEST, 3_000),
    ]);
    expect(answers.map(statusesOf)).toEqual([[408], [408], [408], [200]]);
    expect(fixture.executions).toEqual(1);
  });

  it('send 100 Continue, but not for a body that is refused', async () => {
    await start({ limits: { lingerMs: 50 } });
    const expecting = (length: number): string =>
      `POST /orders HTTP/1.1\r\n${HEADERS}Expect: 100-continue\r\nContent-Length: ${length}\r\n\r\n`;
    const asked = await sendRaw(fixture.server.port, `${expecting(3)}one`, 300);
    const refused = await sendRaw(fixture.server.port, expecting(200_000), 300);
    expect([statusesOf(asked), statusesOf(refused)]).toEqual([[100, 200], [413]]);
  });

  it('allow pipelining, with responses in order', async () => {
    await start();
    const { firstUpstream } = fixture;
    firstUpstream.choose = (_, index) =>
      index === 0 ? { kind: 'slow', delayMs: 100 } : { kind: 'answer' };
    const bytes = ['1', '2'].map((id) => `GET /orders/${id} HTTP/1.1\r\n${HEADERS}\r\n`).join('');
    const received = await sendRaw(fixture.server.port, `${bytes}garbage\r\n\r\n`, 600);
    const urls = [...received.matchAll(/"url":"([^"]+)"/g)].map((match) => match[1]);
    expect(urls).toEqual(['/orders/1', '/orders/2']);
  });
});
