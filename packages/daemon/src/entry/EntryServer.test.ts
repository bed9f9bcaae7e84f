import { afterEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { call } from '../testing/callers.js';
import { EntryFixture, OTHER_KEY, type FixtureOptions } from '../testing/EntryFixture.js';

describe('EntryServer', () => {
  let fixture: EntryFixture;
  const start = async (options?: FixtureOptions): Promise<void> => {
    fixture = await EntryFixture.start(options);
  };

  afterEach(() => fixture.stop());

  it('forwards a request and returns the upstream response', async () => {
    await start();
    const res = await call(`${fixture.url}/orders/7?fresh=1`);
    expect(res.status).toEqual(200);
    expect(JSON.parse(res.text)).toEqual({ target: 't0', echo: '', url: '/orders/7?fresh=1' });
    expect(fixture.firstUpstream.executed.map(({ team }) => team)).toEqual(['asters']);
    expect(fixture.pool.outcomes).toEqual([{ target: 't0', outcome: 'succeeded' }]);
    expect(fixture.budgets.consumed).toEqual(1);
  });

  it('refuses unknown routes, invalid keys, excluded plans and wrong methods without sending anything', async () => {
    await start();
    const cases = [
      { path: '/nothing', key: undefined, method: 'GET', status: 404 },
      { path: '/orders/7', key: 'mb_asters01_wrongwrongwrongwrong', method: 'GET', status: 401 },
      { path: '/orders/7', key: '', method: 'GET', status: 401 },
      { path: '/orders/7', key: OTHER_KEY, method: 'GET', status: 403 },
      { path: '/orders/7', key: undefined, method: 'DELETE', status: 405 },
    ];
    const results = await Promise.all(
      cases.map(({ path, key, method }) => call(fixture.url + path, { key, method })),
    );
    expect(results.map(({ status }) => status)).toEqual(cases.map(({ status }) => status));
    expect(results.map(({ verdict }) => verdict)).toEqual(cases.map(() => 'not-run'));
    expect(results[4]?.headers.allow).toEqual('GET, PUT');
    expect(fixture.firstUpstream.seen).toEqual([]);
  });

  it('serves an open route without a key', async () => {
    await start();
    const res = await call(`${fixture.url}/maps/north`, { key: '' });
    expect(res.status).toEqual(200);
    expect(fixture.firstUpstream.executed.map(({ team }) => team)).toEqual([undefined]);
  });

  it('lists current entries, those in the given data centre first, and omits itself when suspected', async () => {
    await start();
    const read = async (): Promise<unknown> =>
      JSON.parse(
        (await call(`${fixture.url}/.well-known/marigoldbank/addresses?dataCentre=dc2`)).text,
      );
    expect(await read()).toEqual({
      addresses: ['127.0.0.1:7003', '127.0.0.1:7001'],
      ttlSeconds: 5,
    });
    fixture.pool.isSuspectedReporter = true;
    expect(await read()).toEqual({ addresses: ['127.0.0.1:7003'], ttlSeconds: 5 });
  });
});
