/** The extensions that the settings of a hub call for. */
import type { HubExtension, HubExtensionContext } from './HubExtension.js';
import { TargetPaceExtension } from './TargetPaceExtension.js';

export function createHubExtensions(ctx: HubExtensionContext): readonly HubExtension[] {
  return ctx.settings.overload.rankedAdmission ? [new TargetPaceExtension(ctx)] : [];
}
