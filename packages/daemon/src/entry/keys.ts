/** Callers' keys: parsing, verification, and removal from what is sent to upstreams. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { ConfigSection } from '../Blackboard.js';
import type { VerifiedKey } from './types.js';

const KEY_PATTERN = /^mb_([a-z0-9]{4,32})_([A-Za-z0-9_-]{16,128})$/;
const ANY_KEY_PATTERN = /mb_[a-z0-9]{4,32}_[A-Za-z0-9_-]{16,}/i;
const BASE64_RUN = /[A-Za-z0-9+/_-]{20,}/g;
const HASH_HEX_LENGTH = 64;
const MAX_DECODINGS = 4;

/** Compared against when no key with the id exists, so that the work is the same. */
const UNKNOWN_HASH = '0'.repeat(HASH_HEX_LENGTH);

interface ParsedKey {
  readonly keyId: string;
  readonly secret: string;
}

/** Stands in for a missing or malformed key, so that the work is the same. */
const NO_KEY: ParsedKey = { keyId: '', secret: 'x'.repeat(43) };

function parseKey(presented: string | undefined): ParsedKey {
  const match = presented === undefined ? null : KEY_PATTERN.exec(presented);
  if (match === null) return NO_KEY;
  return { keyId: match[1]!, secret: match[2]! };
}

/** True when the key id works for the team under this configuration. */
export function isKeyInForce(key: VerifiedKey, section: ConfigSection): boolean {
  const { keys } = section.config;
  const issued = Object.hasOwn(keys, key.keyId) ? keys[key.keyId] : undefined;
  if (issued === undefined || issued.hash !== key.hash || issued.team !== key.team) return false;
  return section.lists.teamOfKey(key.keyId) === key.team;
}

/** Verifies a key. Missing, malformed, unknown, revoked and wrong keys give the same answer for about the same work. */
export function verifyKey(
  presented: string | undefined,
  section: ConfigSection,
): VerifiedKey | undefined {
  const { keyId, secret } = parseKey(presented);
  const digest = createHash('sha256').update(secret).digest();
  const { keys } = section.config;
  const issued = Object.hasOwn(keys, keyId) ? keys[keyId] : undefined;
  const expected = Buffer.from(issued?.hash ?? UNKNOWN_HASH, 'hex');
  const isEqual = timingSafeEqual(digest, expected);
  if (!isEqual || issued === undefined) return undefined;
  const key = { keyId, hash: issued.hash, team: issued.team };
  return isKeyInForce(key, section) ? key : undefined;
}

function decodeOnce(text: string): string {
  return text.replace(/%([0-9a-fA-F]{2})/g, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );
}

function holdsBase64Key(text: string): boolean {
  const runs = text.match(BASE64_RUN) ?? [];
  return runs.some((run) => ANY_KEY_PATTERN.test(Buffer.from(run, 'base64').toString('latin1')));
}

/** True when the text holds a key, also percent-encoded several times or in base64. */
export function holdsKey(text: string, presented: string | undefined): boolean {
  let current = text;
  for (let i = 0; i < MAX_DECODINGS; i += 1) {
    if (ANY_KEY_PATTERN.test(current)) return true;
    if (presented !== undefined && current.includes(presented)) return true;
    const decoded = decodeOnce(current);
    if (decoded === current) break;
    current = decoded;
  }
  return holdsBase64Key(current);
}

/** Removes the parameters of a query that hold a key. */
export function removeKeysFromQuery(query: string, presented: string | undefined): string {
  if (query.length <= 1 || !holdsKey(query, presented)) return query;
  const kept = query
    .slice(1)
    .split('&')
    .filter((parameter) => !holdsKey(parameter, presented));
  const joined = kept.join('&');
  // A key split over parameters is found only in the whole query.
  if (joined === '' || holdsKey(joined, presented)) return '';
  return `?${joined}`;
}
