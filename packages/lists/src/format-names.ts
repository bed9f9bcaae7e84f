/** Formats names for sentences. */

const MAX_NAMES = 5;

/** Joins names as `a`, `a and b`, `a, b and c`. A long list ends with the number of the names left out. */
export function joinNames(names: readonly string[]): string {
  if (names.length > MAX_NAMES) {
    const shown = names.slice(0, MAX_NAMES - 1);
    return `${shown.join(', ')} and ${names.length - shown.length} more`;
  }
  const last = names.at(-1) ?? '';
  return names.length < 2 ? last : `${names.slice(0, -1).join(', ')} and ${last}`;
}

/** `team a`, `teams a and b`. */
export function nounWithNames(noun: string, names: readonly string[]): string {
  return `${noun}${names.length === 1 ? '' : 's'} ${joinNames(names)}`;
}
