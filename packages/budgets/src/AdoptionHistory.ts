/** Values (views or limits) that an entry adopted, and the time at which older ones are out of use in the fleet. */

export interface Adoption<T> {
  readonly value: T;
  readonly adoptedAt: number;
  /** Time from which no entry acts on an older value any more; Infinity while it is unknown. */
  readonly olderRetiredAt: number;
}

/** Adopted values, oldest first. A value that may have had unknown predecessors starts a new history. */
export class AdoptionHistory<T> {
  private records: readonly Adoption<T>[] = [];

  private newestBreakpoint = -Infinity;

  /** Incremented by every change of the history. */
  public version = 0;

  public constructor(private readonly maxRecords: number) {}

  public get newest(): Adoption<T> | undefined {
    return this.records.at(-1);
  }

  public get oldest(): Adoption<T> | undefined {
    return this.records[0];
  }

  /** Latest known time, past or future, at which the set of active values changes. */
  public get latestBreakpoint(): number {
    return this.newestBreakpoint;
  }

  public adopt(value: T, at: number, isContinuation: boolean): void {
    const kept = isContinuation ? this.records : [];
    const record: Adoption<T> = { value, adoptedAt: at, olderRetiredAt: Infinity };
    this.update([...kept, record].slice(-this.maxRecords));
  }

  /** Records that from `at` on no entry uses values older than those that satisfy `matches`. */
  public retireOlder(matches: (value: T) => boolean, at: number): void {
    const isRetired = (record: Adoption<T>): boolean =>
      record.olderRetiredAt === Infinity && matches(record.value);
    if (!this.records.some(isRetired)) return;
    this.update(
      this.records.map((record) =>
        isRetired(record) ? { ...record, olderRetiredAt: at } : record,
      ),
    );
  }

  /** Drops the values that no entry uses any more at `now`. */
  public pruneRetired(now: number): void {
    const last = this.records.findLastIndex((record) => record.olderRetiredAt <= now);
    if (last > 0) this.update(this.records.slice(last));
  }

  /** Values that some entry may act on at time `at`; empty if unknown older ones may be in use as well. */
  public activeAt(at: number): readonly T[] {
    const adopted = this.records.filter((record) => record.adoptedAt <= at);
    const last = adopted.findLastIndex((record) => record.olderRetiredAt <= at);
    return last < 0 ? [] : adopted.slice(last).map((record) => record.value);
  }

  /** Times from `from` to `to` at which the set of active values changes, in order. */
  public breakpoints(from: number, to: number): number[] {
    return this.records
      .flatMap((record) => [record.adoptedAt, record.olderRetiredAt])
      .filter((time) => time >= from && time <= to)
      .sort((a, b) => a - b);
  }

  private update(records: readonly Adoption<T>[]): void {
    this.records = records;
    this.version += 1;
    this.newestBreakpoint = Math.max(
      ...records
        .flatMap((record) => [record.adoptedAt, record.olderRetiredAt])
        .filter((time) => time !== Infinity),
    );
  }
}
