/** Lost, cleared and quarantined fingerprints at one entry. */
import type { Clock } from '@marigoldbank/base/clock';
import { MAX_FINGERPRINTS, QUARANTINE_MS } from './constants.js';
import type { CoordinateRequest, CoordinateResponse, LostRequest } from './types.js';

/** Collects what the next poll reports, and keeps what the coordinator has quarantined. */
export class FingerprintStore {
  private lost: LostRequest[] = [];

  /** Fingerprints that succeeded after their last loss here. */
  private readonly cleared = new Set<string>();

  private suspected = new Set<string>();

  /** Lost here and not yet known to be suspected by the coordinator. */
  private readonly lostHere = new Set<string>();

  private readonly releaseAt = new Map<string, number>();

  public constructor(private readonly clock: Clock) {}

  /** A quarantine once heard of is kept for its length, since the next coordinator may not know of it. */
  public adopt(res: CoordinateResponse): void {
    const now = this.clock.now();
    this.suspected = new Set(res.suspectedFingerprints);
    [...this.releaseAt]
      .filter(([, releaseAt]) => now >= releaseAt)
      .forEach(([fingerprint]) => this.releaseAt.delete(fingerprint));
    res.quarantined
      .filter((fingerprint) => !this.releaseAt.has(fingerprint))
      .forEach((fingerprint) => this.releaseAt.set(fingerprint, now + QUARANTINE_MS));
  }

  public isQuarantined(fingerprint: string): boolean {
    const releaseAt = this.releaseAt.get(fingerprint);
    return releaseAt !== undefined && this.clock.now() < releaseAt;
  }

  /** True if the fingerprint was lost here or elsewhere and has not succeeded since. */
  public isSuspected(fingerprint: string): boolean {
    return this.suspected.has(fingerprint) || this.lostHere.has(fingerprint);
  }

  public reportLost(fingerprint: string, target: string): void {
    this.cleared.delete(fingerprint);
    if (this.lost.length < MAX_FINGERPRINTS) this.lost.push({ fingerprint, target });
    if (this.lostHere.size < MAX_FINGERPRINTS) this.lostHere.add(fingerprint);
  }

  public reportSucceeded(fingerprint: string): void {
    const isSuspected = this.suspected.has(fingerprint) || this.lostHere.has(fingerprint);
    if (isSuspected && this.cleared.size < MAX_FINGERPRINTS) this.cleared.add(fingerprint);
    this.lostHere.delete(fingerprint);
  }

  public take(): Pick<CoordinateRequest, 'lost' | 'cleared'> {
    const { lost } = this;
    const cleared = [...this.cleared];
    this.lost = [];
    this.cleared.clear();
    return { lost, cleared };
  }
}
