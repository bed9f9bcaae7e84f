/** Clients for calls to other daemons, over shared keep-alive connections. */
import http from 'node:http';
import type { DescService } from '@bufbuild/protobuf';
import { createClient, type Client, type Transport } from '@connectrpc/connect';
import { compressionGzip, createConnectTransport } from '@connectrpc/connect-node';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { sendSecret } from './auth.js';
import { MAX_MESSAGE_BYTES } from './InternalServer.js';

/** Idle connections kept per daemon. */
const MAX_IDLE_SOCKETS = 4;

/** Larger messages are compressed by default. Configurations shrink to a fifth. */
const COMPRESS_MIN_BYTES = 4_096;

export interface ChannelOptions {
  readonly secret: string;
  /** Local IP address to connect from, for a VM that has several. */
  readonly outgoingAddress: string | undefined;
  /** Size from which on messages are compressed. */
  readonly compressMinBytes?: number;
  /** Whether answers may be compressed; they may by default. */
  readonly acceptsCompression?: boolean;
}

/** Caches one transport per address; all of them share one agent, so that connections are reused. */
export class Channels implements IDisposable {
  private readonly agent: http.Agent;

  private readonly transports = new Map<string, Transport>();

  public constructor(private readonly options: ChannelOptions) {
    this.agent = new http.Agent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_SOCKETS,
      ...(options.outgoingAddress === undefined ? {} : { localAddress: options.outgoingAddress }),
    });
  }

  /** Creates a client for a service at `ip:port`. */
  public client<T extends DescService>(service: T, address: string): Client<T> {
    return createClient(service, this.transportTo(address));
  }

  public dispose(): void {
    this.agent.destroy();
    this.transports.clear();
  }

  private transportTo(address: string): Transport {
    const known = this.transports.get(address);
    if (known !== undefined) return known;
    const transport = createConnectTransport({
      baseUrl: `http://${address}`,
      httpVersion: '1.1',
      nodeOptions: { agent: this.agent },
      interceptors: [sendSecret(this.options.secret)],
      sendCompression: compressionGzip,
      compressMinBytes: this.options.compressMinBytes ?? COMPRESS_MIN_BYTES,
      ...(this.options.acceptsCompression === false ? { acceptCompression: [] } : {}),
      readMaxBytes: MAX_MESSAGE_BYTES,
    });
    this.transports.set(address, transport);
    return transport;
  }
}
