/**
 * A TCP relay in front of one daemon's internal address, which can drop the data of one direction between two VMs. It
 * identifies the connecting VM by its source IP, since each daemon of a test fleet connects from its own loopback IP.
 */
import net from 'node:net';

export interface RelayOptions {
  /** VM to which the relay forwards. */
  readonly vm: string;
  readonly listen: { readonly host: string; readonly port: number };
  readonly forward: { readonly host: string; readonly port: number };
  readonly vmOfAddress: (ip: string) => string | undefined;
  /** Whether data from one VM to another is currently dropped. */
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

  /** Closes the relayed connections. A TCP stream that lost bytes cannot continue after the cut ends. */
  public dropConnections(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(inbound: net.Socket): void {
    const { vm, forward, vmOfAddress } = this.options;
    const from = vmOfAddress(inbound.remoteAddress ?? '') ?? 'outside';
    const outbound = net.connect(forward);
    this.pipe(inbound, outbound, from, vm);
    this.pipe(outbound, inbound, vm, from);
  }

  private pipe(source: net.Socket, destination: net.Socket, from: string, to: string): void {
    this.sockets.add(source);
    source.on('data', (chunk) => {
      if (!this.options.isCut(from, to)) destination.write(chunk);
    });
    source.on('error', () => destination.destroy());
    source.on('close', () => {
      this.sockets.delete(source);
      if (!this.options.isCut(from, to)) destination.destroy();
    });
  }
}
