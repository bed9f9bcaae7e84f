/** Bound on the values of a metric label. */

const OTHER = 'other';

/** Passes the first values through and maps all later ones to `other`, so that a metric cannot grow without limit. */
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
