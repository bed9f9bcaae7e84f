/** Normalisation of request targets, so that the path used for route matching is the one that the upstream sees. */

export type TargetResult =
  | { readonly kind: 'ok'; readonly path: string; readonly query: string }
  | { readonly kind: 'invalid'; readonly detail: string };

const VISIBLE_ASCII = /^[\x21-\x7e]+$/;
const FORBIDDEN_CHARACTER = /["#<>\\^`{|}]/;
const BROKEN_ENCODING = /%(?![0-9a-fA-F]{2})/;
/** Percent-encoded control characters, dot, slash and backslash, including those encoded more than once. */
const FORBIDDEN_ENCODING = /%(?:25)*(?:[01][0-9a-f]|7f|2e|2f|5c)/i;
/** Dot segments, with optional path parameters: some servers ignore what follows a semicolon when they resolve them. */
const DOT_SEGMENT = /(?:^|\/)\.{1,2}(?:;[^/]*)?(?=\/|$)/;
const ENCODED_BYTE = /%[0-9a-fA-F]{2}/g;
const UNRESERVED = /^[A-Za-z0-9_~-]$/;
const HEX_RADIX = 16;

function normaliseEncodedByte(encoded: string): string {
  const character = String.fromCharCode(Number.parseInt(encoded.slice(1), HEX_RADIX));
  return UNRESERVED.test(character) ? character : encoded.toUpperCase();
}

function findPathFault(path: string): string | undefined {
  if (FORBIDDEN_CHARACTER.test(path)) return 'the path holds a character that must be encoded';
  if (BROKEN_ENCODING.test(path)) return 'the path holds a broken percent encoding';
  if (FORBIDDEN_ENCODING.test(path)) {
    return 'the path holds an encoded dot, slash, backslash or control character';
  }
  if (path.includes('//')) return 'the path holds an empty segment';
  if (DOT_SEGMENT.test(path)) return 'the path holds a dot segment';
  return undefined;
}

/**
 * Validates and normalises a request target in origin form. Ambiguous paths are rejected rather than rewritten, because
 * the caller or an upstream may interpret the original path differently. Encoded unreserved characters are decoded.
 */
export function normaliseTarget(raw: string): TargetResult {
  if (!raw.startsWith('/')) {
    return { kind: 'invalid', detail: 'the request target must be a path' };
  }
  if (!VISIBLE_ASCII.test(raw)) {
    return { kind: 'invalid', detail: 'the request target holds a character that must be encoded' };
  }
  const queryAt = raw.indexOf('?');
  const path = queryAt < 0 ? raw : raw.slice(0, queryAt);
  const query = queryAt < 0 ? '' : raw.slice(queryAt);
  if (query.includes('#')) return { kind: 'invalid', detail: 'the query holds a fragment' };
  const fault = findPathFault(path);
  if (fault !== undefined) return { kind: 'invalid', detail: fault };
  return { kind: 'ok', path: path.replace(ENCODED_BYTE, normaliseEncodedByte), query };
}
