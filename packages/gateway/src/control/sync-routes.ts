/** Serves the state synchronization service of a hub. */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import { SyncService, type EntryReport } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { EntryStream } from './EntryStream.js';
import type { Hub } from './Hub.js';
import type { PeerHub } from './PeerHub.js';
import { StreamRefusedError } from './StreamRefusedError.js';

/** Passes the reports of an entry to the hub until its stream ends. */
async function readReports(
  reports: AsyncIterator<EntryReport>,
  hub: Hub,
  stream: EntryStream,
): Promise<void> {
  let next = await reports.next();
  while (next.done !== true && stream.session?.queue.isEnded !== true) {
    if (stream.session !== undefined) hub.handleReport(stream.session, next.value);
    next = await reports.next();
  }
}

/** Registers the service with a router. */
export function registerSyncService(router: ConnectRouter, hub: Hub, logger: Logger): void {
  router.service(SyncService, {
    async *follow(reports) {
      const iterator = reports[Symbol.asyncIterator]();
      const first = await iterator.next();
      const hello = first.done === true ? undefined : first.value.hello;
      if (hello === undefined) throw new ConnectError('no hello', Code.InvalidArgument);
      const stream = hub.connect(hello, first.value as EntryReport);
      if (stream === undefined) throw new ConnectError('the hub is busy', Code.ResourceExhausted);
      readReports(iterator, hub, stream)
        .catch((err: unknown) => {
          logger.info('reading the stream of an entry failed', {
            entry: hello.vm,
            error: String(err),
          });
        })
        .finally(() => hub.disconnect(stream));
      try {
        yield* stream.updates();
      } catch (err) {
        if (!(err instanceof StreamRefusedError)) throw err;
        throw new ConnectError(err.message, Code.ResourceExhausted);
      } finally {
        hub.disconnect(stream);
      }
    },

    async relay(messages) {
      let peer: PeerHub | undefined;
      const iterator = messages[Symbol.asyncIterator]();
      let next = await iterator.next();
      while (next.done !== true) {
        const { hello } = next.value;
        if (hello !== undefined) peer = hub.peers.open(hello.address, hello.dataCentre);
        if (peer === undefined) throw new ConnectError('no hello', Code.InvalidArgument);
        hub.handleRelay(next.value, peer);
        next = await iterator.next();
      }
      return {};
    },
  });
}
