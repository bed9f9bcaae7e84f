/** Interface of a gateway process, implemented by both roles. */
import type { GatewaySettings } from './settings.js';

export interface GatewayProcess {
  /** Starts to listen and connects to peers. Rejects if an address is in use or the durable state is corrupt. */
  start(): Promise<void>;
  /** Applies changed settings. */
  reload(settings: GatewaySettings): void;
  /** Shuts down without interrupting a request. */
  stop(): Promise<void>;
}
