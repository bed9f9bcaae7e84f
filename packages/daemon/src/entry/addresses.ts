/** Answer to callers that ask which entries to use. */
import type { Random } from '@marigoldbank/base/random';
import type { EntryRecord } from '@marigoldbank/fleet/config';
import { ADDRESS_TTL_SECONDS } from './constants.js';
import type { EntryContext } from './types.js';

export interface AddressAnswer {
  readonly addresses: readonly string[];
  readonly ttlSeconds: number;
}

/** Entries that may be given to callers. */
function usableEntries(ctx: EntryContext, isLeaving: boolean): readonly EntryRecord[] {
  const section = ctx.blackboard.config.value;
  if (section === undefined) return [];
  const current = new Set(ctx.blackboard.peers.value.current);
  const isSelfCurrent = ctx.clock.now() < ctx.blackboard.currency.value.currentUntil;
  const isSelfUsable = isSelfCurrent && !isLeaving && !ctx.isExcludedFromAddresses();
  const draining = new Set(section.config.drainingEntries);
  return section.config.view.entries.filter(
    ({ vm }) => !draining.has(vm) && (vm === ctx.vm ? isSelfUsable : current.has(vm)),
  );
}

/** Current entries, those of the caller's data centre first, in random order within each group. */
export function listAddresses(
  ctx: EntryContext,
  random: Random,
  dataCentre: string | undefined,
  isLeaving: boolean,
): AddressAnswer {
  const usable = usableEntries(ctx, isLeaving);
  const near = usable.filter((entry) => entry.dataCentre === dataCentre);
  const far = usable.filter((entry) => entry.dataCentre !== dataCentre);
  const ordered = [...random.shuffle(near), ...random.shuffle(far)];
  return {
    addresses: ordered.map(({ callerAddress }) => callerAddress),
    ttlSeconds: ADDRESS_TTL_SECONDS,
  };
}
