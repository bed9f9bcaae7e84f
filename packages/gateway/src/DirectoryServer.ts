/** Serves address lookups: which entries callers should use. Runs on every control VM and, if configured, on entries. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import type { ProtocolAdapter } from './ProtocolAdapter.js';
import { lookupsTotal } from './metrics.js';

/** TTL of a lookup response: short, since entries are added and removed at any time. */
const ADDRESS_TTL_MS = 2_000;

/** Idle timeout of connections; callers repeat their lookups within seconds. */
const KEEP_ALIVE_MS = 30_000;

export interface DirectoryContext {
  readonly protocol: ProtocolAdapter;
  /** Addresses for a caller in a data centre, empty if no entry is known. */
  readonly addressesFor: (dataCentre: string) => readonly string[];
  readonly maxTtlMs: number;
}

function respond(res: ServerResponse, status: number, body: string): void {
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  res.end(body);
}

export class DirectoryServer {
  private readonly server: Server;

  public constructor(private readonly ctx: DirectoryContext) {
    // Lookups outnumber all other requests when callers retry, and a response is one line: no framework is needed.
    this.server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (req, res) =>
      this.handle(req, res),
    );
  }

  /** Listens on `ip:port`. Rejects if it is in use. */
  public listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  public close(): void {
    this.server.close();
    this.server.closeIdleConnections();
  }

  private handle(req: IncomingMessage, res: ServerResponse): void {
    const { protocol, addressesFor, maxTtlMs } = this.ctx;
    req.resume();
    const lookup = protocol.parseAddressLookup(req.method ?? '', req.url ?? '');
    if (lookup === undefined) {
      respond(res, 404, JSON.stringify({ error: 'not found' }));
      return;
    }
    const addresses = addressesFor(lookup.dataCentre);
    lookupsTotal.inc({ outcome: addresses.length === 0 ? 'none' : 'answered' });
    if (addresses.length === 0) {
      respond(res, 503, JSON.stringify({ error: 'no entry is known' }));
      return;
    }
    respond(res, 200, protocol.formatAddresses(addresses, Math.min(ADDRESS_TTL_MS, maxTtlMs)));
  }
}
