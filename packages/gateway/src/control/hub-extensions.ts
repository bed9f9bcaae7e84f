/** The extensions that the settings of a hub call for. */
import { EvacuationDistributor } from './EvacuationDistributor.js';
import type { HubExtension, HubExtensionContext } from './HubExtension.js';
import { LevelDistributor } from './LevelDistributor.js';
import { PlacementDistributor } from './PlacementDistributor.js';
import { TargetPaceExtension } from './TargetPaceExtension.js';

export function createHubExtensions(ctx: HubExtensionContext): readonly HubExtension[] {
  const { overload, placement } = ctx.settings;
  const paces = overload?.slotQueue === true ? new TargetPaceExtension(ctx) : undefined;
  const levels =
    overload?.rankedAdmission === true ? new LevelDistributor(ctx, paces?.paces) : undefined;
  return [
    new EvacuationDistributor(ctx),
    ...(paces === undefined ? [] : [paces]),
    ...(levels === undefined ? [] : [levels]),
    ...(placement?.crossingPrice === undefined
      ? []
      : [new PlacementDistributor(ctx, placement.crossingPrice, placement.plans, levels?.load)]),
  ];
}
