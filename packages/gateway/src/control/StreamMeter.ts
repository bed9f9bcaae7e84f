/**
 * Counts the bytes of the fleet's own streams between data centres, as they pass through the sockets of this hub. Each stream
 * is served by one hub, so that all hubs together count each byte once.
 */
import { crossStreamBytesTotal } from '../metrics.js';

/** What the meter reads of a socket. */
export interface MeteredSocket {
  readonly remoteAddress?: string | undefined;
  readonly bytesRead: number;
  readonly bytesWritten: number;
  readonly destroyed: boolean;
}

export interface StreamPeer {
  readonly kind: 'hub' | 'entry';
  readonly dataCentre: string;
}

interface Counted {
  readonly ip: string;
  read: number;
  written: number;
}

const IPV4_PREFIX = '::ffff:';

export class StreamMeter {
  private readonly sockets = new Map<MeteredSocket, Counted>();

  public constructor(
    private readonly dataCentre: string,
    /** The process at an IP address, undefined if it has not said yet what it is. */
    private readonly peerAt: (ip: string) => StreamPeer | undefined,
  ) {}

  public add(socket: MeteredSocket): void {
    const ip = (socket.remoteAddress ?? '').replace(IPV4_PREFIX, '');
    this.sockets.set(socket, { ip, read: 0, written: 0 });
  }

  /** Counts what has passed since the last call. */
  public update(): void {
    this.sockets.forEach((counted, socket) => {
      const { bytesRead, bytesWritten } = socket;
      const peer = this.peerAt(counted.ip);
      if (peer !== undefined && peer.dataCentre !== this.dataCentre) {
        const { kind } = peer;
        crossStreamBytesTotal.inc({ peer: kind, direction: 'received' }, bytesRead - counted.read);
        crossStreamBytesTotal.inc(
          { peer: kind, direction: 'sent' },
          bytesWritten - counted.written,
        );
      }
      if (peer !== undefined) Object.assign(counted, { read: bytesRead, written: bytesWritten });
      if (socket.destroyed) this.sockets.delete(socket);
    });
  }
}
