/** Ports for processes that are started later. */
import { randomInt } from 'node:crypto';
import net from 'node:net';

/** Below the ephemeral range, so that no outgoing connection takes a port between its allocation and its use. */
const FIRST_PORT = 12_000;
const LAST_PORT = 30_000;

/** Whether nothing listens on a port. */
function isFree(host: string, port: number): Promise<boolean> {
  const server = net.createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Allocates ports and never returns one twice, since a process may bind it long after its allocation. */
export class PortAllocator {
  private readonly allocated = new Set<number>();

  public constructor(
    private readonly firstPort = FIRST_PORT,
    private readonly lastPort = LAST_PORT,
  ) {}

  /** Allocates consecutive ports that are free on the loopback IP and returns the first. Rejects if none are left. */
  public async allocate(host: string, count = 1): Promise<number> {
    const starts = this.lastPort - this.firstPort + 2 - count;
    const offset = randomInt(starts);
    for (let i = 0; i < starts; i += 1) {
      const base = this.firstPort + ((offset + i) % starts);
      const ports = Array.from({ length: count }, (_, j) => base + j);
      if (!ports.some((port) => this.allocated.has(port))) {
        ports.forEach((port) => this.allocated.add(port));
        const free = await Promise.all(ports.map((port) => isFree(host, port)));
        if (!free.includes(false)) return base;
      }
    }
    throw new Error(`no ${count} free ports from ${this.firstPort} to ${this.lastPort}`);
  }
}

/** Shared by all fixtures of a test process. */
export const testPorts = new PortAllocator();
