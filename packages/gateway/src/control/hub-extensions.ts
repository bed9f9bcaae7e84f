/** The extensions that the settings of a hub call for. */
import type { HubExtension, HubExtensionContext } from './HubExtension.js';

export function createHubExtensions(_ctx: HubExtensionContext): readonly HubExtension[] {
  return [];
}
