/** Memory that the bodies of all requests of a process may need together. */
import { MemoryLease } from './MemoryLease.js';

export class MemoryBudget {
  private used = 0;

  public constructor(public readonly maxBytes: number) {}

  public get usedBytes(): number {
    return this.used;
  }

  public lease(): MemoryLease {
    return new MemoryLease(this);
  }

  /** Called by leases only. */
  public take(bytes: number): boolean {
    if (this.used + bytes > this.maxBytes) return false;
    this.used += bytes;
    return true;
  }

  public release(bytes: number): void {
    this.used -= bytes;
  }
}
