/** `bench control`: measures idle daemons with different numbers of entries, services and teams. */
import { defineCommand } from 'citty';
import { measureControl, type ControlMeasurement, type ControlPoint } from './measureControl.js';

const POINTS: readonly ControlPoint[] = [
  { entries: 3, services: 2, teams: 8 },
  { entries: 12, services: 2, teams: 8 },
  { entries: 24, services: 2, teams: 8 },
  { entries: 12, services: 20, teams: 8 },
  { entries: 12, services: 2, teams: 10_000 },
];

function format(result: ControlMeasurement): string {
  const cells = [
    result.entries,
    result.services,
    result.teams,
    result.entryCpuPercent.toFixed(1),
    result.leaderCpuPercent.toFixed(1),
    result.followerCpuPercent.toFixed(1),
    result.entryRssMb.toFixed(0),
    result.leaderRssMb.toFixed(0),
    result.inForceMs.join(' '),
    result.failoverMs,
  ];
  return `| ${cells.join(' | ')} |`;
}

export const controlCommand = defineCommand({
  meta: { name: 'control', description: 'Control cost of real daemons without traffic' },
  run: async () => {
    console.log(
      '| entries | services | teams | entry CPU % | leader CPU % | follower CPU % | entry MB | leader MB | in force ms | failover ms |',
    );
    console.log(`|${' --- |'.repeat(10)}`);
    for (let i = 0; i < POINTS.length; i += 1) {
      console.log(format(await measureControl(POINTS[i]!)));
    }
  },
});
