import { after, before, describe, it } from 'node:test';
import { expect } from 'earl';
import { Channels } from '@marigoldbank/daemon/transport/Channels';
import { InternalServer } from '@marigoldbank/daemon/transport/InternalServer';
import { testPorts } from '@marigoldbank/daemon/testing/PortAllocator';
import { LogService } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { INTERNAL_SECRET } from '../settings.js';
import { LOCAL_CHANNELS, LOG_CHANNELS } from './channel-options.js';

const HOST = '127.0.0.1';

/** Duration of a turn of the event loop: long enough for work beside it to end within one. */
const TURN_MS = 15;

/** A change of a configuration with 80 teams. */
const CHANGE_BYTES = 30_000;

/** Keeps the event loop busy and counts its turns, until `stop`. */
class BusyLoop {
  public turns = 0;

  private isStopped = false;

  public constructor() {
    setImmediate(() => this.turn());
  }

  public stop(): void {
    this.isStopped = true;
  }

  private turn(): void {
    const end = performance.now() + TURN_MS;
    while (performance.now() < end);
    this.turns += 1;
    if (!this.isStopped) setImmediate(() => this.turn());
  }
}

function makeBytes(size: number): Uint8Array {
  return Buffer.from('{"name":"route","weight":90},'.repeat(Math.ceil(size / 29))).subarray(
    0,
    size,
  );
}

describe('channels between control VMs', () => {
  const logChannels = new Channels(LOG_CHANNELS);
  const localChannels = new Channels(LOCAL_CHANNELS);
  let address: string;
  let server: InternalServer;
  let encodings: (string | null)[] = [];

  before(async () => {
    address = `${HOST}:${await testPorts.allocate(HOST, 1)}`;
    server = new InternalServer({
      address,
      secretOf: () => INTERNAL_SECRET,
      register: (router) =>
        router.service(LogService, {
          submit: (_, { requestHeader }) => {
            encodings.push(requestHeader.get('content-encoding'));
            return { isCommitted: true };
          },
          watch: (_, { requestHeader }) => {
            encodings.push(requestHeader.get('accept-encoding'));
            return { snapshot: makeBytes(CHANGE_BYTES) };
          },
        }),
      fallback: (_req, res) => res.end(),
    });
    await server.listen();
  });

  after(async () => {
    logChannels.dispose();
    localChannels.dispose();
    await server.close();
  });

  async function countTurns(call: () => Promise<unknown>): Promise<number> {
    await call();
    const loop = new BusyLoop();
    await call();
    loop.stop();
    return loop.turns;
  }

  // Forwarded changes took four turns of the leader's event loop for one of a small message, and callers gave up meanwhile.
  it('take a change in at most one turn of a busy event loop more than a small message', async () => {
    const client = logChannels.client(LogService, address);
    const submit = (size: number): Promise<unknown> =>
      client.submit({ commands: [{ key: 'a', data: makeBytes(size) }] });
    const small = await countTurns(() => submit(100));
    const change = await countTurns(() => submit(CHANGE_BYTES));
    expect(change - small).toBeLessThan(2);
  });

  it('answer a hub of the same VM without compression, and in no more turns', async () => {
    const client = localChannels.client(LogService, address);
    encodings = [];
    const small = await countTurns(() => client.submit({ commands: [] }));
    const snapshot = await countTurns(() => client.watch({}));
    expect(encodings).toEqual([null, null, null, null]);
    expect(snapshot - small).toBeLessThan(2);
  });

  it('compress a configuration of many routes', async () => {
    encodings = [];
    const data = makeBytes(10 * CHANGE_BYTES);
    await logChannels.client(LogService, address).submit({ commands: [{ key: 'a', data }] });
    expect(encodings).toEqual(['gzip']);
  });
});
