/** HTTP/2 connection to one hub: gives up connections that are not established, and survives errors of replaced ones. */
import type { ClientHttp2Stream, Http2Session, OutgoingHttpHeaders } from 'node:http2';
import { Code, ConnectError } from '@connectrpc/connect';
import { Http2SessionManager } from '@connectrpc/connect-node';
import type { Clock } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';

/**
 * Pings detect network partitions, which do not close connections. A busy process answers them late: at 1 s, seven streams
 * to one hub that was saturated at its start ended together, and their snapshots kept it saturated. Silence of a hub is
 * noticed sooner, by its messages.
 */
const PING_INTERVAL_MS = 1_000;
const PING_TIMEOUT_MS = 3_000;

/**
 * Connections within a region take milliseconds. The system sends an opening packet that was lost again after 1, 3, 7 and
 * 15 s, so that a connection that was begun during a partition would outlast it by seconds.
 */
const CONNECT_TIMEOUT_MS = 800;

type RequestOptions = Parameters<Http2SessionManager['request']>[3];

/** What a transport needs of a session manager. */
type SessionManager = Pick<Http2SessionManager, 'authority' | 'request' | 'notifyResponseByteRead'>;

export class StateSessionManager extends DisposableStore implements SessionManager {
  public readonly authority: string;

  private readonly inner: Http2SessionManager;

  private readonly observed = new WeakSet<Http2Session>();

  private connectTimer: IDisposable | undefined;

  public constructor(
    baseUrl: string,
    private readonly clock: Clock,
  ) {
    super();
    this.inner = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
    });
    this.authority = this.inner.authority;
  }

  /** Opens a stream. Rejects with `unavailable` if the connection is not established in time. */
  public async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: RequestOptions,
  ): Promise<ClientHttp2Stream> {
    const opened = this.inner.request(method, path, headers, options);
    this.limitConnectTime();
    const stream = await opened;
    this.observe(stream.session);
    return stream;
  }

  public notifyResponseByteRead(stream: ClientHttp2Stream): void {
    this.inner.notifyResponseByteRead(stream);
  }

  public override dispose(): void {
    super.dispose();
    this.connectTimer?.dispose();
    this.inner.abort();
  }

  private limitConnectTime(): void {
    if (this.connectTimer !== undefined || this.inner.state() !== 'connecting') return;
    this.connectTimer = this.clock.setTimeout(() => {
      this.connectTimer = undefined;
      if (this.inner.state() !== 'connecting') return;
      this.inner.abort(new ConnectError('the connection is not established', Code.Unavailable));
    }, CONNECT_TIMEOUT_MS);
  }

  /**
   * A session that is destroyed emits its error only when its socket has closed. The manager stops to listen as soon as a
   * request finds the session destroyed, and an error without a listener would end the process. Streams report it.
   */
  private observe(session: Http2Session | undefined): void {
    if (session === undefined || this.observed.has(session)) return;
    this.observed.add(session);
    session.on('error', () => undefined);
  }
}
