/** Validation of request heads, before any route or key is looked up. */
import {
  HEADER_API_KEY,
  HEADER_IDEMPOTENCY_KEY,
  HEADER_TIMEOUT,
  MAX_IDEMPOTENCY_KEY_LENGTH,
  type EntryLimits,
} from './constants.js';
import { containsApiKey, removeApiKeysFromQuery } from './keys.js';
import { normaliseTarget } from './normaliseTarget.js';
import type { Refusal } from './refusals.js';
import type { CheckedRequest, HeaderList } from './types.js';

/** Head of a request as parsed by Node.js. */
export interface RequestHead {
  readonly method: string;
  readonly url: string;
  readonly httpVersion: string;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
}

export type CheckResult =
  | { readonly kind: 'checked'; readonly request: CheckedRequest }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Headers that make a request ambiguous when they occur more than once. */
const SINGLETON_HEADERS = [
  'host',
  'content-length',
  'content-type',
  'transfer-encoding',
  'authorization',
  'expect',
  HEADER_API_KEY,
  HEADER_IDEMPOTENCY_KEY,
  HEADER_TIMEOUT,
];

const HOST_PATTERN = /^(?:[A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\])(?::\d{1,5})?$/;
const CONTENT_LENGTH_PATTERN = /^\d{1,15}$/;
const TIMEOUT_PATTERN = /^[1-9]\d{0,8}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]+$/;
const BEARER_PATTERN = /^bearer +(\S+)$/i;

function badRequest(detail: string): Refusal {
  return { kind: 'badRequest', verdict: 'notRun', detail };
}

/** Converts the alternating names and values of Node.js to pairs with lower-case names. */
export function toHeaderList(rawHeaders: readonly string[]): HeaderList {
  return rawHeaders.flatMap((name, i) =>
    i % 2 === 0 ? [[name.toLowerCase(), rawHeaders[i + 1] ?? ''] as const] : [],
  );
}

/** Values of the headers that may occur only once, and the name of the first one that occurs twice. */
export function collectSingletonHeaders(
  headers: HeaderList,
  singleHeaders: readonly string[] = SINGLETON_HEADERS,
): { values: Map<string, string>; doubled?: string } {
  const values = new Map<string, string>();
  const doubled = headers.find(([name, value]) => {
    if (!singleHeaders.includes(name)) return false;
    if (values.has(name)) return true;
    values.set(name, value);
    return false;
  });
  return doubled === undefined ? { values } : { values, doubled: doubled[0] };
}

/** Describes why the end of the body is ambiguous, or returns undefined. */
export function findFramingFault(singletons: ReadonlyMap<string, string>): string | undefined {
  const length = singletons.get('content-length');
  const coding = singletons.get('transfer-encoding');
  if (length !== undefined && coding !== undefined) {
    return 'Content-Length and Transfer-Encoding exclude each other';
  }
  if (length !== undefined && !CONTENT_LENGTH_PATTERN.test(length)) {
    return 'Content-Length must be a number';
  }
  if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
    return 'the only transfer coding is chunked';
  }
  return undefined;
}

function findHeaderFault(
  headers: HeaderList,
  singletons: ReadonlyMap<string, string>,
): string | undefined {
  if (!HOST_PATTERN.test(singletons.get('host') ?? '')) return 'one valid Host header is needed';
  if (headers.some(([name]) => name === 'upgrade')) return 'upgrades are not supported';
  const expectation = singletons.get('expect');
  if (expectation !== undefined && expectation.toLowerCase() !== '100-continue') {
    return 'the only expectation is 100-continue';
  }
  const timeout = singletons.get(HEADER_TIMEOUT);
  if (timeout !== undefined && !TIMEOUT_PATTERN.test(timeout)) {
    return 'X-Request-Timeout-Ms must be a positive number of milliseconds';
  }
  return findFramingFault(singletons);
}

function findIdempotencyKeyFault(
  value: string | undefined,
  presentedKey: string | undefined,
): string | undefined {
  if (value === undefined) return undefined;
  if (value.length > MAX_IDEMPOTENCY_KEY_LENGTH || !IDEMPOTENCY_KEY_PATTERN.test(value)) {
    return `Idempotency-Key must be 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH} visible ASCII characters`;
  }
  return containsApiKey(value, presentedKey) ? 'Idempotency-Key must not hold a key' : undefined;
}

function readPresentedKey(singletons: ReadonlyMap<string, string>): string | undefined {
  const bearer = BEARER_PATTERN.exec(singletons.get('authorization') ?? '')?.[1];
  return singletons.get(HEADER_API_KEY) ?? bearer;
}

function hasTwoKeys(singletons: ReadonlyMap<string, string>): boolean {
  const bearer = BEARER_PATTERN.exec(singletons.get('authorization') ?? '')?.[1];
  const apiKey = singletons.get(HEADER_API_KEY);
  return bearer !== undefined && apiKey !== undefined && bearer !== apiKey;
}

function toRequest(
  head: RequestHead,
  target: { path: string; query: string },
  headers: HeaderList,
  singletons: ReadonlyMap<string, string>,
): CheckedRequest {
  const presentedKey = readPresentedKey(singletons);
  const length = singletons.get('content-length');
  const timeout = singletons.get(HEADER_TIMEOUT);
  const contentLength = length === undefined ? undefined : Number(length);
  return {
    method: head.method,
    path: target.path,
    query: removeApiKeysFromQuery(target.query, presentedKey),
    headers,
    presentedKey,
    idempotencyKey: singletons.get(HEADER_IDEMPOTENCY_KEY),
    timeoutMs: timeout === undefined ? undefined : Number(timeout),
    contentLength,
    hasBody: singletons.has('transfer-encoding') || (contentLength ?? 0) > 0,
  };
}

function checkLimits(head: RequestHead, limits: EntryLimits): Refusal | undefined {
  if (head.url.length > limits.maxTargetBytes) return { kind: 'targetTooLong', verdict: 'notRun' };
  if (head.rawHeaders.length / 2 > limits.maxHeaders) {
    return { kind: 'headersTooLarge', verdict: 'notRun' };
  }
  // HTTP/1.0 callers cannot tell a truncated response from a complete one.
  if (head.httpVersion !== '1.1') return badRequest('HTTP/1.1 is needed');
  return undefined;
}

/** Validates the head of a request. */
export function checkRequest(head: RequestHead, limits: EntryLimits): CheckResult {
  const refused = (refusal: Refusal): CheckResult => ({ kind: 'refused', refusal });
  const limitRefusal = checkLimits(head, limits);
  if (limitRefusal !== undefined) return refused(limitRefusal);
  const target = normaliseTarget(head.url);
  if (target.kind === 'invalid') return refused(badRequest(target.detail));
  const headers = toHeaderList(head.rawHeaders);
  const { values, doubled } = collectSingletonHeaders(headers);
  if (doubled !== undefined) return refused(badRequest(`more than one ${doubled} header`));
  const fault = findHeaderFault(headers, values);
  if (fault !== undefined) return refused(badRequest(fault));
  if (hasTwoKeys(values)) return refused(badRequest('two different keys'));
  const presentedKey = readPresentedKey(values);
  if (containsApiKey(target.path, presentedKey)) return refused(badRequest('the path holds a key'));
  const keyFault = findIdempotencyKeyFault(values.get(HEADER_IDEMPOTENCY_KEY), presentedKey);
  if (keyFault !== undefined) return refused(badRequest(keyFault));
  return { kind: 'checked', request: toRequest(head, target, headers, values) };
}
