/**
 * A TCP relay in front of one daemon's internal address. It can drop everything that flows in one direction between two
 * VMs. It knows the connecting VM by its source IP, since each daemon of a test fleet connects from its own loopback IP.
 */
import net from 'node:net';

export interface RelayOptions {
  /** VM in front of which the relay stands. */
  readonly vm: string;
  readonly listen: { readonly host: string; readonly port: number };
  readonly forward: { readonly host: string; readonly port: number };
  readonly vmOfAddress: (ip: string) => string | undefined;
  /** Whether data that flows from one VM to another is dropped now. */
  readonly isCut: (from: string, to: string) => boolean;
}

export class Relay {
  private readonly server: net.Server;

  private readonly sockets = new Set<net.Socket>();

  public constructor(private readonly options: RelayOptions) {
    this.server = net.createServer((inbound) => this.accept(inbound));
  }

  public listen(): Promise<void> {
    const { host, port } = this.options.listen;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  public close(): void {
    this.server.close();
    this.dropConnections();
  }

  /** Closes the relayed connections. A stream that lost bytes cannot go on after a cut heals. */
  public dropConnections(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(inbound: net.Socket): void {
    const { vm, forward, vmOfAddress } = this.options;
    const from = vmOfAddress(inbound.remoteAddress ?? '') ?? 'outside';
    const outbound = net.connect(forward);
    this.join(inbound, outbound, from, vm);
    this.join(outbound, inbound, vm, from);
  }

  private join(source: net.Socket, sink: net.Socket, from: string, to: string): void {
    this.sockets.add(source);
    source.on('data', (chunk) => {
      if (!this.options.isCut(from, to)) sink.write(chunk);
    });
    source.on('error', () => sink.destroy());
    source.on('close', () => {
      this.sockets.delete(source);
      if (!this.options.isCut(from, to)) sink.destroy();
    });
  }
}
