/** Binary heap of teams by start tag. */

/** An item that stores its index in the heap, so that it can be removed from the middle. */
export interface Tagged {
  readonly startTag: number;
  readonly order: number;
  readonly heapIndex: number;
  setHeapIndex(index: number): void;
}

function isBefore(a: Tagged, b: Tagged): boolean {
  return a.startTag < b.startTag || (a.startTag === b.startTag && a.order < b.order);
}

export class TagHeap<T extends Tagged> {
  private readonly items: T[] = [];

  public get first(): T | undefined {
    return this.items[0];
  }

  public add(item: T): void {
    this.items.push(item);
    this.siftUp(this.items.length - 1, item);
  }

  public remove(item: T): void {
    const index = item.heapIndex;
    const last = this.items.pop()!;
    item.setHeapIndex(-1);
    if (last === item) return;
    this.setAt(index, last);
    this.update(last);
  }

  /** Restores the order after the item's tag has changed. */
  public update(item: T): void {
    this.siftUp(item.heapIndex, item);
    this.siftDown(item.heapIndex, item);
  }

  private siftUp(from: number, item: T): void {
    let index = from;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(item, this.items[parent]!)) break;
      this.setAt(index, this.items[parent]!);
      index = parent;
    }
    this.setAt(index, item);
  }

  private siftDown(from: number, item: T): void {
    let index = from;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.items.length) break;
      const right = this.items[child + 1];
      if (right !== undefined && isBefore(right, this.items[child]!)) child += 1;
      if (!isBefore(this.items[child]!, item)) break;
      this.setAt(index, this.items[child]!);
      index = child;
    }
    this.setAt(index, item);
  }

  private setAt(index: number, item: T): void {
    this.items[index] = item;
    item.setHeapIndex(index);
  }
}
