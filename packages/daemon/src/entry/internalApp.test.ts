import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, beforeEach, describe, it } from 'node:test';
import type { Announcement } from '@marigoldbank/ejection';
import { expect } from 'earl';
import { request } from 'undici';
import { Metrics } from '../telemetry/Metrics.js';
import { FakeUpstream } from '../testing/FakeUpstream.js';
import { createInternalApp } from './internalApp.js';

const SECRET = 'announcement-secret-of-the-tests';

const VALID_ANNOUNCEMENT = {
  service: 'orders',
  target: 'o-1',
  address: '127.0.0.1:9000',
  dataCentre: 'dc1',
  incarnation: 1,
  sequence: 1,
  state: 'up',
  slots: 6,
  maxConnections: 350,
};

describe('internal endpoints', () => {
  const received: Announcement[] = [];
  let unreadyReason: string | undefined;
  let server: Server;
  let address: string;

  const send = async (
    body: string,
    options: { secret?: string; method?: 'POST' | 'DELETE' } = {},
  ): Promise<{ status: number; text: string }> => {
    const res = await request(`http://${address}/announcements`, {
      method: options.method ?? 'POST',
      headers: { authorization: `Bearer ${options.secret ?? SECRET}` },
      body,
    });
    return { status: res.statusCode, text: await res.body.text() };
  };

  const get = async (path: string): Promise<{ status: number; text: string }> => {
    const res = await request(`http://${address}${path}`);
    return { status: res.statusCode, text: await res.body.text() };
  };

  before(async () => {
    const app = createInternalApp({
      announcementSecret: SECRET,
      onAnnouncements: (announcements) => received.push(...announcements),
      metrics: new Metrics(),
      findUnreadyReason: () => unreadyReason,
    });
    server = createServer(app);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  });

  beforeEach(() => {
    received.length = 0;
  });

  after(() => {
    server.closeAllConnections();
    server.close();
  });

  it('accept one or several announcements', async () => {
    expect((await send(JSON.stringify(VALID_ANNOUNCEMENT))).status).toEqual(204);
    expect(
      (await send(JSON.stringify([VALID_ANNOUNCEMENT, { ...VALID_ANNOUNCEMENT, target: 'o-2' }])))
        .status,
    ).toEqual(204);
    expect(received.map(({ target }) => target)).toEqual(['o-1', 'o-1', 'o-2']);
    expect(received[0]).toEqual({ ...VALID_ANNOUNCEMENT, state: 'up', isCold: false, ageMs: 0 });
  });

  it('treat DELETE as the state leaving', async () => {
    expect((await send(JSON.stringify(VALID_ANNOUNCEMENT), { method: 'DELETE' })).status).toEqual(
      204,
    );
    expect(received.map(({ state }) => state)).toEqual(['leaving']);
  });

  it('refuse a wrong secret, invalid JSON, oversized bodies and empty lists', async () => {
    const results = [
      await send(JSON.stringify(VALID_ANNOUNCEMENT), { secret: 'wrong' }),
      await send('{'),
      await send(JSON.stringify([{ ...VALID_ANNOUNCEMENT, target: 'x'.repeat(70_000) }])),
      await send('[]'),
    ];
    expect(results.map(({ status }) => status)).toEqual([401, 400, 413, 400]);
    expect(received).toEqual([]);
  });

  it('report the path of each invalid field', async () => {
    const wrong = [
      VALID_ANNOUNCEMENT,
      { ...VALID_ANNOUNCEMENT, address: 'host:80', slots: 0, state: 'gone', extra: 1 },
    ];
    const { status, text } = await send(JSON.stringify(wrong));
    expect(status).toEqual(400);
    const fields = ['1.address: ', '1.slots: ', '1.state: ', '"extra\\"'];
    expect(fields.filter((field) => !text.includes(field))).toEqual([]);
  });

  it('serve metrics and health checks', async () => {
    expect((await get('/metrics')).text.includes('marigoldbank_requests_total')).toEqual(true);
    expect((await get('/livez')).status).toEqual(200);
    expect((await get('/readyz')).status).toEqual(200);
    unreadyReason = 'not current';
    const unready = await get('/readyz');
    expect([unready.status, JSON.parse(unready.text)]).toEqual([
      503,
      { isReady: false, reason: 'not current' },
    ]);
  });

  it('accept the announcement of the upstream test double', async () => {
    const standIn = new FakeUpstream({ service: 'orders', target: 'o-9' });
    await standIn.listen();
    expect(await standIn.announceTo(address, SECRET)).toEqual(204);
    expect(received.map((item) => item.address)).toEqual([standIn.address]);
    await standIn.crash();
  });
});
