/** Finds the longest queue in constant time. */

/** Indexes items by an integer length that changes by one at a time. */
export class LengthIndex<T extends { readonly length: number }> {
  /** Items by length. */
  private readonly byLength: Set<T>[] = [];

  private longestLength = 0;

  /** Moves an item whose length has just changed by `change`. */
  public update(item: T, change: 1 | -1): void {
    const { length } = item;
    this.byLength[length - change]?.delete(item);
    if (length > 0) {
      this.byLength[length] ??= new Set();
      this.byLength[length].add(item);
    }
    if (length > this.longestLength) this.longestLength = length;
    else if ((this.byLength[this.longestLength]?.size ?? 0) === 0) this.longestLength = length;
  }

  public get longest(): T | undefined {
    return this.byLength[this.longestLength]?.values().next().value;
  }
}
