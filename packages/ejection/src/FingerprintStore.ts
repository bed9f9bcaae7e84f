/** Lost, cleared and quarantined request fingerprints at one entry. */
import type { Clock } from '@marigoldbank/base/clock';
import { MAX_FINGERPRINTS, QUARANTINE_MS } from './constants.js';
import type { CoordinateRequest, CoordinateResponse, LostRequest } from './types.js';

/** Collects lost and cleared fingerprints for the next poll, and keeps those that a coordinator has quarantined. */
export class FingerprintStore {
  private lost: LostRequest[] = [];

  /** Suspected fingerprints that succeeded at this entry and were not lost here afterwards, for the next poll. */
  private readonly cleared = new Set<string>();

  private suspected = new Set<string>();

  /** Fingerprints lost at this entry that have not succeeded here since. */
  private readonly lostLocally = new Set<string>();

  private readonly releaseAt = new Map<string, number>();

  public constructor(private readonly clock: Clock) {}

  /** Adopts an answer. A quarantine is kept for its full length, since the next coordinator may not know of it. */
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

  /** Returns whether the fingerprint was lost at this or another entry and has not succeeded since. */
  public isSuspected(fingerprint: string): boolean {
    return this.suspected.has(fingerprint) || this.lostLocally.has(fingerprint);
  }

  public reportLost(fingerprint: string, target: string): void {
    this.cleared.delete(fingerprint);
    if (this.lost.length < MAX_FINGERPRINTS) this.lost.push({ fingerprint, target });
    if (this.lostLocally.size < MAX_FINGERPRINTS) this.lostLocally.add(fingerprint);
  }

  public reportSucceeded(fingerprint: string): void {
    const isSuspected = this.suspected.has(fingerprint) || this.lostLocally.has(fingerprint);
    if (isSuspected && this.cleared.size < MAX_FINGERPRINTS) this.cleared.add(fingerprint);
    this.lostLocally.delete(fingerprint);
  }

  public takeReports(): Pick<CoordinateRequest, 'lost' | 'cleared'> {
    const { lost } = this;
    const cleared = [...this.cleared];
    this.lost = [];
    this.cleared.clear();
    return { lost, cleared };
  }
}
