/** Copy of the choice of a target as it was before placement, for the comparison in PlacedSample.test.ts. */
import type { Random } from '@marigoldbank/base/random';
import type { SelectionRequest } from '../TargetSelector.js';
import type { TargetState, TargetTable } from '../TargetTable.js';

interface Scored {
  readonly id: string;
  readonly cost: number;
}

function informationValue(
  target: TargetState,
  failing: number,
  req: SelectionRequest,
  now: number,
): number {
  const sinceMs = now - Math.max(target.lastOutcomeAt, target.lastTriedAt);
  if (failing < 0.4) return 0.1 * Math.min(1, Math.max(0, sinceMs) / 1_500);
  const isFree = target.ownInFlight + target.othersInFlight === 0;
  return sinceMs >= 1_200 && isFree && req.remainingMs > 2.5 * req.expectedMs ? 0.2 : 0;
}

function costBefore(target: TargetState, req: SelectionRequest, now: number): number {
  const { info } = target;
  const failing = target.belief.failingProbability(now);
  const inFlight = target.ownInFlight + target.othersInFlight;
  const slowdown = now < target.coldUntil ? 2 : 1;
  const waitMs = (Math.max(0, inFlight + 1 - info.slots) / info.slots) * req.expectedMs * slowdown;
  const loadCost =
    0.05 * Math.min(1, (inFlight * slowdown) / info.slots) + 0.3 * (waitMs / req.expectedMs);
  return (
    failing * (req.canRetry ? 0.12 : 1) +
    (info.dataCentre === req.dataCentre ? 0 : 0.03) +
    loadCost +
    (now < target.unreachableUntil ? 2 : 0) -
    (req.canRetry ? informationValue(target, failing, req, now) : 0) -
    (req.hasIdleConnection?.(info.address) === true ? 0.01 : 0)
  );
}

/** Returns the id of the target, undefined if there is none. */
export function selectBefore(
  table: TargetTable,
  random: Random,
  req: SelectionRequest,
  now: number,
): string | undefined {
  const targets = table.candidates(req.service).filter(({ info: { id } }) => !req.excluded.has(id));
  const cheapest = (sample: readonly TargetState[]): Scored | undefined =>
    sample
      .map((target) => ({
        id: target.info.id,
        cost: costBefore(target, req, now) + 0.01 * random.float(),
      }))
      .reduce<Scored | undefined>(
        (least, item) => (least === undefined || item.cost < least.cost ? item : least),
        undefined,
      );
  const sample = (factor: number): TargetState[] => {
    const isLocal = ({ info }: TargetState): boolean => info.dataCentre === req.dataCentre;
    const isConnected = ({ info }: TargetState): boolean =>
      req.hasIdleConnection?.(info.address) === true;
    const own = random.sample(targets.filter(isLocal), 6 * factor);
    const others = targets.filter((target) => !isLocal(target));
    const connected = random.sample(targets.filter(isConnected), 4);
    return [...own, ...random.sample(others, 8 * factor - own.length), ...connected];
  };
  const chosen = cheapest(sample(1));
  if (chosen === undefined || chosen.cost <= 0.4) return chosen?.id;
  return cheapest(sample(4))?.id;
}
