import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { call, sendRaw, type CallOptions } from '../testing/callers.js';
import { EntryFixture, TEST_KEY, TEST_SECRET } from '../testing/EntryFixture.js';
import { NaiveProxy } from '../testing/NaiveProxy.js';
import { RecordingLogger } from '../testing/RecordingLogger.js';
import type { SeenRequest } from '../testing/FakeUpstream.js';

type Encoding = (key: string) => string;

const percentEncode: Encoding = (key) =>
  [...key].map((c) => `%${c.charCodeAt(0).toString(16).padStart(2, '0')}`).join('');
const ENCODINGS: readonly Encoding[] = [
  (key) => key,
  percentEncode,
  (key) => percentEncode(percentEncode(key)),
  (key) => Buffer.from(key).toString('base64url'),
  (key) => `x${key}y`,
];

/** Parts of a request in which a caller may put the key, by mistake or on purpose. */
const KEY_LOCATIONS: readonly ((value: string) => Omit<CallOptions, 'key'> & { path?: string })[] =
  [
    () => ({}),
    (value) => ({ path: `/orders/7?key=${value}` }),
    (value) => ({ path: `/orders/7?a=1&${value}&b=2` }),
    (value) => ({ path: `/orders/${value}` }),
    (value) => ({ headers: { 'x-custom': `token ${value}` } }),
    (value) => ({ headers: { cookie: `a=1; key=${value}` } }),
    (value) => ({ headers: { referer: `http://entry.test/?key=${value}` } }),
    (value) => ({ headers: { 'x-api-key': TEST_KEY, 'x-forwarded-authorization': value } }),
    (value) => ({ headers: { 'proxy-authorization': `Bearer ${value}` } }),
    (value) => ({ headers: { 'idempotency-key': value } }),
    (value) => ({ method: 'PUT', body: `{"key":"${value}"}` }),
  ];

function decodeSeenRequest(seen: SeenRequest): string {
  const text = [seen.url, ...seen.rawHeaders, seen.body].join('\n');
  const decode = (part: string): string =>
    part.replace(/%([0-9a-f]{2})/gi, (_, hex: string) => String.fromCharCode(parseInt(hex, 16)));
  const base64 = text
    .split(/[^A-Za-z0-9+/_-]+/)
    .map((part) => Buffer.from(part, 'base64').toString('latin1'));
  return [text, decode(text), decode(decode(text)), ...base64].join('\n');
}

describe('API keys of callers', () => {
  const logger = new RecordingLogger();
  let fixture: EntryFixture;
  let naive: NaiveProxy;

  before(async () => {
    fixture = await EntryFixture.start({ logger });
    naive = new NaiveProxy([fixture.firstUpstream.address]);
    await naive.listen();
  });

  after(async () => {
    await naive.close();
    await fixture.stop();
  });

  it('are kept from upstreams and log lines, wherever the caller puts them', async () => {
    const { seen } = fixture.firstUpstream;
    await fc.assert(
      fc.asyncProperty(
        fc.constantFrom(...KEY_LOCATIONS),
        fc.constantFrom(...ENCODINGS),
        async (place, encode) => {
          seen.length = 0;
          const { path = '/orders/7', ...options } = place(encode(TEST_KEY));
          const isInBody = options.body !== undefined;
          // Bodies may have any format, so only unencoded keys are searched for in them.
          if (isInBody && !encode(TEST_KEY).includes(TEST_KEY)) return;
          const res = await call(fixture.url + path, options);
          expect([200, 400].includes(res.status)).toEqual(true);
          expect(seen.length).toEqual(res.status === 200 ? 1 : 0);
          expect(seen.some((request) => decodeSeenRequest(request).includes(TEST_SECRET))).toEqual(
            false,
          );
        },
      ),
      { numRuns: 150 },
    );
    expect(logger.text().includes(TEST_SECRET)).toEqual(false);
  });

  it('control: the same check finds them behind a naive proxy', async () => {
    const { seen } = fixture.firstUpstream;
    seen.length = 0;
    await call(`${naive.url}/orders/7`);
    expect(seen.some((request) => decodeSeenRequest(request).includes(TEST_SECRET))).toEqual(true);
  });

  it('get the same response when missing, malformed, unknown or wrong', async () => {
    const keys = ['', 'nonsense', `mb_unknown1_${'a'.repeat(43)}`, `mb_asters01_${'a'.repeat(43)}`];
    const results = await Promise.all(keys.map((key) => call(`${fixture.url}/orders/7`, { key })));
    const shapes = results.map(({ status, text }) => [
      status,
      text.replace(/urn:marigoldbank:request:[^"]+/, ''),
    ]);
    expect(new Set(shapes.map(String)).size).toEqual(1);
    expect(results.map(({ status }) => status)).toEqual([401, 401, 401, 401]);
  });

  it('cannot be bypassed with forged identity headers', async () => {
    const { seen } = fixture.firstUpstream;
    seen.length = 0;
    const forged = {
      'marigoldbank-team': 'others',
      marigoldbank_team: 'others',
      'x-forwarded-for': '10.0.0.1',
      X_Forwarded_Host: 'evil.test',
      forwarded: 'for=10.0.0.1',
      'x-real-ip': '10.0.0.1',
      'x-request-id': 'chosen-by-the-caller',
      'x-http-method-override': 'DELETE',
      connection: 'close, x-hop',
      'x-hop': 'secret',
      te: 'trailers',
      'x-kept': 'yes',
    };
    const lines = Object.entries({ host: 'entry.test', 'x-api-key': TEST_KEY, ...forged });
    const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
    // Sent as raw bytes, since undici would not send the tokens of the `Connection` header.
    await sendRaw(fixture.server.port, `GET /orders/7 HTTP/1.1\r\n${head}\r\n`);
    const names = seen[0]!.rawHeaders.filter((_, i) => i % 2 === 0).map((n) => n.toLowerCase());
    expect(names.sort()).toEqual([
      'connection',
      'host',
      'marigoldbank-team',
      'x-kept',
      'x-request-id',
      'x-request-timeout-ms',
    ]);
    expect(seen[0]!.team).toEqual('asters');
    expect(seen[0]!.requestId === 'chosen-by-the-caller').toEqual(false);
  });
});
