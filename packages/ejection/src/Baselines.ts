/** Baselines for each target: median latency and bad rate of its peers. */
import { LeaveOneOutQuantiles } from './LeaveOneOutQuantiles.js';
import type { ProfileParameters } from './profiles.js';
import type { Baseline, TargetEvidence } from './TargetEvidence.js';

/** A target whose samples describe how a healthy target behaves. */
export interface Peer {
  readonly target: string;
  readonly evidence: TargetEvidence;
}

/** Minimum number of samples in the window for a target to count as a peer. */
const MIN_PEER_SAMPLES = 5;

/** The first quartile rather than the mean, so that the baseline stays low even if a third of the targets is bad. */
const BAD_RATE_QUANTILE = 0.25;

/** Baselines of one service, computed from the evidence about its peers at one time. */
export class Baselines {
  private readonly medians: LeaveOneOutQuantiles;

  private readonly badRates: LeaveOneOutQuantiles;

  public constructor(
    peers: readonly Peer[],
    private readonly parameters: ProfileParameters,
    now: number,
  ) {
    this.medians = new LeaveOneOutQuantiles(
      peers.flatMap(({ target, evidence }) => {
        const value = evidence.median(now, MIN_PEER_SAMPLES);
        return value === undefined ? [] : [{ target, value }];
      }),
    );
    this.badRates = new LeaveOneOutQuantiles(
      peers.flatMap(({ target, evidence }) => {
        const value = evidence.badRate(now, MIN_PEER_SAMPLES);
        return value === undefined ? [] : [{ target, value }];
      }),
    );
  }

  /** Baseline for one target. Without peers, or for a cold target, no sample is slow and only failures are bad. */
  public for(target: string, isCold: boolean): Baseline {
    const { slowFactor, slowMarginMs } = this.parameters;
    const median = this.medians.quantile(target, 0.5);
    const badRate = this.badRates.quantile(target, BAD_RATE_QUANTILE) ?? 0;
    const slowAboveMs =
      median === undefined || isCold
        ? Number.POSITIVE_INFINITY
        : Math.max(median * slowFactor, median + slowMarginMs);
    return { slowAboveMs, badRate };
  }
}
