/** State machine of one target: in rotation, ejected or on probation. */
import {
  EJECTION_BASE_MS,
  EJECTION_DECAY_MS,
  EJECTION_MAX_MS,
  PROBATION_IDLE_STEP_MS,
  PROBATION_START_SHARE,
  PROBATION_STEP_MS,
  PROBATION_STEP_SAMPLES,
} from './constants.js';
import type { RotationStatus } from './types.js';

/** Transitions: in rotation -> ejected -> probation -> in rotation, or from probation back to ejected on a relapse. */
export class Rotation {
  private statusValue: RotationStatus = 'inRotation';

  private shareValue = 1;

  private reasonValue = '';

  /** Number of ejections that have not decayed; the length of an ejection doubles with each. */
  private backoffLevel = 0;

  /** By status: end of the ejection, start of the probation step, or time from which `backoffLevel` decays. */
  private phaseTime = 0;

  /** Bad rate at the time of the ejection. */
  private ejectionBadRate = 0;

  public get status(): RotationStatus {
    return this.statusValue;
  }

  public get share(): number {
    return this.shareValue;
  }

  public get reason(): string {
    return this.reasonValue;
  }

  public get badRateAtEjection(): number {
    return this.ejectionBadRate;
  }

  public eject(now: number, badRate: number): void {
    const lengthMs = Math.min(EJECTION_MAX_MS, EJECTION_BASE_MS * 2 ** this.backoffLevel);
    this.backoffLevel += 1;
    this.statusValue = 'ejected';
    this.shareValue = 0;
    this.ejectionBadRate = badRate;
    this.phaseTime = now + lengthMs;
    const percent = Math.round(badRate * 100);
    this.reasonValue = `${percent}% failed or slow, ejected for ${lengthMs / 1000} s`;
  }

  /** Returns to rotation at once, because the floor requires it. */
  public reinstate(now: number): void {
    this.enterRotation(now);
    this.reasonValue = 'kept in rotation by the floor';
  }

  /** Applies transitions due at `now`. `goodSamples` is the number of good samples in this probation step. */
  public advance(now: number, goodSamples: number): 'changed' | 'unchanged' {
    if (this.statusValue === 'ejected') return this.advanceEjected(now);
    if (this.statusValue === 'probation') return this.advanceProbation(now, goodSamples);
    if (this.backoffLevel > 0 && now - this.phaseTime >= EJECTION_DECAY_MS) {
      this.backoffLevel -= 1;
      this.phaseTime = now;
    }
    return 'unchanged';
  }

  private advanceEjected(now: number): 'changed' | 'unchanged' {
    if (now < this.phaseTime) return 'unchanged';
    this.statusValue = 'probation';
    this.shareValue = PROBATION_START_SHARE;
    this.reasonValue = 'probation after ejection';
    this.phaseTime = now;
    return 'changed';
  }

  private advanceProbation(now: number, goodSamples: number): 'changed' | 'unchanged' {
    const stepMs = now - this.phaseTime;
    const isProven = stepMs >= PROBATION_STEP_MS && goodSamples >= PROBATION_STEP_SAMPLES;
    if (!isProven && stepMs < PROBATION_IDLE_STEP_MS) return 'unchanged';
    this.phaseTime = now;
    this.shareValue = Math.min(1, this.shareValue * 2);
    if (this.shareValue >= 1) this.enterRotation(now);
    return 'changed';
  }

  private enterRotation(now: number): void {
    this.statusValue = 'inRotation';
    this.shareValue = 1;
    this.reasonValue = '';
    this.phaseTime = now;
  }
}
