import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MemoryBudget } from './MemoryBudget.js';

// Each body was within its limit, and all together were more than the memory of the process.
describe('MemoryBudget', () => {
  it('limits all requests together, and gives back what one of them has reserved', () => {
    const budget = new MemoryBudget(100);
    const [a, b] = [budget.lease(), budget.lease()];
    expect([a.reserve(60), b.reserve(30), b.reserve(20)]).toEqual([true, true, false]);
    a.dispose();
    a.dispose();
    expect([b.reserve(20), budget.usedBytes]).toEqual([true, 50]);
    b.dispose();
    expect(budget.usedBytes).toEqual(0);
  });
});
