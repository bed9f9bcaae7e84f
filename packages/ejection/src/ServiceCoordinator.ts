/** Coordinator of one service. */
import { AnnouncementStore, type StoredAnnouncement } from './AnnouncementStore.js';
import { Baselines } from './Baselines.js';
import { COLD_START_MS, EVIDENCE_ROUND_MS } from './constants.js';
import { minInRotation } from './floor.js';
import { PoisonTracker } from './PoisonTracker.js';
import type { ProfileParameters } from './profiles.js';
import { Reporters } from './Reporters.js';
import { Rotation } from './Rotation.js';
import { TargetEvidence, type Baseline } from './TargetEvidence.js';
import type {
  Announcement,
  CoordinateRequest,
  CoordinateResponse,
  TargetDigest,
  TargetStatus,
} from './types.js';

/** State of one target besides its announcement. */
interface TargetRecord {
  readonly target: string;
  readonly evidence: TargetEvidence;
  readonly rotation: Rotation;
  /** When the current incarnation was first seen. */
  startedAt: number;
}

/** Minimum time between decisions, however many entries poll. */
const DECISION_PERIOD_MS = 25;

const BASELINE_PERIOD_MS = 100;

/** Fraction of the CUSUM threshold at which a target on probation is ejected again. */
const RELAPSE_SHARE = 0.5;

export interface ServiceParameters extends ProfileParameters {
  readonly floor: number;
}

/** Merges the evidence about one service's targets, ejects targets within the floor, and keeps the quarantine. */
export class ServiceCoordinator {
  private readonly announcements = new AnnouncementStore();

  private readonly records = new Map<string, TargetRecord>();

  private readonly reporters = new Reporters();

  private readonly poison = new PoisonTracker();

  private baselines: Baselines;

  private baselinesAt = Number.NEGATIVE_INFINITY;

  private decidedAt = Number.NEGATIVE_INFINITY;

  private reviewedAt = Number.NEGATIVE_INFINITY;

  public constructor(private parameters: ServiceParameters) {
    this.baselines = new Baselines([], parameters, 0);
  }

  public setParameters(parameters: ServiceParameters): void {
    this.parameters = parameters;
  }

  public handleAnnouncement(announcement: Announcement, now: number): void {
    const result = this.announcements.adopt(announcement, now);
    if (result !== 'newIncarnation') return;
    const known = this.records.get(announcement.target);
    if (known === undefined) {
      const evidence = new TargetEvidence();
      const rotation = new Rotation();
      const { target } = announcement;
      this.records.set(target, { target, evidence, rotation, startedAt: now });
      return;
    }
    // The evidence is about the previous process. An ejection stays, since a crash loop is a fault of the target too.
    known.evidence.reset();
    known.startedAt = now;
  }

  public handleCoordinate(req: CoordinateRequest, now: number): CoordinateResponse {
    this.reporters.adopt(req.from, req.digests, now);
    const isTrusted = this.reporters.isTrusted(req.from, now);
    this.refreshBaselines(now);
    req.digests.forEach((digest) => this.addEvidence(req.from, digest, isTrusted, now));
    this.poison.addLost(req.lost, req.from, now);
    req.cleared.forEach((fingerprint) => this.poison.clear(fingerprint));
    this.decide(now);
    // Checked for every answer, since targets are announced and expire between decisions.
    this.enforceFloor(this.usableRecords(now), now);
    return {
      targets: this.announcements.all().map((stored) => this.toStatus(stored, now)),
      suspectedReporters: this.reporters.suspected(now),
      quarantined: this.poison.quarantined,
      suspectedFingerprints: this.poison.suspected,
    };
  }

  private addEvidence(from: string, digest: TargetDigest, isTrusted: boolean, now: number): void {
    const record = this.records.get(digest.target);
    if (record === undefined) return;
    const samples = { buckets: digest.latencyBuckets, failed: digest.failed };
    const baseline = this.baselineFor(record, now);
    record.evidence.add(from, samples, baseline, this.parameters, now, isTrusted);
  }

  private baselineFor(record: TargetRecord, now: number): Baseline {
    return this.baselines.for(record.target, this.isCold(record, now));
  }

  private isCold(record: TargetRecord, now: number): boolean {
    const isAnnouncedCold = this.announcements.get(record.target)?.announcement.isCold ?? false;
    return isAnnouncedCold && now - record.startedAt < COLD_START_MS;
  }

