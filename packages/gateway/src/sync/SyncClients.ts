/** Clients of the state synchronization service, one HTTP/2 connection per address. */
import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import { SystemClock, type Clock } from '@marigoldbank/base/clock';
import { SyncService } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { StateSessionManager } from './StateSessionManager.js';

/** Larger messages are compressed. Compressing each small one costs more processor time than encoding it. */
export const COMPRESS_MIN_BYTES = 8_192;

/** Largest message between hubs and entries, such as the targets of a large fleet. */
export const MAX_MESSAGE_BYTES = 33_554_432;

export class SyncClients {
  private readonly clients = new Map<string, Client<typeof SyncService>>();

  private readonly sessions: StateSessionManager[] = [];

  public constructor(private readonly clock: Clock = new SystemClock()) {}

  public client(address: string): Client<typeof SyncService> {
    const known = this.clients.get(address);
    if (known !== undefined) return known;
    const baseUrl = `http://${address}`;
    const sessionManager = new StateSessionManager(baseUrl, this.clock);
    this.sessions.push(sessionManager);
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager,
      compressMinBytes: COMPRESS_MIN_BYTES,
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    const created = createClient(SyncService, transport);
    this.clients.set(address, created);
    return created;
  }

  /** Closes all connections. */
  public dispose(): void {
    this.sessions.forEach((session) => session.dispose());
    this.clients.clear();
  }
}
