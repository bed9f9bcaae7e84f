/** Clients of the state streams, one HTTP/2 connection per address. */
import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { SyncService } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';

/** A connection that answers no ping for so long is given up: partitions do not close connections. */
const PING_INTERVAL_MS = 1_000;
const PING_TIMEOUT_MS = 1_000;

export class SyncClients {
  private readonly clients = new Map<string, Client<typeof SyncService>>();

  public client(address: string): Client<typeof SyncService> {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '2',
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
    });
    const created = createClient(SyncService, transport);
    this.clients.set(address, created);
    return created;
  }
}
