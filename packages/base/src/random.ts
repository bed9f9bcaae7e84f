/** Seeded random numbers: the same seed gives the same sequence. */
import { unsafeUniformIntDistribution, xoroshiro128plus, type RandomGenerator } from 'pure-rand';

const UINT32_RANGE = 0x100000000;

/** Pseudo-random numbers for decisions and experiments. Not for secrets. */
export class Random {
  private readonly generator: RandomGenerator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  public float(): number {
    return unsafeUniformIntDistribution(0, UINT32_RANGE - 1, this.generator) / UINT32_RANGE;
  }

  /** Uniform integer in [0, bound). */
  public int(bound: number): number {
    return unsafeUniformIntDistribution(0, bound - 1, this.generator);
  }

  /** Uniform integer in [min, max]. */
  public between(min: number, max: number): number {
    return unsafeUniformIntDistribution(min, max, this.generator);
  }

  /** True with the given probability. */
  public chance(probability: number): boolean {
    return this.float() < probability;
  }

  /** A uniformly chosen item, or undefined for an empty list. */
  public pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.int(items.length)];
  }

  /** A shuffled copy. */
  public shuffle<T>(items: readonly T[]): T[] {
    return this.sample(items, items.length);
  }

  /** `count` different items in random order, or all of them if there are fewer. */
  public sample<T>(items: readonly T[], count: number): T[] {
    const copy = [...items];
    const size = Math.min(count, copy.length);
    Array.from({ length: size }, (_, i) => i).forEach((i) => {
      const j = i + this.int(copy.length - i);
      [copy[i], copy[j]] = [copy[j]!, copy[i]!];
    });
    return copy.slice(0, size);
  }

  /** Exponentially distributed with the given mean. */
  public exponential(mean: number): number {
    return -mean * Math.log(1 - this.float());
  }

  /** Log-normally distributed around `median`, with the given standard deviation of the logarithm. */
  public logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.float()));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.float()));
  }

  /** An independent generator derived from this one. */
  public fork(): Random {
    return new Random(this.int(0x7fffffff));
  }
}
