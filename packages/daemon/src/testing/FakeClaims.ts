/** Fake claim registry in memory, for tests. */
import type {
  ClaimOutcome,
  ClaimResponse,
  IClaimRegistry,
  RecoverClaimsResponse,
  ResolveClaimResponse,
} from '@marigoldbank/claims';

interface StoredClaim {
  readonly fingerprint: string;
  outcome: Uint8Array | undefined;
}

/** Keeps claims without expiry. */
export class FakeClaims implements IClaimRegistry {
  public isAvailable = true;

  public mayDispatch = true;

  private readonly claims = new Map<string, StoredClaim>();

  public setView(): void {
    // Claims are not distributed over holders.
  }

  public markViewAccepted(): void {
    // Claims do not depend on the view.
  }

  public claim(team: string, key: string, fingerprint: string): Promise<ClaimOutcome> {
    if (!this.isAvailable) return Promise.resolve({ kind: 'unavailable', reason: 'no majority' });
    const id = `${team}/${key}`;
    const existing = this.claims.get(id);
    if (existing === undefined) return Promise.resolve(this.grant(id, fingerprint));
    if (existing.fingerprint !== fingerprint) return Promise.resolve({ kind: 'mismatch' });
    const { outcome } = existing;
    if (outcome === undefined) return Promise.resolve({ kind: 'inProgress' });
    return Promise.resolve({ kind: 'completed', outcome });
  }

  public handleClaim(): ClaimResponse {
    throw new Error('FakeClaims has no peers');
  }

  public handleResolve(): ResolveClaimResponse {
    throw new Error('FakeClaims has no peers');
  }

  public handleRecover(): RecoverClaimsResponse {
    throw new Error('FakeClaims has no peers');
  }

  public dispose(): void {
    this.claims.clear();
  }

  private grant(id: string, fingerprint: string): ClaimOutcome {
    const stored: StoredClaim = { fingerprint, outcome: undefined };
    this.claims.set(id, stored);
    const claim = {
      mayDispatch: () => this.mayDispatch,
      complete: (outcome: Uint8Array) => {
        stored.outcome = outcome;
        return Promise.resolve();
      },
      release: () => {
        this.claims.delete(id);
        return Promise.resolve();
      },
    };
    return { kind: 'owned', claim };
  }
}
