/** Credits in the simulation: hubs grant each entry its even part of the room. */
import type { LevelRequest } from '../ServiceLevels.js';
import { SimAdmission } from './SimAdmission.js';

/** Each entry may admit its even part of the room, urgent or not, and saves up for half a second. */
export class Credits extends SimAdmission {
  private readonly buckets: { tokens: number; at: number }[];

  public constructor(
    entries: number,
    private readonly perSecond: number,
  ) {
    super();
    this.buckets = Array.from({ length: entries }, () => ({ tokens: 1, at: 0 }));
  }

  public override decide(entry: number, { rank }: LevelRequest, now: number): number | undefined {
    const bucket = this.buckets[entry]!;
    const rate = this.perSecond / this.buckets.length;
    const most = Math.max(2, rate / 2);
    bucket.tokens = Math.min(most, bucket.tokens + (rate * (now - bucket.at)) / 1_000);
    bucket.at = now;
    // Less urgent requests leave something for urgent ones.
    if (bucket.tokens < 1 + (most - 1) * rank * 0.25) return 1_000;
    bucket.tokens -= 1;
    return undefined;
  }
}
