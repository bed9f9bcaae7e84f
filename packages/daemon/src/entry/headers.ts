/** Header rules towards upstreams and callers. */
import {
  HEADER_IDEMPOTENCY_KEY,
  HEADER_REQUEST_ID,
  HEADER_TEAM,
  HEADER_TIMEOUT,
} from './constants.js';
import { holdsKey } from './keys.js';
import type { HeaderList } from './types.js';

/** Headers that concern one connection only. */
export const HOP_BY_HOP_HEADERS = [
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'http2-settings',
];

/** Headers that this entry sets itself, that carry keys, or by which a caller could pose as someone else. */
const DROPPED_REQUEST_HEADERS = new Set([
  ...HOP_BY_HOP_HEADERS,
  'host',
  'content-length',
  'expect',
  'authorization',
  'x-api-key',
  HEADER_REQUEST_ID,
  HEADER_TIMEOUT,
  'forwarded',
  'via',
  'x-real-ip',
  'x-client-ip',
  'x-cluster-client-ip',
  'true-client-ip',
  'cf-connecting-ip',
  'fastly-client-ip',
  'remote-user',
  'x-remote-user',
  'x-original-url',
  'x-original-host',
  'x-rewrite-url',
  'x-http-method',
  'x-http-method-override',
  'x-method-override',
]);

const DROPPED_REQUEST_PREFIXES = ['marigoldbank-', 'x-forwarded-', 'x-authenticated-', 'x-auth-'];

const DROPPED_RESPONSE_HEADERS = new Set([...HOP_BY_HOP_HEADERS, HEADER_REQUEST_ID]);

/** Names that a `Connection` header declares as hop-by-hop. */
export function parseConnectionTokens(values: readonly string[]): string[] {
  return values
    .flatMap((value) => value.split(','))
    .map((token) => token.trim().toLowerCase())
    .filter((token) => token !== '');
}

function isDroppedFromRequest(name: string): boolean {
  // Servers with a CGI interface read an underscore as a hyphen.
  const folded = name.replaceAll('_', '-');
  if (DROPPED_REQUEST_HEADERS.has(folded)) return true;
  return DROPPED_REQUEST_PREFIXES.some((prefix) => folded.startsWith(prefix));
}

/** Headers of a caller that may reach an upstream. */
export function selectRequestHeaders(
  headers: HeaderList,
  presentedKey: string | undefined,
): HeaderList {
  const named = headers.filter(([name]) => name === 'connection').map(([, value]) => value);
  const tokens = new Set(parseConnectionTokens(named));
  tokens.delete(HEADER_IDEMPOTENCY_KEY);
  return headers.filter(
    ([name, value]) =>
      !isDroppedFromRequest(name) &&
      !tokens.has(name) &&
      !holdsKey(name, presentedKey) &&
      !holdsKey(value, presentedKey),
  );
}

/** Headers as sent to an upstream: name and value in turn. */
export function toUpstreamHeaders(
  headers: HeaderList,
  requestId: string,
  team: string | undefined,
): string[] {
  const result = headers.flat();
  result.push(HEADER_REQUEST_ID, requestId);
  if (team !== undefined) result.push(HEADER_TEAM, team);
  return result;
}

/** Header values of a response by lower-case name. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Headers of an upstream's response that may reach the caller, with the request id. */
export function selectResponseHeaders(headers: ResponseHeaders, requestId: string): HeaderList {
  const connection = headers.connection ?? [];
  const tokens = new Set(parseConnectionTokens([connection].flat()));
  const selected = Object.entries(headers).flatMap(([name, value]) => {
    if (value === undefined || DROPPED_RESPONSE_HEADERS.has(name)) return [];
    if (name.startsWith('marigoldbank-') || tokens.has(name)) return [];
    return [value].flat().map((item) => [name, item] as const);
  });
  return [...selected, [HEADER_REQUEST_ID, requestId]];
}
