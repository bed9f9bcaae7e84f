/** Address list for callers that ask which entries to use. */
import type { Random } from '@marigoldbank/base/random';
import type { EntryRecord } from '@marigoldbank/fleet/config';
import { ADDRESS_TTL_SECONDS } from './constants.js';
import type { EntryContext } from './types.js';

export interface AddressListResponse {
  readonly addresses: readonly string[];
  readonly ttlSeconds: number;
}

/** Entries that callers may use: current and not draining. */
function findUsableEntries(ctx: EntryContext, isLeaving: boolean): readonly EntryRecord[] {
  const section = ctx.blackboard.config.value;
  if (section === undefined) return [];
  const current = new Set(ctx.blackboard.peers.value.current);
  const isSelfCurrent = ctx.clock.now() < ctx.blackboard.freshness.value.currentUntil;
  const isSelfUsable = isSelfCurrent && !isLeaving && !ctx.isExcludedFromAddresses();
  const draining = new Set(section.config.drainingEntries);
  return section.config.view.entries.filter(
    ({ vm }) => !draining.has(vm) && (vm === ctx.vm ? isSelfUsable : current.has(vm)),
  );
}

/** Lists the usable entries, those in the caller's data centre first, in random order within each group. */
export function listAddresses(
  ctx: EntryContext,
  random: Random,
  dataCentre: string | undefined,
  isLeaving: boolean,
): AddressListResponse {
  const usable = findUsableEntries(ctx, isLeaving);
  const local = usable.filter((entry) => entry.dataCentre === dataCentre);
  const remote = usable.filter((entry) => entry.dataCentre !== dataCentre);
  const ordered = [...random.shuffle(local), ...random.shuffle(remote)];
  return {
    addresses: ordered.map(({ callerAddress }) => callerAddress),
    ttlSeconds: ADDRESS_TTL_SECONDS,
  };
}
