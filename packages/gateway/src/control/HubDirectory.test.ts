import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { describe, it } from 'node:test';
import { fromBinary } from '@bufbuild/protobuf';
import { SystemClock } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import { ListHubsRequestSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { expect } from 'earl';
import { DirectoryClient } from '../sync/DirectoryClient.js';
import type { HubCandidate } from '../sync/HubCandidate.js';
import { DirectoryListener } from './DirectoryListener.js';
import { HubDirectory } from './HubDirectory.js';

const DATA_CENTRES = ['dc-1', 'dc-2', 'dc-3', 'dc-4', 'dc-5'];

function makeHubs(count: number, overrides: Partial<HubCandidate> = {}): HubCandidate[] {
  return Array.from({ length: count }, (_, i) => ({
    address: `10.0.0.${i}:1`,
    dataCentre: DATA_CENTRES[i % DATA_CENTRES.length]!,
    entries: 0,
    isSilent: false,
    isLate: false,
    ...overrides,
  }));
}

function makeDirectory(memberCount = 10): { clock: VirtualClock; directory: HubDirectory } {
  const clock = new VirtualClock();
  return {
    clock,
    directory: new HubDirectory({ clock, random: new Random(1), memberCount: () => memberCount }),
  };
}

/** An address at which nothing receives datagrams. */
async function findUdpAddress(): Promise<string> {
  const socket = createSocket('udp4');
  socket.bind(0, '127.0.0.1');
  await once(socket, 'listening');
  const { port } = socket.address();
  socket.close();
  await once(socket, 'close');
  return `127.0.0.1:${port}`;
}

describe('HubDirectory', () => {
  it('sends entries to the hubs of their data centres in equal numbers', () => {
    const { clock, directory } = makeDirectory();
    directory.setHubs(makeHubs(10));
    clock.advance(500);
    const counts = new Map<string, number>();
    Array.from({ length: 276 }).forEach((_, i) => {
      const { hubs } = directory.list(DATA_CENTRES[i % DATA_CENTRES.length]!);
      expect(hubs[0]!.dataCentre).toEqual(DATA_CENTRES[i % DATA_CENTRES.length]!);
      counts.set(hubs[0]!.address, (counts.get(hubs[0]!.address) ?? 0) + 1);
    });
    expect(Math.max(...counts.values()) - Math.min(...counts.values())).toBeLessThanOrEqual(1);
  });

  it('sends entries elsewhere when the hubs of their data centre have more than their share', () => {
    const { clock, directory } = makeDirectory();
    directory.setHubs(makeHubs(10).map((hub, i) => ({ ...hub, entries: i % 5 === 0 ? 60 : 20 })));
    clock.advance(500);
    expect(directory.list('dc-1').hubs[0]!.dataCentre).not.toEqual('dc-1');
    expect(directory.list('dc-2').hubs[0]!.dataCentre).toEqual('dc-2');
  });

  it('names hubs last that are silent or late, and itself if its own hub has stopped', () => {
    const { clock, directory } = makeDirectory();
    const hubs = makeHubs(10).map((hub, i) => ({ ...hub, isSilent: i === 5, isLate: i === 6 }));
    directory.setHubs(hubs);
    clock.advance(500);
    const order = directory.list('dc-1').hubs.map(({ address }) => address);
    expect(order[0]).toEqual('10.0.0.0:1');
    expect(order.slice(-2).sort()).toEqual(['10.0.0.5:1', '10.0.0.6:1']);
    clock.advance(3_000);
    expect(directory.list('dc-1').hubs[0]!.address).not.toEqual('10.0.0.0:1');
  });

  it('has settled when no further hub was found for a while, longer if members are missing', () => {
    const { clock, directory } = makeDirectory(5);
    expect(directory.list('dc-1')).toEqual({ hubs: [], isSettled: false });
    directory.setHubs(makeHubs(3));
    clock.advance(500);
    expect(directory.list('dc-1').isSettled).toEqual(false);
    directory.setHubs(makeHubs(5));
    clock.advance(200);
    expect(directory.list('dc-1').isSettled).toEqual(false);
    clock.advance(200);
    expect(directory.list('dc-1').isSettled).toEqual(true);
  });

  // The bound: an answer costs a seed less than 0.2 ms, so that 276 entries do not saturate three of them.
  it('answers datagrams, and not those that cannot be read', async () => {
    const logger = new NullLogger();
    const clock = new SystemClock();
    const directory = new HubDirectory({ clock, random: new Random(1), memberCount: () => 0 });
    directory.setHubs(makeHubs(40));
    const history = { stateFor: () => undefined };
    const confirmation = { confirmLeadership: () => Promise.resolve(7) };
    const listener = new DirectoryListener({ clock, directory, history, confirmation, logger });
    const [address, closed] = [await findUdpAddress(), await findUdpAddress()];
    await listener.listen(address);
    const client = new DirectoryClient(clock, logger);
    const res = await client.ask(address, 'dc-3', 2_000);
    expect(res?.hubs.length).toEqual(40);
    expect(res?.hubs[0]?.dataCentre).toEqual('dc-3');
    expect(await client.ask(closed, 'dc-3', 50)).toEqual(undefined);
    const confirmed = await client.confirmLeadership(address, 2_000);
    expect(confirmed === 'unsupported' ? undefined : confirmed?.index).toEqual(7n);
    client.dispose();
    listener.close();
  });

  // A process that restarts may get the port of the former one, and the answers to its questions: an old confirmation would
  // pass for one of the present state.
  it('is asked with other ids by each process', async () => {
    const server = createSocket('udp4');
    const ids: number[] = [];
    server.on('message', (bytes) => ids.push(fromBinary(ListHubsRequestSchema, bytes).id));
    const address = await findUdpAddress();
    const { host, port } = parseAddress(address);
    await new Promise<void>((resolve) => {
      server.bind(port, host, resolve);
    });
    const ask = async (): Promise<void> => {
      const client = new DirectoryClient(new SystemClock(), new NullLogger());
      await client.confirmLeadership(address, 100);
      client.dispose();
    };
    await Promise.all(Array.from({ length: 4 }, ask));
    server.close();
    expect(ids.length).toEqual(4);
    expect(new Set(ids).size).toEqual(4);
  });
});
