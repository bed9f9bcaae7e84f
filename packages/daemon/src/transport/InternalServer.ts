/** Internal listener: serves the Connect services, and passes all other requests to a fallback handler. */
import http from 'node:http';
import type { ConnectRouter } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { requireSecret } from './auth.js';

/** Largest message between daemons. Large enough for a whole configuration with 100,000 teams. */
export const MAX_MESSAGE_BYTES = 67_108_864;

/** Paths of Connect services start with the name of the protobuf package. */
const SERVICE_PATH_PREFIX = '/marigoldbank.v1.';

const HEADERS_TIMEOUT_MS = 5_000;

const KEEP_ALIVE_TIMEOUT_MS = 60_000;

export interface InternalServerOptions {
  /** `ip:port` to listen on. */
  readonly address: string;
  readonly secretOf: (typeName: string) => string | undefined;
  readonly register: (router: ConnectRouter) => void;
  readonly fallback: (req: http.IncomingMessage, res: http.ServerResponse) => void;
}

/** Splits `ip:port`. IPv6 addresses are written in brackets. */
export function parseAddress(address: string): { host: string; port: number } {
  const at = address.lastIndexOf(':');
  const host = address.slice(0, at).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(at + 1)) };
}

export class InternalServer {
  private readonly server: http.Server;

  public constructor(private readonly options: InternalServerOptions) {
    const handler = connectNodeAdapter({
      routes: options.register,
      interceptors: [requireSecret(options.secretOf)],
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    this.server = http.createServer({ headersTimeout: HEADERS_TIMEOUT_MS }, (req, res) => {
      const serve = req.url?.startsWith(SERVICE_PATH_PREFIX) ? handler : options.fallback;
      serve(req, res);
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  }

  /** Starts listening. Rejects if the address is in use. */
  public listen(): Promise<void> {
    const { host, port } = parseAddress(this.options.address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Stops listening and closes all connections. */
  public close(): Promise<void> {
    return new Promise((resolve) => {
      this.server.close(() => resolve());
      this.server.closeAllConnections();
    });
  }
}
