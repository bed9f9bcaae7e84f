/** The extensions that the settings of a hub call for. */
import type { HubExtension, HubExtensionContext } from './HubExtension.js';
import { PlacementDistributor } from './PlacementDistributor.js';

export function createHubExtensions(ctx: HubExtensionContext): readonly HubExtension[] {
  const crossingPrice = ctx.settings.placement?.crossingPrice;
  return crossingPrice === undefined ? [] : [new PlacementDistributor(ctx, crossingPrice)];
}
