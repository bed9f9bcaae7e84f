/** Small helpers for sentences. */

const MAX_NAMED = 5;

/** `a`, `a and b`, `a, b and c`; long lists end with a count. */
export function joinNames(words: readonly string[]): string {
  if (words.length > MAX_NAMED) {
    const named = words.slice(0, MAX_NAMED - 1);
    return `${named.join(', ')} and ${words.length - named.length} more`;
  }
  const last = words.at(-1) ?? '';
  return words.length < 2 ? last : `${words.slice(0, -1).join(', ')} and ${last}`;
}

/** `team a`, `teams a and b`. */
export function nounWithNames(noun: string, names: readonly string[]): string {
  return `${noun}${names.length === 1 ? '' : 's'} ${joinNames(names)}`;
}
