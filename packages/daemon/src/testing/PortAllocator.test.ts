import { once } from 'node:events';
import net from 'node:net';
import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PortAllocator } from './PortAllocator.js';

const HOST = '127.0.0.1';

describe('PortAllocator', () => {
  // A daemon that shares a port with another one ends at its start with EADDRINUSE.
  it('returns no port twice, also while none is in use', async () => {
    const ports = new PortAllocator();
    const given = await Promise.all(Array.from({ length: 500 }, () => ports.allocate(HOST)));
    expect(new Set(given).size).toEqual(500);
  });

  it('skips ports in use and rejects when none are left', async () => {
    const probe = new PortAllocator();
    const first = await probe.allocate(HOST, 3);
    const server = net.createServer().listen(first + 1, HOST);
    await once(server, 'listening');
    const ports = new PortAllocator(first, first + 2);
    expect([await ports.allocate(HOST), await ports.allocate(HOST)].sort()).toEqual([
      first,
      first + 2,
    ]);
    await expect(ports.allocate(HOST)).toBeRejected();
    server.close();
  });
});
