/** Reads the lists in force from control. */
import { listsSchema, type Lists } from '@marigoldbank/lists/schema';
import { z } from 'zod';
import type { OperatorClient } from './OperatorClient.js';

const contentSchema = z.object({ lists: listsSchema, keyIds: z.array(z.string()) });

export interface ListsInForce {
  readonly lists: Lists;
  /** Ids of the issued keys. */
  readonly keyIds: readonly string[];
  readonly listsRevision: number;
}

export async function fetchLists(client: OperatorClient): Promise<ListsInForce> {
  const { value } = await client.callLeader((stub) => stub.getLists({}));
  const json: unknown = JSON.parse(new TextDecoder().decode(value.content));
  return { ...contentSchema.parse(json), listsRevision: Number(value.listsRevision) };
}

function teamByListedKey({ teams }: Lists): Map<string, string> {
  return new Map(
    Object.entries(teams).flatMap(([team, { keys }]) =>
      keys.map((keyId): [string, string] => [keyId, team]),
    ),
  );
}

/** Describes the issued keys that the new lists no longer contain: they must be issued again to work. */
export function withdrawnKeys(now: ListsInForce, next: Lists): string[] {
  const teamByKeyNow = teamByListedKey(now.lists);
  const teamByKeyNext = teamByListedKey(next);
  return now.keyIds
    .filter((keyId) => teamByKeyNow.has(keyId) && !teamByKeyNext.has(keyId))
    .map((keyId) => {
      const team = teamByKeyNow.get(keyId);
      return `key ${keyId} was issued to team ${team} and is withdrawn: it stops working and cannot be listed again`;
    });
}
