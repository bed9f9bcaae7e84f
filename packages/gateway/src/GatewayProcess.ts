/** A process of the gateway, of either role. */
import type { GatewaySettings } from './settings.js';

export interface GatewayProcess {
  /** Listens and connects. Rejects if an address is in use or durable state is damaged. */
  start(): Promise<void>;
  /** Adopts changed settings. */
  reload(settings: GatewaySettings): void;
  /** Ends without interrupting a request. */
  stop(): Promise<void>;
}
