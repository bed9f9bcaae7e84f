/** Formats the lists as the content of the two TOML files. */
import { stringify } from 'smol-toml';
import type { Lists } from './schema.js';

export interface FormattedLists {
  /** Content of teams.toml. */
  readonly teams: string;
  /** Content of plans.toml. */
  readonly plans: string;
}

const sortedById = <T>(record: Readonly<Record<string, T>>): Record<string, T> =>
  Object.fromEntries(Object.entries(record).sort(([a], [b]) => (a < b ? -1 : 1)));

/** TOML of both lists, sorted by id. Parsing it gives the same lists. */
export function formatLists({ teams, services, routes, plans }: Lists): FormattedLists {
  return {
    teams: `${stringify({ teams: sortedById(teams) })}\n`,
    plans: `${stringify({
      services: sortedById(services),
      routes: sortedById(routes),
      plans: sortedById(plans),
    })}\n`,
  };
}
