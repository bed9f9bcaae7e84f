/** Map in order of last use, which removes idle entries without scanning the others. */

interface Slot<V> {
  readonly value: V;
  usedAt: number;
}

export class IdleMap<V> {
  /** Least recently used first. */
  private readonly slots = new Map<string, Slot<V>>();

  public get size(): number {
    return this.slots.size;
  }

  public peek(key: string): V | undefined {
    return this.slots.get(key)?.value;
  }

  /** Returns a value and marks it as used now. */
  public use(key: string, now: number): V | undefined {
    const slot = this.slots.get(key);
    if (slot === undefined) return undefined;
    slot.usedAt = now;
    this.slots.delete(key);
    this.slots.set(key, slot);
    return slot.value;
  }

  public add(key: string, value: V, now: number): V {
    this.slots.set(key, { value, usedAt: now });
    return value;
  }

  public clear(): void {
    this.slots.clear();
  }

  /** Drops values not used since `before`. Those not droppable are marked as used, which defers their next check. */
  public sweep(before: number, now: number, isDroppable: (key: string, value: V) => boolean): void {
    for (;;) {
      const first = this.slots.entries().next();
      if (first.done || first.value[1].usedAt >= before) return;
      const [key, slot] = first.value;
      this.slots.delete(key);
      if (!isDroppable(key, slot.value)) this.slots.set(key, { value: slot.value, usedAt: now });
    }
  }
}
