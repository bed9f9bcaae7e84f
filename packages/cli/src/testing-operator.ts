/** In-process operator service for tests. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { OperatorService } from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';

export const TEST_SECRET = 'operator-secret-for-tests';

export interface FakeControl {
  readonly address: string;
  close(): Promise<void>;
}

/** Serves the given methods on a free loopback port; the others answer `unimplemented`. */
export async function startFakeControl(
  methods: Partial<ServiceImpl<typeof OperatorService>>,
): Promise<FakeControl> {
  const handler = connectNodeAdapter({
    routes: (router) => router.service(OperatorService, methods),
    interceptors: [
      (next) => (req) => {
        if (req.header.get('authorization') !== `Bearer ${TEST_SECRET}`) {
          throw new ConnectError('wrong secret', Code.Unauthenticated);
        }
        return next(req);
      },
    ],
  });
  const server = http.createServer(handler);
  await new Promise<void>((done) => {
    server.listen(0, '127.0.0.1', done);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    close: () =>
      new Promise((done) => {
        server.close(() => done());
        server.closeAllConnections();
      }),
  };
}

export const toJson = (value: unknown): Uint8Array =>
  new TextEncoder().encode(JSON.stringify(value));
