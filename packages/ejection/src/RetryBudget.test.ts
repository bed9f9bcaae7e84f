import { describe, it } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { RetryBudget } from './RetryBudget.js';

/** Returns the largest ratio of retries to requests at any step of a sequence. */
function maxRetryRatio(budget: RetryBudget, steps: readonly boolean[]): number {
  let requests = 0;
  let retries = 0;
  return Math.max(
    0,
    ...steps.map((isRequest) => {
      if (isRequest) {
        budget.recordRequest();
        requests += 1;
      } else if (budget.tryRetry()) retries += 1;
      return retries === 0 ? 0 : retries / requests;
    }),
  );
}

describe('RetryBudget', () => {
  it('never permits more than 10% retries, for any sequence of requests and retries', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), { minLength: 1, maxLength: 400 }), (steps) => {
        expect(maxRetryRatio(new RetryBudget(), steps)).toBeLessThanOrEqual(0.1 + 1e-9);
      }),
      { seed: 3 },
    );
  });

  it('is found to exceed 10% with an unlimited share, which shows that the check detects it', () => {
    const steps = [true, false, false, true, false];
    expect(maxRetryRatio(new RetryBudget(Number.POSITIVE_INFINITY), steps)).toBeGreaterThan(0.1);
  });

  it('accumulates only a bounded number of unused retries', () => {
    const budget = new RetryBudget();
    for (let i = 0; i < 10_000; i += 1) budget.recordRequest();
    const granted = Array.from({ length: 100 }, () => budget.tryRetry()).filter(Boolean).length;
    expect(granted).toEqual(20);
  });
});
