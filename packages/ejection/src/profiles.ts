/** Profiles: named sets of parameters that trade fast detection against wrong ejections. */
import type { ProfileName } from './types.js';

export interface ProfileParameters {
  /** CUSUM (natural log of a likelihood ratio) at which a target is ejected. */
  readonly cusumThreshold: number;
  /** Share of bad samples that the CUSUM assumes for a bad target. */
  readonly badShare: number;
  /** Minimum bad rate assumed for peers, so that one bad sample among healthy peers has little weight. */
  readonly minPeerBadRate: number;
  /** A sample is slow above this multiple of the peers' median. */
  readonly slowFactor: number;
  /** A sample is slow only if it is this much above the peers' median, which excludes the jitter of fast services. */
  readonly slowMarginMs: number;
  /**
   * Largest growth of a CUSUM in one round, as a share of the threshold. A stall ends within two or three rounds and so
   * does not reach the threshold.
   */
  readonly gainPerRound: number;
  /** Share of a target's reporters that must find it bad before it is ejected. */
  readonly reporterQuorum: number;
  /** Share of bad samples at which one reporter finds a target bad. */
  readonly reporterBadShare: number;
  /** Maximum weight of one reporter's samples about a target, as a multiple of the mean of all its reporters. */
  readonly reporterCap: number;
  /** Share of targets that a reporter must find bad, while the other reporters do not, to be suspected. */
  readonly suspectShare: number;
}

const COMMON = {
  badShare: 0.25,
  minPeerBadRate: 0.02,
  slowFactor: 3,
  slowMarginMs: 5,
  gainPerRound: 0.3,
  reporterQuorum: 0.5,
  reporterBadShare: 0.1,
  reporterCap: 3,
  suspectShare: 0.5,
};

/** Parameters of each profile. */
export const PROFILES: Record<ProfileName, ProfileParameters> = {
  'prompt-detection': { ...COMMON, cusumThreshold: 12 },
  'fair-share': { ...COMMON, cusumThreshold: 16, gainPerRound: 0.25 },
};
