/** `bench entry`: measures one entry of a gateway fleet under the load of deployments of different sizes. */
import { SystemClock, delay } from '@marigoldbank/base/clock';
import { defineCommand } from 'citty';
import { EntryLoad, type EntryLoadPoint } from './EntryLoad.js';

const GROWN: EntryLoadPoint = {
  entries: 13,
  fleetEntries: 82,
  otherHubs: 5,
  targets: 262,
  teams: 82,
  requestsPerSecond: 870,
  failedShare: 0.05,
  ownRequestsPerSecond: 10,
};

/** The grown deployment, and the same with one figure changed. */
const POINTS: readonly EntryLoadPoint[] = [
  GROWN,
  { ...GROWN, ownRequestsPerSecond: 0 },
  { ...GROWN, requestsPerSecond: 0 },
  { ...GROWN, requestsPerSecond: 0, ownRequestsPerSecond: 0 },
  { ...GROWN, failedShare: 0 },
  { ...GROWN, ownRequestsPerSecond: 40 },
];

const WARM_UP_MS = 2_000;
const DURATION_MS = 30_000;

export const entryCommand = defineCommand({
  meta: {
    name: 'entry',
    description: 'Processor time of an entry by requests, and by requests of the whole fleet',
  },
  args: {
    points: { type: 'string', default: '', description: 'Numbers of the points, by default all' },
    profile: { type: 'string', default: '', description: 'Folder for a profile of each point' },
  },
  run: async ({ args }) => {
    const titles =
      'requests/s of the entry | of the fleet | failed | start s | user cores | system cores | heap MB | resident MB | answered | connections a send';
    console.log(`| ${titles} |\n|${' --- |'.repeat(titles.split('|').length)}`);
    const chosen = args.points.split(',').filter(Boolean).map(Number);
    const points = chosen.length === 0 ? POINTS : chosen.map((i) => POINTS[i]!);
    const flags = args.profile === '' ? [] : ['--cpu-prof', `--cpu-prof-dir=${args.profile}`];
    for (let i = 0; i < points.length; i += 1) {
      const point = points[i]!;
      const load = await EntryLoad.start(point, flags);
      await delay(new SystemClock(), WARM_UP_MS);
      const result = await load.measure(DURATION_MS);
      await load.stop();
      const cells = [
        point.ownRequestsPerSecond,
        point.requestsPerSecond,
        point.failedShare,
        result.startSeconds.toFixed(2),
        result.userCores.toFixed(4),
        result.systemCores.toFixed(4),
        result.heapMb.toFixed(0),
        result.rssMb.toFixed(0),
        result.answeredShare.toFixed(3),
        result.connectionsPerRequest.toFixed(2),
      ];
      console.log(`| ${cells.join(' | ')} |`);
    }
    process.exit(0);
  },
});
