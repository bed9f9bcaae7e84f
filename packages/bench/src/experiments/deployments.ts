/** Deployments of the design page, section 1, as the experiments see them. */
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
  /** One way between two data centres, and between a client and an entry. */
  readonly interDataCentreMs: number;
  readonly clientMs: number;
  readonly deadlineMs: number;
  readonly idempotentShare: number;
  readonly teams: readonly TeamLoad[];
}

/** Eight teams, three of them large; 2,000 requests/s together, the load of the targets in section 1. */
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

/** Service times are assumptions: the page gives none. They put 2,000 requests/s at 20 to 38% of the slots. */
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
