import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type {
  AppendEntriesRequest,
  InstallSnapshotRequest,
  IReplicatedLog,
  Member,
} from '@marigoldbank/replicated-log';
import { expect } from 'earl';
import { Channels } from './Channels.js';
import { ConnectConsensusTransport } from './ConnectConsensusTransport.js';
import { registerConsensus } from './consensus-routes.js';

const SIZES = [0, 1, 1_000, 26_862, 676_021];

const LEADER: Member = { vm: 'a', incarnation: 'a1', address: 'a:1' };

function makeAppend(bytes: number): AppendEntriesRequest {
  const data = new Uint8Array(bytes);
  const entries = [{ index: 1, term: 1, kind: 'command' as const, data }];
  const position = { previousIndex: 0, previousTerm: 0, commitIndex: 0 };
  return { leader: LEADER, term: 1, entries, toIncarnation: 'b1', ...position };
}

function makeChunk(bytes: number): InstallSnapshotRequest {
  return {
    leader: LEADER,
    term: 1,
    lastIndex: 1,
    lastTerm: 1,
    membership: { voters: [LEADER], learners: [] },
    offset: 0,
    chunk: new Uint8Array(bytes),
    isLast: true,
    toIncarnation: 'b1',
  };
}

/** Answers each message with the bytes that it got. */
const echo = {
  handleAppendEntries: ({ entries }: AppendEntriesRequest) =>
    Promise.resolve({ term: 1, success: true, matchIndex: entries[0]!.data.length }),
  handleInstallSnapshot: ({ chunk }: InstallSnapshotRequest) =>
    Promise.resolve({ term: chunk.length, success: true }),
} as unknown as IReplicatedLog;

describe('ConnectConsensusTransport', () => {
  const channels = new Channels({ secret: 'secret', outgoingAddress: undefined });
  const transport = new ConnectConsensusTransport(channels);
  const server = http.createServer(
    connectNodeAdapter({ routes: (router) => registerConsensus(router, echo) }),
  );
  let to: Member;

  before(async () => {
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    to = { vm: 'b', incarnation: 'b1', address: `127.0.0.1:${port}` };
  });

  after(() => {
    channels.dispose();
    server.close();
    server.closeAllConnections();
  });

  // Time limits in proportion to the size had fractions, which no receiver accepts: no entry reached another member.
  it('delivers entries and snapshots of any size', async () => {
    const appended = SIZES.map((bytes) => transport.appendEntries(to, makeAppend(bytes)));
    expect((await Promise.all(appended)).map(({ matchIndex }) => matchIndex)).toEqual(SIZES);
    const installed = SIZES.map((bytes) => transport.installSnapshot(to, makeChunk(bytes)));
    expect((await Promise.all(installed)).map(({ term }) => term)).toEqual(SIZES);
  });
});
