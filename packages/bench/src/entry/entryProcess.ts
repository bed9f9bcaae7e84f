/**
 * An entry in a process of its own. Started by `EntryLoad`; arguments: IP, IP of the hub, first internal port. Sends
 * `ready` when it has a plan, and its use of the processor and memory as the answer to each message.
 */
import { once } from 'node:events';
import http from 'node:http';
import { SystemClock, delay } from '@marigoldbank/base/clock';
import { RoarrLogger, setLogWriter } from '@marigoldbank/daemon/telemetry/RoarrLogger';
import { EntryProcess } from '@marigoldbank/gateway/entry/EntryProcess';
import { gatewaySettingsSchema } from '@marigoldbank/gateway/settings';
import { BenchAdapter } from './BenchAdapter.js';
import { CALLER_PORT_OFFSET, READY_PORT_OFFSET, type EntryUsage } from './EntryUsage.js';

const READY_CHECK_MS = 20;
const MICROSECONDS_PER_SECOND = 1_000_000;

const [ip = '', hubIp = '', firstPort = ''] = process.argv.slice(2);
const port = Number(firstPort);

function usage(): EntryUsage {
  const { user, system } = process.cpuUsage();
  const { heapUsed, rss } = process.memoryUsage();
  return {
    userSeconds: user / MICROSECONDS_PER_SECOND,
    systemSeconds: system / MICROSECONDS_PER_SECOND,
    heapBytes: heapUsed,
    rssBytes: rss,
  };
}

const clock = new SystemClock();
setLogWriter((line) => process.stdout.write(`${line}\n`));
const entry = new EntryProcess(
  gatewaySettingsSchema.parse({
    vm: 'entry-measured',
    ip,
    dataCentre: 'dc-1',
    role: 'entry',
    listen: {
      caller: `${ip}:${port + CALLER_PORT_OFFSET}`,
      ready: `${ip}:${port + READY_PORT_OFFSET}`,
    },
    internalPorts: [port, port + 2],
    seeds: [`${hubIp}:80`],
    bootstrap: true,
    toleratedLosses: 1,
    bounds: { grace: '1s', maxTtl: '5s', retryRatio: 0.2, retrySlack: 188, retryWindow: '10s' },
  }),
  new BenchAdapter(),
  clock,
  new RoarrLogger('info', { vm: 'entry-measured' }),
);
await entry.start();
process.once('disconnect', () => process.exit(0));
process.on('message', () => process.send?.(usage()));
process.once('SIGTERM', () => process.exit(0));
const isReady = async (): Promise<boolean> => {
  const req = http.get({ host: ip, port: port + READY_PORT_OFFSET, path: '/ready' });
  const [res] = (await once(req, 'response')) as [http.IncomingMessage];
  res.resume();
  return res.statusCode === 200;
};
while (!(await isReady())) await delay(clock, READY_CHECK_MS);
process.send?.('ready');
