/** Serves the state synchronization service of a hub. */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import { SyncService, type EntryReport } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { EntrySession } from './EntrySession.js';
import type { Hub } from './Hub.js';
import type { PeerHub } from './PeerHub.js';

/** Passes the reports of an entry to the hub until its stream ends. */
async function readReports(
  reports: AsyncIterator<EntryReport>,
  hub: Hub,
  session: EntrySession,
): Promise<void> {
  let next = await reports.next();
  while (next.done !== true && !session.queue.isEnded) {
    hub.handleReport(session, next.value);
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
      const report = first.value as EntryReport;
      if (!hub.mayServe(report)) throw new ConnectError('the hub is late', Code.ResourceExhausted);
      const session = hub.openSession(hello, report);
      hub.handleReport(session, report);
      readReports(iterator, hub, session)
        .catch((err: unknown) => {
          logger.info('reading the stream of an entry failed', {
            entry: hello.vm,
            error: String(err),
          });
        })
        .finally(() => hub.closeSession(session));
      try {
        yield* session.queue;
      } finally {
        hub.closeSession(session);
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
