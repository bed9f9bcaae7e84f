import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { after, before, describe, it } from 'node:test';
import { SystemClock } from '@marigoldbank/base/clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { testPorts } from '@marigoldbank/daemon/testing/PortAllocator';
import { Channels } from '@marigoldbank/daemon/transport/Channels';
import { InternalServer } from '@marigoldbank/daemon/transport/InternalServer';
import { makeRoute } from '@marigoldbank/routing/fixtures';
import { decodePlanChanges } from '@marigoldbank/routing/plan-items';
import { expect } from 'earl';
import { encodeCommand } from '../control/commands.js';
import { DirectoryListener } from '../control/DirectoryListener.js';
import { registerLogService, type LogServiceParts } from '../control/log-routes.js';
import type { HeldState } from '../sync/HeldState.js';
import { CommitHistory } from '../control/CommitHistory.js';
import { PlanStateMachine } from '../control/PlanStateMachine.js';
import { FakeStoredLog } from '../testing/FakeStoredLog.js';
import { makeEmptyPlan } from '../testing/fixtures.js';
import { DirectoryClient } from '../sync/DirectoryClient.js';
import { PlanClient } from './PlanClient.js';

const HOST = '127.0.0.1';
const SECRET = 'secret';
const TIMEOUT_MS = 2_000;

function held(planVersion: number, index = 0): HeldState {
  return { planVersion, index };
}

function commit(stateMachine: PlanStateMachine, version: number, routeCount: number): void {
  const routes = Array.from({ length: routeCount }, (_, i) => makeRoute({ prefix: `/r-${i}/` }));
  const plan = { ...makeEmptyPlan(version), routes };
  stateMachine.apply(version, encodeCommand({ kind: 'putPlan', document: '', plan }));
}

describe('PlanClient over sockets', () => {
  const stateMachine = new PlanStateMachine();
  const clock = new SystemClock();
  const logger = new NullLogger();
  const history = new CommitHistory({
    clock,
    stateMachine,
    confirmation: { confirmedAgeMs: () => 120 },
    log: new FakeStoredLog(),
    logger,
  });
  const datagrams = new DirectoryClient(clock, logger);
  const channels = new Channels({ secret: SECRET, outgoingAddress: undefined });
  const client = new PlanClient(datagrams, channels);
  let address: string;
  let listener: DirectoryListener;
  let server: InternalServer;

  before(async () => {
    address = `${HOST}:${await testPorts.allocate(HOST, 1)}`;
    server = new InternalServer({
      address,
      secretOf: () => SECRET,
      register: (router) => registerLogService(router, { history } as unknown as LogServiceParts),
      fallback: (_req, res) => res.end(),
    });
    await server.listen();
    listener = new DirectoryListener({
      clock,
      directory: { list: () => ({ hubs: [], isSettled: true }) },
      history,
      confirmation: { confirmLeadership: () => Promise.resolve(undefined) },
      logger,
    });
    await listener.listen(address);
  });

  after(async () => {
    listener.close();
    datagrams.dispose();
    channels.dispose();
    await server.close();
  });

  it('gets no plan before the first one', async () => {
    expect(await client.ask(address, held(1), TIMEOUT_MS)).toEqual(undefined);
    const { version } = await client.fetchPlan(address, 1, false, TIMEOUT_MS);
    expect(version).toEqual(undefined);
  });

  // Entries took changes from version 0 for a complete plan, as a field with 0 was not sent.
  it('tells version 0 from no plan in both directions', async () => {
    commit(stateMachine, 0, 1);
    const same = await client.ask(address, held(0), TIMEOUT_MS);
    expect([same?.version, same?.changes]).toEqual([0n, undefined]);
    const [first, next] = await Promise.all(
      [undefined, 0].map((version) => client.fetchPlan(address, version, false, TIMEOUT_MS)),
    );
    expect([first!.fromVersion, first!.version]).toEqual([undefined, 0n]);
    expect([next!.fromVersion, next!.version]).toEqual([0n, 0n]);
  });

  it('gets a small change in the datagram, and none if it holds the plan', async () => {
    commit(stateMachine, 1, 1);
    commit(stateMachine, 2, 2);
    const state = await client.ask(address, held(1), TIMEOUT_MS);
    expect([state?.version, state?.confirmedAgeMs]).toEqual([2n, 120]);
    expect(decodePlanChanges(state!.changes!).length).toEqual(1);
    const same = await client.ask(address, held(2), TIMEOUT_MS);
    expect([same?.version, same?.changes]).toEqual([2n, undefined]);
  });

  // A datagram of more than one packet is lost more often, and one above 64 KiB cannot be sent.
  it('fetches a change of many routes', async () => {
    commit(stateMachine, 3, 2_000);
    const state = await client.ask(address, held(2), TIMEOUT_MS);
    expect([state?.version, state?.changes]).toEqual([3n, undefined]);
    const plan = await client.fetchPlan(address, 2, false, TIMEOUT_MS);
    expect([plan.fromVersion, plan.version]).toEqual([2n, 3n]);
    expect(decodePlanChanges(plan.changes).length).toEqual(1_998);
  });

  it('fetches a complete plan if its own is too old or not known', async () => {
    const plan = await client.fetchPlan(address, 77, false, TIMEOUT_MS);
    expect([plan.fromVersion, plan.version]).toEqual([undefined, 3n]);
  });

  // Many targets leave at once when a data centre is emptied.
  it('gets the targets that leave, in parts if they are many', async () => {
    const mark = (index: number): unknown =>
      stateMachine.apply(
        index,
        encodeCommand({ kind: 'markLeaving', id: `t${index}`, born: index, isGone: false, at: 0 }),
      );
    Array.from({ length: 40 }, (_, i) => mark(10 + i));
    const ids: string[] = [];
    let index = 0;
    for (let part = 0; part < 3; part += 1) {
      const state = await client.ask(address, held(3, index), TIMEOUT_MS);
      expect([state?.hasMoreLeaving, state?.isPlanLeftOut]).toEqual([part < 2, false]);
      ids.push(...state!.leaving.map(({ id }) => id));
      index = Number(state!.index);
    }
    expect(ids).toEqual(Array.from({ length: 40 }, (_, i) => `t${10 + i}`));
    expect(index).toEqual(49);
  });

  // A log process of the release before answers such a question with the hubs only.
  it('gets no plan from a control VM of the release before', async () => {
    const socket = createSocket('udp4');
    socket.bind(0, HOST);
    await once(socket, 'listening');
    socket.on('message', (bytes, from) => {
      // Field 1, the id, is all that an answer without hubs consists of.
      socket.send(bytes.subarray(0, 2), from.port, from.address);
    });
    const { port } = socket.address();
    expect(await client.ask(`${HOST}:${port}`, held(1), TIMEOUT_MS)).toEqual(undefined);
    socket.close();
  });
});
