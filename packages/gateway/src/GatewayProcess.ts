/** Interface of a gateway process, implemented by both roles. */
import type { GatewaySettings } from './settings.js';

export interface GatewayProcess {
  /** Starts to listen and connects to peers. Rejects if an address is in use or the durable state is corrupt. */
  start(): Promise<void>;
  /** Takes over changed settings, as far as the role can apply them without a restart. */
  reload(settings: GatewaySettings): void;
  /** Shuts down. An entry first finishes the requests in progress, as far as the grace period allows. */
  stop(): Promise<void>;
}
