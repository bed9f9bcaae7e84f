/** Selection of the headers that are forwarded to upstreams and callers. */
import {
  HEADER_IDEMPOTENCY_KEY,
  HEADER_REQUEST_ID,
  HEADER_TEAM,
  HEADER_TIMEOUT,
} from './constants.js';
import { containsApiKey } from './keys.js';
import type { HeaderList } from './types.js';

/** Hop-by-hop headers, which apply to one connection only and are never forwarded. */
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

/** Headers that this entry sets itself, that carry credentials, or with which a caller could spoof its identity or target. */
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

/** Header names that `Connection` headers declare as hop-by-hop. */
export function parseConnectionTokens(values: readonly string[]): string[] {
  return values
    .flatMap((value) => value.split(','))
    .map((token) => token.trim().toLowerCase())
    .filter((token) => token !== '');
}

function isDroppedFromRequest(name: string): boolean {
  // CGI-style servers do not distinguish underscores from hyphens in header names.
  const normalised = name.replaceAll('_', '-');
  if (DROPPED_REQUEST_HEADERS.has(normalised)) return true;
  return DROPPED_REQUEST_PREFIXES.some((prefix) => normalised.startsWith(prefix));
}

/** Selects the caller headers that are forwarded to the upstream. */
export function selectRequestHeaders(
  headers: HeaderList,
  presentedKey: string | undefined,
): HeaderList {
  const connectionValues = headers
    .filter(([name]) => name === 'connection')
    .map(([, value]) => value);
  const tokens = new Set(parseConnectionTokens(connectionValues));
  tokens.delete(HEADER_IDEMPOTENCY_KEY);
  return headers.filter(
    ([name, value]) =>
      !isDroppedFromRequest(name) &&
      !tokens.has(name) &&
      !containsApiKey(name, presentedKey) &&
      !containsApiKey(value, presentedKey),
  );
}

/** Headers as sent to an upstream, as alternating names and values. */
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

/** Response header values by lower-case name. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Selects the response headers that are forwarded to the caller, and adds the request id. */
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
