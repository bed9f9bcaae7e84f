/** A hub whose last confirmation by a majority of the voters is older than this may have stale state. */
export const MAX_CONFIRMED_AGE_MS = 1_300;
