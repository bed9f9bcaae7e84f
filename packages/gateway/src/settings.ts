/** Settings of a gateway process and the addresses derived from them. */
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import type { RetryBudgetLimits } from '@marigoldbank/routing/RetryWindow';
import type { TeamTolerance } from '@marigoldbank/routing/teamTolerance';
import type { ColdBounds } from '@marigoldbank/routing/sharedRate';
import { z } from 'zod';
import { durationMs } from './durations.js';
import { appliesToCurrent, planScopeSchema } from './plan-scope.js';

const address = z.string().regex(/^[^:]+:\d{1,5}$/);
const port = z.number().int().min(1).max(65_535);

const boundsSchema = z.object({
  grace: durationMs.describe('Time from SIGTERM until the process is killed.'),
  maxTtl: durationMs.describe('Maximum TTL of an address lookup response.'),
  retryRatio: z
    .number()
    .min(0)
    .describe(
      'Retries allowed per service in `retryWindow`, over all entries: ratio x requests + slack.',
    ),
  retrySlack: z.number().min(0),
  retryWindow: durationMs,
  teamOvershoot: z
    .number()
    .min(0)
    .optional()
    .describe(
      'A team may have `teamOvershoot` x (rate x `teamWindow` + burst) + `teamSlack` requests in any `teamWindow` beyond its rate and burst, over all entries.',
    ),
  teamSlack: z.number().min(0).optional(),
  teamWindow: durationMs.optional(),
  floorShare: z
    .number()
    .min(0)
    .max(1)
    .optional()
    .describe(
      'Share of the targets of a service that entries keep in use while more than a tenth of its requests are not served. If omitted, targets that failed are tried again only by requests that may be repeated.',
    ),
  coldOvershoot: z
    .number()
    .min(1)
    .optional()
    .describe(
      'A cold target gets at most `cold_per_s` x `coldOvershoot` + `coldSlack` requests in any second, from all entries. Without both, the rates of cold targets are used like those that targets name.',
    ),
  coldSlack: z.number().min(0).optional(),
});

export const gatewaySettingsSchema = z.object({
  vm: z.string().min(1).describe('Id of this VM.'),
  ip: z.string().min(1).describe('IP address at which other processes reach this VM.'),
  dataCentre: z.string().describe('Data centre of this VM.'),
  dataCentres: z
    .array(z.string().min(1))
    .optional()
    .describe(
      'All data centres, which operators may evacuate. If omitted or empty, those in which targets have announced themselves.',
    ),
  role: z.enum(['control', 'hub', 'entry']).describe('Role of this process.'),
  /** Addresses to listen on; which ones are required depends on the role. */
  listen: z.object({
    caller: address.optional().describe('Callers, role entry.'),
    ready: address.optional().describe('Readiness, role entry.'),
    control: address.optional().describe('Operators and announcements, role control.'),
    directory: address
      .optional()
      .describe('Address lookups of callers; a hub or an entry without it serves none.'),
  }),
  internalPorts: z
    .array(port)
    .length(2)
    .describe(
      'First and last port for traffic between the processes of the fleet; the same on all VMs.',
    ),
  seeds: z
    .array(address)
    .describe('Operator addresses of some control VMs, used to find the others; may be outdated.'),
  dataFolder: z
    .string()
    .min(1)
    .optional()
    .describe('Directory of the durable state, role control.'),
  bootstrap: z.boolean().describe('Whether the fleet is started for the first time.'),
  toleratedLosses: z.number().int().min(0).describe('Number of control VMs that may fail at once.'),
  refuseKeysAfter: durationMs
    .optional()
    .describe(
      'An entry whose configuration has not been confirmed by a majority of the control VMs for this long refuses requests that need a key. If omitted, it continues to serve with the configuration it has.',
    ),
  memoryMb: z
    .number()
    .positive()
    .optional()
    .describe('Memory of this VM in MB, which bounds what an entry holds of bodies.'),
  linkMbps: z
    .number()
    .positive()
    .optional()
    .describe(
      'Capacity of the link of this VM in Mbit/s in each direction. An entry refuses large bodies that it could not pass on in time.',
    ),
  bounds: boundsSchema,
  overload: z
    .object({
      rankedAdmission: z
        .boolean()
        .default(false)
        .describe('Whether requests are refused by rank and team while demand exceeds the room.'),
      slotQueue: z
        .boolean()
        .default(false)
        .describe(
          'Whether requests wait at entries for free slots of targets, by rank, and refusals name the time at which slots are expected.',
        ),
      teamTolerance: planScopeSchema
        .default('none')
        .describe(
          'Plans under which a part of what `bounds.teamOvershoot` and `bounds.teamSlack` allow is used while the requests that a team has had are not known: `none`, those with routes for `largeBodies`, or `all`. Without `bounds.teamWindow` nothing is used.',
        ),
      offeredRetryBudget: planScopeSchema
        .default('none')
        .describe(
          'Plans under which requests that no target got, such as those beyond the rate of a team, count for the retry budget of their service: `none`, those with routes for `largeBodies`, or `all`.',
        ),
    })
    .optional(),
  placement: z
    .object({
      crossingPrice: z
        .number()
        .min(0)
        .optional()
        .describe(
          'Price of one request to another data centre, in units of the value of an average answer. If omitted, entries compare a fixed sample of own and other targets.',
        ),
      plans: planScopeSchema
        .default('all')
        .describe(
          'Plans under which the price is used: `none`, those with routes for `largeBodies`, or `all`.',
        ),
    })
    .optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
});

