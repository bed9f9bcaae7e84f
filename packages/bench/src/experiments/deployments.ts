/** The deployments of section 1 of the design page, as the experiments simulate them. */
import type { ProfileName } from '@marigoldbank/ejection';

export interface TeamLoad {
  readonly team: string;
  /** Requests per second. */
  readonly rate: number;
}

export interface Deployment {
  readonly name: string;
  readonly profile: ProfileName;
  readonly entries: number;
  readonly dataCentres: number;
  readonly targets: number;
  readonly slots: number;
  readonly maxConnections: number;
  readonly serviceMedianMs: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly serviceSigma: number;
  /** One-way delay between two data centres. */
  readonly interDataCentreMs: number;
  /** One-way delay between a client and an entry. */
  readonly clientMs: number;
  readonly deadlineMs: number;
  readonly idempotentShare: number;
  readonly teams: readonly TeamLoad[];
}

/** Eight teams, three of them large, with 2,000 requests/s together: the load for which section 1 states its goals. */
const TEAMS: readonly TeamLoad[] = [
  { team: 'large-1', rate: 600 },
  { team: 'large-2', rate: 500 },
  { team: 'large-3', rate: 400 },
  { team: 'small-1', rate: 100 },
  { team: 'small-2', rate: 100 },
  { team: 'small-3', rate: 100 },
  { team: 'small-4', rate: 100 },
  { team: 'small-5', rate: 100 },
];

const COMMON = {
  entries: 48,
  dataCentres: 3,
  slots: 6,
  serviceSigma: 0.5,
  interDataCentreMs: 1,
  teams: TEAMS,
};

/** The page gives no service times; with those assumed here 2,000 requests/s occupy 20 to 38% of the slots. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    ...COMMON,
    name: 'orders',
    profile: 'prompt-detection',
    targets: 20,
    maxConnections: 350,
    serviceMedianMs: 20,
    clientMs: 3,
    deadlineMs: 1_000,
    idempotentShare: 0.7,
  },
  {
    ...COMMON,
    name: 'dispatch',
    profile: 'prompt-detection',
    targets: 10,
    maxConnections: 350,
    serviceMedianMs: 10,
    clientMs: 3,
    deadlineMs: 1_000,
    idempotentShare: 1,
  },
  {
    ...COMMON,
    name: 'artist-desk',
    profile: 'fair-share',
    targets: 20,
    maxConnections: 400,
    serviceMedianMs: 15,
    clientMs: 1,
    deadlineMs: 1_000,
    idempotentShare: 0.7,
  },
  {
    ...COMMON,
    name: 'visitor-guide',
    profile: 'fair-share',
    targets: 15,
    maxConnections: 400,
    serviceMedianMs: 8,
    clientMs: 1,
    deadlineMs: 500,
    idempotentShare: 1,
  },
];
