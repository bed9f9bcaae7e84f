/**
 * Targets in a process of their own: one server that listens on all loopback addresses, each of which is a target.
 * Started by `EntryLoad`; arguments: share of the requests whose connection is reset. Sends its port, and numbers of
 * connections and requests as the answer to each message.
 */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { SystemClock } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';

const SERVICE_TIME_MS = 300;
const IDLE_TIMEOUT_MS = 10_000;
const BODY_BYTES = 600;
const SEED = 1;

const [failedShare = '0'] = process.argv.slice(2);
const random = new Random(SEED);
const clock = new SystemClock();
const counts = { connections: 0, requests: 0 };
const body = 'x'.repeat(BODY_BYTES);

const server = createServer({ keepAliveTimeout: IDLE_TIMEOUT_MS }, (req, res) => {
  counts.requests += 1;
  if (random.chance(Number(failedShare))) {
    req.socket.resetAndDestroy();
    return;
  }
  req.resume();
  clock.setTimeout(() => {
    res.writeHead(200, {
      'content-length': String(body.length),
      'x-request-id': req.headers['x-request-id'],
      'x-seal': 'seal',
    });
    res.end(body);
  }, SERVICE_TIME_MS);
});
server.on('connection', () => {
  counts.connections += 1;
});
process.once('disconnect', () => process.exit(0));
process.on('message', () => process.send?.(counts));
server.listen(0, '0.0.0.0', () => process.send?.((server.address() as AddressInfo).port));
