import http2, { type ClientHttp2Stream } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { SystemClock, delay } from '@marigoldbank/base/clock';
import { expect } from 'earl';
import { StateSessionManager } from './StateSessionManager.js';

const HOST = '127.0.0.1';

const SETTLE_MS = 100;

const clock = new SystemClock();

describe('StateSessionManager', () => {
  const server = http2.createServer();
  let baseUrl = '';

  before(async () => {
    server.on('stream', (stream) => {
      stream.on('error', () => undefined);
      stream.respond({ ':status': 200 });
    });
    await new Promise((resolve) => {
      server.listen(0, HOST, () => resolve(undefined));
    });
    baseUrl = `http://${HOST}:${(server.address() as AddressInfo).port}`;
  });

  after(() => {
    server.close();
  });

  const open = async (manager: StateSessionManager): Promise<ClientHttp2Stream> => {
    const stream = await manager.request('GET', '/', {}, {});
    stream.on('error', () => undefined);
    return stream;
  };

  // A control VM ended by itself: a request replaced a connection whose ping had timed out before its error was emitted.
  it('survives the error of a destroyed connection that a request has replaced', async () => {
    const manager = new StateSessionManager(baseUrl, clock);
    const { session } = await open(manager);
    session!.destroy(new Error('PING timed out'));
    const next = await open(manager);
    await delay(clock, SETTLE_MS);
    expect([session!.destroyed, next.session!.destroyed]).toEqual([true, false]);
    manager.dispose();
  });
});
