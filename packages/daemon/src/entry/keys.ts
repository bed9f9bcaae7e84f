/** API keys of callers: parsing, verification, and removal from requests to upstreams. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { ConfigSection } from '../Blackboard.js';
import type { VerifiedKey } from './types.js';

const KEY_PATTERN = /^mb_([a-z0-9]{4,32})_([A-Za-z0-9_-]{16,128})$/;
const ANY_KEY_PATTERN = /mb_[a-z0-9]{4,32}_[A-Za-z0-9_-]{16,}/i;
const BASE64_PATTERN = /[A-Za-z0-9+/_-]{20,}/g;
const HASH_HEX_LENGTH = 64;
const MAX_DECODINGS = 4;

/** Compared against when the key id does not exist, so that verification takes the same time. */
const PLACEHOLDER_HASH = '0'.repeat(HASH_HEX_LENGTH);

interface ParsedKey {
  readonly keyId: string;
  readonly secret: string;
}

/** Used for a missing or malformed key, so that verification takes the same time. */
const PLACEHOLDER_KEY: ParsedKey = { keyId: '', secret: 'x'.repeat(43) };

function parseApiKey(presented: string | undefined): ParsedKey {
  const match = presented === undefined ? null : KEY_PATTERN.exec(presented);
  if (match === null) return PLACEHOLDER_KEY;
  return { keyId: match[1]!, secret: match[2]! };
}

/** True when the configuration still contains the key and assigns it to the same team. */
export function isApiKeyActive(key: VerifiedKey, section: ConfigSection): boolean {
  const { keys } = section.config;
  const issued = Object.hasOwn(keys, key.keyId) ? keys[key.keyId] : undefined;
  if (issued === undefined || issued.hash !== key.hash || issued.team !== key.team) return false;
  return section.lists.teamOfKey(key.keyId) === key.team;
}

/**
 * Verifies an API key. Missing, malformed, unknown, revoked and wrong keys give the same result after about the same work,
 * so that neither the response nor its timing tells them apart.
 */
export function verifyApiKey(
  presented: string | undefined,
  section: ConfigSection,
): VerifiedKey | undefined {
  const { keyId, secret } = parseApiKey(presented);
  const digest = createHash('sha256').update(secret).digest();
  const { keys } = section.config;
  const issued = Object.hasOwn(keys, keyId) ? keys[keyId] : undefined;
  const expected = Buffer.from(issued?.hash ?? PLACEHOLDER_HASH, 'hex');
  const isEqual = timingSafeEqual(digest, expected);
  if (!isEqual || issued === undefined) return undefined;
  const key = { keyId, hash: issued.hash, team: issued.team };
  return isApiKeyActive(key, section) ? key : undefined;
}

function decodeOnce(text: string): string {
  return text.replace(/%([0-9a-fA-F]{2})/g, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );
}

function containsBase64ApiKey(text: string): boolean {
  const runs = text.match(BASE64_PATTERN) ?? [];
  return runs.some((run) => ANY_KEY_PATTERN.test(Buffer.from(run, 'base64').toString('latin1')));
}

/** True when the text contains an API key, plain, percent-encoded up to several times, or in base64. */
export function containsApiKey(text: string, presented: string | undefined): boolean {
  let current = text;
  for (let i = 0; i < MAX_DECODINGS; i += 1) {
    if (ANY_KEY_PATTERN.test(current)) return true;
    if (presented !== undefined && current.includes(presented)) return true;
    const decoded = decodeOnce(current);
    if (decoded === current) break;
    current = decoded;
  }
  return containsBase64ApiKey(current);
}

/** Removes the query parameters that contain an API key. */
export function removeApiKeysFromQuery(query: string, presented: string | undefined): string {
  if (query.length <= 1 || !containsApiKey(query, presented)) return query;
  const kept = query
    .slice(1)
    .split('&')
    .filter((parameter) => !containsApiKey(parameter, presented));
  const joined = kept.join('&');
  // A key that spans several parameters is found only in the joined query, which is then dropped.
  if (joined === '' || containsApiKey(joined, presented)) return '';
  return `?${joined}`;
}
