import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { MemoryBudget } from './MemoryBudget.js';

/** What one request has reserved, until it is disposed. */
export class MemoryLease implements IDisposable {
  private held = 0;

  public constructor(private readonly budget: MemoryBudget) {}

  /** Returns whether the bytes are within the budget, and reserves them then. */
  public reserve(bytes: number): boolean {
    if (!this.budget.take(bytes)) return false;
    this.held += bytes;
    return true;
  }

  /** Reserves the bytes also if they are beyond the budget: they are held already. */
  public charge(bytes: number): void {
    this.budget.release(-bytes);
    this.held += bytes;
  }

  public dispose(): void {
    this.budget.release(this.held);
    this.held = 0;
  }
}
