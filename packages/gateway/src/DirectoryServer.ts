/** Answers callers who ask which entries to use. Every entry and every control VM can answer. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import type { ProtocolAdapter } from './ProtocolAdapter.js';
import { lookupsTotal } from './metrics.js';

/** Time that callers keep an answer with addresses: short, since entries come and go. */
const ADDRESS_TTL_MS = 2_000;

/** Connections that are idle for this long are closed; callers ask again within seconds. */
const KEEP_ALIVE_MS = 30_000;

export interface DirectoryContext {
  readonly protocol: ProtocolAdapter;
  /** Addresses for a caller of a data centre, none if no entry is known. */
  readonly addressesFor: (dataCentre: string) => readonly string[];
  readonly maxTtlMs: number;
}

function answer(res: ServerResponse, status: number, body: string): void {
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
  });
  res.end(body);
}

export class DirectoryServer {
  private readonly server: Server;

  public constructor(private readonly ctx: DirectoryContext) {
    // Questions outnumber all other calls when callers retry, and an answer is one line: the bare server suffices.
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
      answer(res, 404, JSON.stringify({ error: 'not found' }));
      return;
    }
    const addresses = addressesFor(lookup.dataCentre);
    lookupsTotal.inc({ outcome: addresses.length === 0 ? 'none' : 'answered' });
    if (addresses.length === 0) {
      answer(res, 503, JSON.stringify({ error: 'no entry is known' }));
      return;
    }
    answer(res, 200, protocol.formatAddresses(addresses, Math.min(ADDRESS_TTL_MS, maxTtlMs)));
  }
}
