/** Identifies requests that are the same for the target that runs them. */
import { createHash } from 'node:crypto';

/** SHA-256 of team, method, target (path and query) and body, in hexadecimal digits. */
export function computeFingerprint(
  team: string,
  method: string,
  target: string,
  body: Uint8Array,
): string {
  return createHash('sha256').update(`${team}\0${method}\0${target}\0`).update(body).digest('hex');
}
