/** Limits the number of values of a metric label. */

const OTHER = 'other';

/** Keeps the first `maxValues` values and maps all further ones to `other`, so that the number of time series is bounded. */
export class LabelCardinalityLimiter {
  private readonly known = new Set<string>();

  public constructor(private readonly maxValues: number) {}

  public limit(value: string): string {
    if (this.known.has(value)) return value;
    if (this.known.size >= this.maxValues) return OTHER;
    this.known.add(value);
    return value;
  }
}
