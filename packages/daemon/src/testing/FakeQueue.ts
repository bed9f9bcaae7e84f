/** Fake request queue (first in, first out), for tests. */
import type { AcquireRequest, AdmissionOutcome, IFairQueue } from '@marigoldbank/admission';
import type { TargetPermit } from '../entry/types.js';
import type { FakeTargetPool } from './FakeTargetPool.js';

interface Waiter {
  readonly resolve: (outcome: AdmissionOutcome<TargetPermit>) => void;
}

/** Grants leases of a pool; while `isHeld` is set, all requests wait. */
export class FakeQueue implements IFairQueue<TargetPermit> {
  public isHeld = false;

  public readonly teams: string[] = [];

  private waiters: Waiter[] = [];

  public constructor(private readonly pool: FakeTargetPool) {}

  public get waiting(): number {
    return this.waiters.length;
  }

  public acquire(req: AcquireRequest): Promise<AdmissionOutcome<TargetPermit>> {
    this.teams.push(req.team);
    return new Promise((resolve) => {
      const waiter = { resolve };
      this.waiters.push(waiter);
      req.signal?.addEventListener('abort', () => {
        this.waiters = this.waiters.filter((other) => other !== waiter);
        resolve({ kind: 'cancelled' });
      });
      this.wake();
    });
  }

  public wake(): void {
    while (!this.isHeld && this.waiters.length > 0) {
      const lease = this.pool.tryChoose({ exclude: new Set() });
      if (lease === undefined) return;
      const permit = { lease, dispose: () => undefined };
      this.waiters.shift()!.resolve({ kind: 'admitted', permit, waitedMs: 0 });
    }
  }

  public dispose(): void {
    this.waiters.forEach(({ resolve }) => resolve({ kind: 'cancelled' }));
    this.waiters = [];
  }
}
