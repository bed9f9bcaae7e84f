/** Clients of other daemons, one connection pool an address. */
import http from 'node:http';
import type { DescService } from '@bufbuild/protobuf';
import { createClient, type Client, type Transport } from '@connectrpc/connect';
import { createConnectTransport } from '@connectrpc/connect-node';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { sendSecret } from './auth.js';

/** Idle connections kept to one daemon. */
const MAX_IDLE_SOCKETS = 4;

export interface ChannelOptions {
  readonly secret: string;
  /** Local IP to connect from, where a VM has several. */
  readonly outgoingAddress: string | undefined;
}

/** Caches transports by address, so that connections are reused. */
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

  /** A client for a service at `ip:port`. */
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
    });
    this.transports.set(address, transport);
    return transport;
  }
}