  private refreshBaselines(now: number): void {
    if (now - this.baselinesAt < BASELINE_PERIOD_MS) return;
    this.baselinesAt = now;
    const peers = this.usableRecords(now).filter(
      (record) => record.rotation.status === 'inRotation' && !this.isCold(record, now),
    );
    this.baselines = new Baselines(peers, this.parameters, now);
  }

  private usableRecords(now: number): TargetRecord[] {
    return [...this.records.values()].filter(({ target }) =>
      this.announcements.isUsable(target, now),
    );
  }

  private decide(now: number): void {
    if (now - this.decidedAt < DECISION_PERIOD_MS) return;
    this.decidedAt = now;
    this.countLosses(now);
    this.expireAndReview(now);
    const records = this.usableRecords(now);
    records.forEach(({ evidence, rotation }) => {
      const before = rotation.status;
      if (rotation.advance(now, evidence.goodSamples) === 'unchanged') return;
      evidence.takeGoodSamples();
      // Requests that were outstanding at the ejection must not count during probation.
      if (before === 'ejected') evidence.reset();
    });
    this.ejectWorst(records, now);
  }

  private countLosses(now: number): void {
    this.poison.evaluate(now).forEach(({ target, reporter }) => {
      const record = this.records.get(target);
      if (record === undefined) return;
      const isTrusted = this.reporters.isTrusted(reporter, now);
      const baseline = this.baselineFor(record, now);
      const samples = { buckets: [], failed: 1 };
      record.evidence.add(reporter, samples, baseline, this.parameters, now, isTrusted);
    });
  }

  private expireAndReview(now: number): void {
    if (now - this.reviewedAt < EVIDENCE_ROUND_MS) return;
    this.reviewedAt = now;
    this.announcements.expire(now).forEach((target) => this.records.delete(target));
    const records = [...this.records.values()];
    this.reporters.expire(now).forEach((reporter) => {
      records.forEach(({ evidence }) => evidence.removeReporter(reporter));
    });
    const evidence = this.usableRecords(now).map((record) => record.evidence);
    this.reporters.reviewSuspicion(evidence, this.parameters, now);
  }

  private ejectWorst(records: readonly TargetRecord[], now: number): void {
    const minimum = minInRotation(records.length, this.parameters.floor);
    let inRotation = records.filter(({ rotation }) => rotation.status === 'inRotation').length;
    records
      .filter((record) => this.isBad(record, now))
      .map((record) => ({ record, badRate: record.evidence.recentBadRate(now) }))
      .sort((a, b) => b.badRate - a.badRate)
      .forEach(({ record, badRate }) => {
        const isInRotation = record.rotation.status === 'inRotation';
        if (isInRotation && inRotation <= minimum) return;
        if (isInRotation) inRotation -= 1;
        record.rotation.eject(now, badRate);
        record.evidence.reset();
      });
  }

  private isBad({ evidence, rotation }: TargetRecord, now: number): boolean {
    if (rotation.status === 'ejected') return false;
    const { cusumThreshold } = this.parameters;
    const isRelapse = rotation.status === 'probation';
    if (evidence.cusum < (isRelapse ? cusumThreshold * RELAPSE_SHARE : cusumThreshold)) {
      return false;
    }
    return evidence.hasReporterQuorum(this.parameters, now, (reporter) =>
      this.reporters.isTrusted(reporter, now),
    );
  }

  /** Reinstates the best targets out of rotation if the floor is violated, since targets may have left meanwhile. */
  private enforceFloor(records: readonly TargetRecord[], now: number): void {
    const minimum = minInRotation(records.length, this.parameters.floor);
    const outOfRotation = records.filter(({ rotation }) => rotation.status !== 'inRotation');
    const shortfall = minimum - (records.length - outOfRotation.length);
    if (shortfall <= 0) return;
    outOfRotation
      .sort(
        (a, b) =>
          b.rotation.share - a.rotation.share ||
          a.rotation.badRateAtEjection - b.rotation.badRateAtEjection,
      )
      .slice(0, shortfall)
      .forEach(({ rotation }) => rotation.reinstate(now));
  }

  private toStatus(stored: StoredAnnouncement, now: number): TargetStatus {
    const { announcement, receivedAt } = stored;
    const rotation = this.records.get(announcement.target)?.rotation ?? new Rotation();
    return {
      announcement: { ...announcement, ageMs: now - receivedAt },
      status: rotation.status,
      share: rotation.share,
      fleetOutstanding: this.reporters.fleetOutstanding(announcement.target),
      reason: rotation.reason,
    };
  }
}
