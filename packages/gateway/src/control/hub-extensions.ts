/** The extensions that the settings of a hub call for. */
import { EvacuationDistributor } from './EvacuationDistributor.js';
import type { HubExtension, HubExtensionContext } from './HubExtension.js';
import { LevelDistributor } from './LevelDistributor.js';
import { PlacementDistributor } from './PlacementDistributor.js';

export function createHubExtensions(ctx: HubExtensionContext): readonly HubExtension[] {
  const { overload, placement } = ctx.settings;
  const levels = overload?.rankedAdmission === true ? new LevelDistributor(ctx) : undefined;
  const crossingPrice = placement?.crossingPrice;
  return [
    new EvacuationDistributor(ctx),
    ...(levels === undefined ? [] : [levels]),
    ...(crossingPrice === undefined
      ? []
      : [new PlacementDistributor(ctx, crossingPrice, levels?.load)]),
  ];
}
