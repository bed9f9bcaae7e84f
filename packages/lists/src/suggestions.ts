/** Suggests known names in messages about unknown ones. */
import { closest, distance } from 'fastest-levenshtein';

const MAX_DISTANCE_SHARE = 0.4;

/** Longer lists are not searched, which would take too long for a message. */
const MAX_CANDIDATES = 5_000;

/** The known name that the given one is probably a misspelling of. */
export function similarName(name: string, known: readonly string[]): string | undefined {
  if (known.length === 0 || known.length > MAX_CANDIDATES) return undefined;
  const best = closest(name, known);
  const limit = Math.max(1, Math.floor(name.length * MAX_DISTANCE_SHARE));
  return distance(name, best) <= limit ? best : undefined;
}

/** The question `did you mean ...?` for a message, or undefined when no known name is similar. */
export function suggest(name: string, known: readonly string[]): string | undefined {
  const best = similarName(name, known);
  return best === undefined ? undefined : `did you mean ${JSON.stringify(best)}?`;
}
