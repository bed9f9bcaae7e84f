/** `bench hub`: measures one hub of a gateway fleet under the load of deployments of different sizes. */
import { SystemClock, delay } from '@marigoldbank/base/clock';
import { defineCommand } from 'citty';
import { HubLoad, type HubLoadPoint } from './HubLoad.js';

const GROWN: HubLoadPoint = {
  entries: 16,
  fleetEntries: 111,
  otherHubs: 6,
  targets: 290,
  teams: 82,
  requestsPerSecond: 1_000,
  failedShare: 0.05,
};

/** The grown deployment, and the same with one figure changed. */
const POINTS: readonly HubLoadPoint[] = [
  GROWN,
  { ...GROWN, entries: 32 },
  { ...GROWN, failedShare: 0 },
  { ...GROWN, targets: 1_160 },
  { ...GROWN, teams: 820 },
  { ...GROWN, otherHubs: 15, fleetEntries: 256 },
  { ...GROWN, requestsPerSecond: 3_000 },
];

const WARM_UP_MS = 2_000;
const DURATION_MS = 8_000;

export const hubCommand = defineCommand({
  meta: {
    name: 'hub',
    description: 'Processor time of a hub by entries, targets, teams and requests',
  },
  run: async () => {
    const titles =
      'entries | other hubs | targets | teams | requests/s | failed | hub cores | hub MB | messages/s an entry | evidence KB/s an entry';
    console.log(`| ${titles} |\n|${' --- |'.repeat(titles.split('|').length)}`);
    for (let i = 0; i < POINTS.length; i += 1) {
      const point = POINTS[i]!;
      const load = await HubLoad.start(point);
      await delay(new SystemClock(), WARM_UP_MS);
      const result = await load.measure(DURATION_MS);
      load.dispose();
      const cells = [
        point.entries,
        point.otherHubs,
        point.targets,
        point.teams,
        point.requestsPerSecond,
        point.failedShare,
        result.hubCores.toFixed(3),
        result.hubMb.toFixed(0),
        result.messagesPerEntryAndSecond.toFixed(0),
        (result.evidenceBytesPerEntryAndSecond / 1_024).toFixed(1),
      ];
      console.log(`| ${cells.join(' | ')} |`);
    }
    process.exit(0);
  },
});
