/** Latency buckets of digests: three per doubling, from 0.5 ms to about 26 s. */

export const LATENCY_BUCKET_COUNT = 48;

const FIRST_BOUND_MS = 0.5;
const BUCKETS_PER_DOUBLING = 3;

/** Lower bound of a bucket in ms. */
export function bucketLowerBoundMs(bucket: number): number {
  return bucket === 0 ? 0 : FIRST_BOUND_MS * 2 ** ((bucket - 1) / BUCKETS_PER_DOUBLING);
}

const LOWER_BOUNDS_MS = Array.from({ length: LATENCY_BUCKET_COUNT + 1 }, (_, i) =>
  bucketLowerBoundMs(i),
);

/** Index of the bucket that counts a latency. */
export function latencyBucket(latencyMs: number): number {
  if (latencyMs < FIRST_BOUND_MS) return 0;
  const bucket = 1 + Math.floor(Math.log2(latencyMs / FIRST_BOUND_MS) * BUCKETS_PER_DOUBLING);
  return Math.min(LATENCY_BUCKET_COUNT - 1, bucket);
}

/** Sum of the counts. */
export function countSamples(buckets: ArrayLike<number>): number {
  let total = 0;
  for (let i = 0; i < buckets.length; i += 1) total += buckets[i]!;
  return total;
}

/** Number of samples above a limit, assuming that the samples of a bucket are spread evenly over it. */
export function countAbove(buckets: ArrayLike<number>, limitMs: number): number {
  let above = 0;
  for (let i = 0; i < Math.min(buckets.length, LATENCY_BUCKET_COUNT); i += 1) {
    const low = LOWER_BOUNDS_MS[i]!;
    const high = LOWER_BOUNDS_MS[i + 1]!;
    if (low >= limitMs) above += buckets[i]!;
    else if (high > limitMs) above += (buckets[i]! * (high - limitMs)) / (high - low);
  }
  return above;
}

/** Median in ms, interpolated within its bucket; undefined without samples. */
export function medianMs(buckets: ArrayLike<number>, total: number): number | undefined {
  if (total <= 0) return undefined;
  let below = 0;
  for (let i = 0; i < buckets.length; i += 1) {
    const count = buckets[i]!;
    if (below + count >= total / 2 && count > 0) {
      const low = LOWER_BOUNDS_MS[i]!;
      return low + ((LOWER_BOUNDS_MS[i + 1]! - low) * (total / 2 - below)) / count;
    }
    below += count;
  }
  return undefined;
}
