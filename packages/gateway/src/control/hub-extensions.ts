/** The extensions that the settings of a hub call for. */
import { EvacuationDistributor } from './EvacuationDistributor.js';
import type { HubExtension, HubExtensionContext } from './HubExtension.js';
import { LevelDistributor } from './LevelDistributor.js';

export function createHubExtensions(ctx: HubExtensionContext): readonly HubExtension[] {
  const { settings } = ctx;
  return [
    new EvacuationDistributor(ctx),
    ...(settings.overload?.rankedAdmission ? [new LevelDistributor(ctx)] : []),
  ];
}
