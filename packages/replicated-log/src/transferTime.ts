/** Time that large requests get beyond that of small ones. */

/** Slowest transfer that is waited for. A request that is sent again before it could be answered delays its own answer. */
const SLOWEST_BYTES_PER_MS = 256;

/** Whole milliseconds in which a number of bytes is sent, received and stored by members that have little processor time. */
export function transferMs(bytes: number): number {
  return Math.ceil(bytes / SLOWEST_BYTES_PER_MS);
}

/** Bytes of data in entries. */
export function entryBytes(entries: readonly { readonly data: Uint8Array }[]): number {
  return entries.reduce((sum, { data }) => sum + data.length, 0);
}
