import { after, describe, it } from 'node:test';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { SystemClock, delay } from '@marigoldbank/base/clock';
import { expect } from 'earl';
import { UpstreamClient } from './UpstreamClient.js';

const KEEP_ALIVE_MS = 100;
const LONG_ANSWER_MS = 600;

const clock = new SystemClock();

function makeClient(): UpstreamClient {
  return new UpstreamClient(clock, {
    requestIdHeader: 'x-request-id',
    requiresEcho: false,
    timeoutHeader: 'x-timeout-ms',
    connectTimeoutMs: 500,
    keepAliveTimeoutMs: KEEP_ALIVE_MS,
  });
}

function startServer(answer: (url: string, res: ServerResponse) => void): Promise<Server> {
  const server = createServer((req, res) => answer(req.url ?? '', res));
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => resolve(server));
  });
}

/** Sends one request and returns its response body, or the detail of the failure. */
async function fetchBody(
  client: UpstreamClient,
  server: Server,
  target: string,
  maxConnections = 4,
): Promise<string> {
  const exchange = client.send({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    maxConnections,
    method: 'GET',
    target,
    headers: [],
    body: Buffer.alloc(0),
    requestId: target,
    deadlineAt: clock.now() + 5_000,
    signal: new AbortController().signal,
    checkDispatch: () => undefined,
  });
  const head = await exchange.head;
  if (head.kind === 'failed') return head.detail;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    exchange.consume({
      onData: (chunk) => chunks.push(chunk) > 0,
      onEnd: () => resolve(Buffer.concat(chunks).toString()),
      onFail: ({ detail }) => resolve(detail),
    });
  });
}

describe('UpstreamClient', () => {
  const closers: (() => void)[] = [];
  after(() => closers.forEach((close) => close()));

  it('completes a chunked response while an idle connection to the same target times out', async () => {
    const server = await startServer((url, res) => {
      res.write('begin ');
      setTimeout(() => res.end('end'), url === '/long' ? LONG_ANSWER_MS : 0);
    });
    const client = makeClient();
    closers.push(
      () => client.dispose(),
      () => server.close(),
    );
    const [short, long] = await Promise.all([
      fetchBody(client, server, '/short'),
      fetchBody(client, server, '/long'),
    ]);
    expect([short, long]).toEqual(['begin end', 'begin end']);
  });

  const limits: readonly [string, number, number][] = [
    ['keeps its connections when its connection limit changes slightly', 5, 1],
    ['replaces its connections when its connection limit falls far', 1, 2],
  ];
  limits.forEach(([title, laterLimit, connections]) => {
    it(title, async () => {
      const server = await startServer((_url, res) => res.end('whole'));
      let opened = 0;
      server.on('connection', () => {
        opened += 1;
      });
      const client = makeClient();
      closers.push(
        () => client.dispose(),
        () => server.close(),
      );
      await fetchBody(client, server, '/first', 4);
      // The connection is released in a later event loop turn than the end of the response.
      await delay(clock, KEEP_ALIVE_MS / 5);
      await fetchBody(client, server, '/second', laterLimit);
      expect(opened).toEqual(connections);
    });
  });

  // A caller that counted a connection in use, or one that was closed, as idle would open a new one after all.
  it('has an idle connection from the end of a response until it is closed', async () => {
    const server = await startServer((_url, res) => res.end('whole'));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const client = makeClient();
    closers.push(
      () => client.dispose(),
      () => server.close(),
    );
    const seen = [client.hasIdleConnection(address)];
    const fetched = fetchBody(client, server, '/only');
    seen.push(client.hasIdleConnection(address));
    await fetched;
    await delay(clock, KEEP_ALIVE_MS / 5);
    seen.push(client.hasIdleConnection(address));
    server.closeAllConnections();
    await delay(clock, KEEP_ALIVE_MS / 5);
    seen.push(client.hasIdleConnection(address));
    expect(seen).toEqual([false, false, true, false]);
  });

  const framings: readonly [string, string][] = [
    ['Content-Length', 'content-length: 100\r\n'],
    ['Content-Length on a closing connection', 'content-length: 100\r\nconnection: close\r\n'],
    ['chunked coding', 'transfer-encoding: chunked\r\n'],
    [
      'chunked coding on a closing connection',
      'transfer-encoding: chunked\r\nconnection: close\r\n',
    ],
    ['no framing header', 'connection: close\r\n'],
  ];
  const bodyOf = (head: string): string => (head.includes('chunked') ? '5\r\nbegin\r\n' : 'begin');
  const ends: readonly [string, (res: ServerResponse) => void][] = [
    ['is reset', (res) => res.socket?.resetAndDestroy()],
    ['closes', (res) => res.socket?.end()],
  ];
  const cases = framings.flatMap(([framing, head]) =>
    ends.flatMap(([end, act]) =>
      [0, KEEP_ALIVE_MS / 2].map((delayMs) => ({ framing, head, end, act, delayMs })),
    ),
  );
  cases.forEach(({ framing, head, end, act, delayMs }) => {
    it(`fails a truncated response with ${framing} whose connection ${end} after ${delayMs} ms`, async () => {
      const server = await startServer((_url, res) => {
        res.socket?.write(`HTTP/1.1 200 OK\r\n${head}\r\n${bodyOf(head)}`, () =>
          setTimeout(() => act(res), delayMs),
        );
      });
      const client = makeClient();
      closers.push(
        () => client.dispose(),
        () => server.close(),
      );
      expect(await fetchBody(client, server, '/torn')).not.toEqual('begin');
    });
  });

  // A target with such an address, of which an entry heard before it was refused, cost callers their connections.
  ['127.0.0.1:99999', '999.0.0.1:80'].forEach((address) => {
    it(`fails a request to ${address} as not run`, async () => {
      const client = makeClient();
      const exchange = client.send({
        address,
        maxConnections: 4,
        method: 'GET',
        target: '/',
        headers: [],
        body: Buffer.alloc(0),
        requestId: 'id',
        deadlineAt: clock.now() + 5_000,
        signal: new AbortController().signal,
        checkDispatch: () => undefined,
      });
      const head = await exchange.head;
      expect([head.kind, head.kind === 'failed' && head.verdict]).toEqual(['failed', 'notRun']);
      client.dispose();
    });
  });
});
