/** Parses and validates the head of a caller's request. */
import type { IncomingMessage } from 'node:http';
import {
  collectSingletonHeaders,
  findFramingFault,
  toHeaderList,
} from '@marigoldbank/daemon/entry/checkRequest';
import { HOP_BY_HOP_HEADERS, parseConnectionTokens } from '@marigoldbank/daemon/entry/headers';
import type { HeaderList } from '@marigoldbank/daemon/entry/types';
import type { HeaderNames } from '../ProtocolAdapter.js';

export interface RequestHead {
  readonly method: string;
  /** Path and query as sent by the caller. */
  readonly target: string;
  readonly path: string;
  readonly host: string;
  readonly requestId: string;
  /** Time that the caller waits, if given. */
  readonly deadlineMs: number | undefined;
  /** Never logged. */
  readonly key: string | undefined;
  /** Headers to forward, without hop-by-hop headers and those that the entry sets. */
  readonly headers: HeaderList;
}

export type HeadResult =
  | { readonly kind: 'valid'; readonly head: RequestHead }
  | { readonly kind: 'invalid'; readonly detail: string };

const DEADLINE_PATTERN = /^\d{1,9}$/;

const SINGLE_HEADERS = ['host', 'content-length', 'transfer-encoding', 'expect'];

/** Returns what is wrong with a head. A request id is required: it matches the response of a target to its request. */
function findFault(
  head: { readonly url: string; readonly httpVersion: string },
  single: ReadonlyMap<string, string>,
  names: HeaderNames,
): string | undefined {
  if (head.httpVersion !== '1.1') return 'HTTP/1.1 is needed';
  if (!head.url.startsWith('/')) return 'the request target must be a path';
  if ((single.get('host') ?? '') === '') return 'one Host header is needed';
  if ((single.get(names.requestId) ?? '') === '') return `${names.requestId} is needed`;
  const deadline = single.get(names.deadlineMs);
  if (deadline !== undefined && !DEADLINE_PATTERN.test(deadline)) {
    return `${names.deadlineMs} must be a number of milliseconds`;
  }
  return findFramingFault(single);
}

/** Selects the headers to forward to a target. The request id is kept even if a Connection header names it. */
function selectHeaders(headers: HeaderList, names: HeaderNames): HeaderList {
  const connection = headers.filter(([name]) => name === 'connection').map(([, value]) => value);
  const dropped = new Set([
    ...HOP_BY_HOP_HEADERS,
    ...parseConnectionTokens(connection),
    'content-length',
    'expect',
    names.deadlineMs,
    names.key,
    names.team,
    names.expectedTarget,
  ]);
  return headers.filter(([name]) => !dropped.has(name) || name === names.requestId);
}

/** Validates the head of a request as parsed by Node.js. */
export function readRequestHead(req: IncomingMessage, names: HeaderNames): HeadResult {
  const headers = toHeaderList(req.rawHeaders);
  const singleNames = [...SINGLE_HEADERS, names.requestId, names.deadlineMs, names.key];
  const { values, doubled } = collectSingletonHeaders(headers, singleNames);
  if (doubled !== undefined) return { kind: 'invalid', detail: `more than one ${doubled} header` };
  const url = req.url ?? '';
  const fault = findFault({ url, httpVersion: req.httpVersion }, values, names);
  if (fault !== undefined) return { kind: 'invalid', detail: fault };
  const deadline = values.get(names.deadlineMs);
  const queryAt = url.indexOf('?');
  return {
    kind: 'valid',
    head: {
      method: req.method ?? '',
      target: url,
      path: queryAt < 0 ? url : url.slice(0, queryAt),
      host: values.get('host') ?? '',
      requestId: values.get(names.requestId) ?? '',
      deadlineMs: deadline === undefined ? undefined : Number(deadline),
      key: values.get(names.key),
      headers: selectHeaders(headers, names),
    },
  };
}
