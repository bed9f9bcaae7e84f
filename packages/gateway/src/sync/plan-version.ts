/** Versions of plans in messages. A field is absent where there is no plan: 0 is a version like any other. */

export function toVersion(field: bigint | undefined): number | undefined {
  return field === undefined ? undefined : Number(field);
}

export function toVersionField(version: number | undefined): bigint | undefined {
  return version === undefined ? undefined : BigInt(version);
}
