import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { checkRequest, type RequestHead } from './checkRequest.js';
import { DEFAULT_LIMITS } from './constants.js';

const SEED = 932679356;

function createHead(values: Partial<RequestHead> = {}, extra: readonly string[] = []): RequestHead {
  const rawHeaders = ['Host', 'entry.test', ...extra];
  return { method: 'GET', url: '/orders/1', httpVersion: '1.1', rawHeaders, ...values };
}

function outcomeOf(head: RequestHead): string {
  const result = checkRequest(head, DEFAULT_LIMITS);
  return result.kind === 'checked' ? result.request.path : result.refusal.kind;
}

/** Decodes each octet to one character. Octets that are not UTF-8 are allowed in a path. */
function decodeOctets(path: string): string {
  return path.replace(/%([0-9a-f]{2})/gi, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );
}

describe('checkRequest', () => {
  it('refuses targets that servers interpret differently', () => {
    const targets = [
      'http://other.test/orders/1',
      'entry.test:443',
      '*',
      '/a/../orders',
      '/a/./b',
      '/..',
      '/a/..;x=1/b',
      '/a//b',
      '//other.test/orders',
      '/a\\b',
      '/a%2fb',
      '/a%2Fb',
      '/a%5cb',
      '/a/%2e%2e/b',
      '/a/%2E/b',
      '/a%00',
      '/a%0d%0aX: 1',
      '/a%252fb',
      '/a%25252e',
      '/a%7f',
      '/a%zz',
      '/a%',
      '/a#b',
      '/a?b#c',
      '/ä',
    ];
    expect(targets.map((url) => outcomeOf(createHead({ url })))).toEqual(
      targets.map(() => 'badRequest'),
    );
  });

  it('normalises percent encoding, so that the matched and the forwarded path agree', () => {
    expect(outcomeOf(createHead({ url: '/%6frders/%41%2b?x=%2f' }))).toEqual('/orders/A%2B');
  });

  it('refuses framing, key and other headers that parsers may interpret differently', () => {
    const headers = [
      ['Host', 'second.test'],
      ['Content-Length', '3', 'Content-Length', '3'],
      ['Content-Length', '3', 'Transfer-Encoding', 'chunked'],
      ['Content-Length', '+3'],
      ['Content-Length', '3, 3'],
      ['Transfer-Encoding', 'gzip, chunked'],
      ['Transfer-Encoding', 'chunked, identity'],
      ['Transfer-Encoding', 'xchunked'],
      ['Transfer-Encoding', 'chunked', 'transfer-encoding', 'chunked'],
      ['Authorization', 'Bearer a', 'authorization', 'Bearer b'],
      ['X-Api-Key', 'a', 'X-Api-Key', 'a'],
      ['X-Api-Key', 'a', 'Authorization', 'Bearer b'],
      ['Idempotency-Key', 'a', 'Idempotency-Key', 'b'],
      ['Idempotency-Key', ''],
      ['Idempotency-Key', 'a b'],
      ['Upgrade', 'h2c'],
      ['Expect', 'something'],
      ['X-Request-Timeout-Ms', '0'],
      ['X-Request-Timeout-Ms', '1e3'],
    ];
    expect(headers.map((extra) => outcomeOf(createHead({}, extra)))).toEqual(
      headers.map(() => 'badRequest'),
    );
    expect(outcomeOf(createHead({ rawHeaders: [] }))).toEqual('badRequest');
    expect(outcomeOf(createHead({ rawHeaders: ['Host', 'a b'] }))).toEqual('badRequest');
    expect(outcomeOf(createHead({ httpVersion: '1.0' }))).toEqual('badRequest');
  });

  it('limits the target and the number of headers', () => {
    const long = `/${'a'.repeat(DEFAULT_LIMITS.maxTargetBytes)}`;
    expect(outcomeOf(createHead({ url: long }))).toEqual('targetTooLong');
    const many = Array.from({ length: 2 * DEFAULT_LIMITS.maxHeaders }, (_, i) => `h${i}`);
    expect(outcomeOf(createHead({}, many))).toEqual('headersTooLarge');
  });

  it('never throws and never accepts an ambiguous path for generated requests', () => {
    const pieces = fc.constantFrom(
      '/',
      '.',
      '..',
      '%2e',
      '%2F',
      '%5c',
      '\\',
      '%',
      '%25',
      '%00',
      ';',
      '?',
      '#',
      'a',
      '%41',
      '\u0000',
    );
    const url = fc.oneof(
      fc.string(),
      fc.array(pieces).map((parts) => `/${parts.join('')}`),
    );
    const names = fc.constantFrom(
      'Host',
      'Content-Length',
      'Transfer-Encoding',
      'X-Api-Key',
      'Expect',
      'a',
    );
    const headers = fc.array(fc.tuple(names, fc.string()), { maxLength: 5 });
    fc.assert(
      fc.property(url, headers, (target, list) => {
        const result = checkRequest(createHead({ url: target }, list.flat()), DEFAULT_LIMITS);
        if (result.kind === 'refused') return;
        const { path } = result.request;
        expect(new URL(path, 'http://x').pathname).toEqual(path);
        expect(decodeOctets(path).split('/').includes('..')).toEqual(false);
        expect(/\/\/|\\|%2f|%5c|%2e|%00/i.test(path)).toEqual(false);
      }),
      { seed: SEED, numRuns: 20_000, examples: [['/%aa', []]] },
    );
  });
});
