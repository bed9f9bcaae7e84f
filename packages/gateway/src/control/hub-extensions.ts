/** The extensions that the settings of a hub call for. */
import { EvacuationDistributor } from './EvacuationDistributor.js';
import type { HubExtension, HubExtensionContext } from './HubExtension.js';

export function createHubExtensions(ctx: HubExtensionContext): readonly HubExtension[] {
  return [new EvacuationDistributor(ctx)];
}