export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;

/** How far the rates of cold targets may be exceeded, undefined if the settings do not say. */
export function coldBoundsOf({ bounds }: Pick<GatewaySettings, 'bounds'>): ColdBounds | undefined {
  const { coldOvershoot: overshoot, coldSlack: slack } = bounds;
  if (overshoot === undefined && slack === undefined) return undefined;
  return { overshoot: overshoot ?? 1, slack: slack ?? 0 };
}

/** What teams may get beyond their rates while their use is not known; undefined if the settings or the plan call for nothing. */
export function teamToleranceOf(
  { bounds, overload }: Pick<GatewaySettings, 'bounds' | 'overload'>,
  currentPlan: () => RoutingPlan | undefined,
): () => TeamTolerance | undefined {
  const { teamOvershoot: overshoot = 0, teamSlack: slack = 0, teamWindow: windowMs } = bounds;
  const tolerance = windowMs === undefined ? undefined : { overshoot, slack, windowMs };
  const applies = appliesToCurrent(overload?.teamTolerance ?? 'none', currentPlan);
  return () => (applies() ? tolerance : undefined);
}

/** Limits of the retries of each service. */
export function retryBudgetLimits(
  { bounds, overload }: Pick<GatewaySettings, 'bounds' | 'overload'>,
  currentPlan: () => RoutingPlan | undefined,
): RetryBudgetLimits {
  const { retryRatio: ratio, retrySlack: slack, retryWindow: windowMs } = bounds;
  const scope = overload?.offeredRetryBudget ?? 'none';
  return { ratio, slack, windowMs, countsOffered: appliesToCurrent(scope, currentPlan) };
}

/** Internal traffic runs on an isolated network; the secret only distinguishes services. */
export const INTERNAL_SECRET = 'internal';

/** Offsets of the internal services from the first internal port. */
const CONSENSUS_PORT = 0;
const SYNC_PORT = 1;
const METRICS_PORT = 2;
const HUB_METRICS_PORT = 3;

/** IP of an `ip:port`. */
export function ipOf(hostAndPort: string): string {
  return hostAndPort.slice(0, hostAndPort.lastIndexOf(':'));
}

/** Port of an `ip:port`. */
export function portOf(hostAndPort: string): number {
  return Number(hostAndPort.slice(hostAndPort.lastIndexOf(':') + 1));
}

/** Address of the consensus and log services of a VM. */
export function consensusAddress({ internalPorts }: GatewaySettings, ip: string): string {
  return `${ip}:${internalPorts[0]! + CONSENSUS_PORT}`;
}

/** Address of the state synchronization service of a VM. */
export function syncAddress({ internalPorts }: GatewaySettings, ip: string): string {
  return `${ip}:${internalPorts[0]! + SYNC_PORT}`;
}

/** Address at which a hub serves its metrics; its VM may run an entry as well. */
export function hubMetricsAddress({ internalPorts }: GatewaySettings, ip: string): string {
  return `${ip}:${internalPorts[0]! + HUB_METRICS_PORT}`;
}

/** Address at which an entry serves its metrics. */
export function metricsAddress({ internalPorts }: GatewaySettings, ip: string): string {
  return `${ip}:${internalPorts[0]! + METRICS_PORT}`;
}
