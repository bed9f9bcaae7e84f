/** Detects poison requests: fingerprints whose requests crash the targets that run them. */
import {
  CRASH_SETTLE_MS,
  CRASH_WINDOW_MS,
  MAX_FINGERPRINTS,
  QUARANTINE_MS,
  SUSPECTED_FINGERPRINT_MS,
} from './constants.js';
import type { LostRequest } from './types.js';

/** Requests lost at one target at about the same time. */
interface Crash {
  readonly target: string;
  readonly startedAt: number;
  lastAt: number;
  readonly losses: { readonly fingerprint: string; readonly reporter: string }[];
  /** Whether all losses of this crash have been reported. */
  isSettled: boolean;
  /** Whether a request rather than the target may have caused the crash. */
  isRequestFault: boolean;
}

interface PendingLoss {
  readonly at: number;
  readonly reporter: string;
  readonly crash: Crash;
}

/** Time after a loss by which its crash is settled, wherever in the crash window the loss was reported. */
const LOSS_DELAY_MS = CRASH_WINDOW_MS + CRASH_SETTLE_MS;

/** A loss that counts against its target. */
export interface CountedLoss {
  readonly target: string;
  readonly reporter: string;
}

/**
 * A fingerprint lost on two targets without a success in between is quarantined. Other requests that were in flight at
 * the same crashes must not be quarantined with it: a crash with a quarantined fingerprint is attributed to it and no
 * longer counts against the others, and if several fingerprints of a crash were lost on two targets each, none of them
 * is quarantined before a third crash.
 */
export class PoisonTracker {
  private readonly openCrashes: Crash[] = [];

  /** Losses that are not counted yet, oldest first. */
  private pending: PendingLoss[] = [];

  /** Crashes per fingerprint that are not attributed to another request, oldest fingerprint first. */
  private readonly suspects = new Map<string, Crash[]>();

  /** Quarantined fingerprints and the time at which they are released. */
  private readonly releaseAt = new Map<string, number>();

  public addLost(lost: readonly LostRequest[], reporter: string, now: number): void {
    lost.forEach(({ fingerprint, target }) => {
      const crash = this.crashAt(target, now);
      crash.lastAt = now;
      crash.losses.push({ fingerprint, reporter });
      if (this.pending.length < MAX_FINGERPRINTS) this.pending.push({ at: now, reporter, crash });
      const crashes = this.suspects.get(fingerprint) ?? [];
      if (!crashes.includes(crash)) crashes.push(crash);
      this.suspects.set(fingerprint, crashes);
    });
    while (this.suspects.size > MAX_FINGERPRINTS) {
      this.suspects.delete(this.suspects.keys().next().value!);
    }
  }

  /** Called when a request with the fingerprint succeeded, so it did not cause its losses. */
  public clear(fingerprint: string): void {
    this.suspects.delete(fingerprint);
  }

  /** Evaluates the crashes whose losses are complete, and returns the losses that now count against their target. */
  public evaluate(now: number): CountedLoss[] {
    this.expire(now);
    const settled = this.openCrashes.filter((crash) => now - crash.lastAt >= CRASH_SETTLE_MS);
    if (settled.length > 0) {
      const rest = this.openCrashes.filter((crash) => now - crash.lastAt < CRASH_SETTLE_MS);
      this.openCrashes.splice(0, this.openCrashes.length, ...rest);
      settled.forEach((crash) => this.evaluateCrash(crash, now));
    }
    return this.takeDue(now);
  }

  public get quarantined(): string[] {
    return [...this.releaseAt.keys()];
  }

  public get suspected(): string[] {
    return [...this.suspects.keys()];
  }

  private crashAt(target: string, now: number): Crash {
    const known = this.openCrashes.find(
      (crash) => crash.target === target && now - crash.startedAt <= CRASH_WINDOW_MS,
    );
    if (known !== undefined) return known;
    const crash: Crash = {
      target,
      startedAt: now,
      lastAt: now,
      losses: [],
      isSettled: false,
      isRequestFault: false,
    };
    this.openCrashes.push(crash);
    return crash;
  }

  /** Each loss is counted after its own delay, so that the losses of a target do not count in bursts. */
  private takeDue(now: number): CountedLoss[] {
    const first = this.pending.findIndex(({ at }) => now - at < LOSS_DELAY_MS);
    const due = this.pending.splice(0, first < 0 ? this.pending.length : first);
    return due
      .filter(({ crash }) => !crash.isRequestFault)
      .map(({ crash, reporter }) => ({ target: crash.target, reporter }));
  }

  private evaluateCrash(crash: Crash, now: number): void {
    Object.assign(crash, { isSettled: true });
    const fingerprints = [...new Set(crash.losses.map(({ fingerprint }) => fingerprint))];
    const repeated = fingerprints
      .map((fingerprint) => ({ fingerprint, targets: this.targetsOf(fingerprint) }))
      .filter(({ targets }) => targets >= 2);
    const maxTargets = Math.max(...repeated.map(({ targets }) => targets));
    const mostFrequent = repeated.filter(({ targets }) => targets === maxTargets);
    if (mostFrequent.length === 1 || maxTargets >= 3) {
      mostFrequent.forEach(({ fingerprint }) => this.quarantine(fingerprint, now));
    }
    if (repeated.length > 0) Object.assign(crash, { isRequestFault: true });
    if (fingerprints.some((fingerprint) => this.releaseAt.has(fingerprint))) this.attribute(crash);
  }

  private targetsOf(fingerprint: string): number {
    const crashes = (this.suspects.get(fingerprint) ?? []).filter(({ isSettled }) => isSettled);
    return new Set(crashes.map(({ target }) => target)).size;
  }

  private quarantine(fingerprint: string, now: number): void {
    this.releaseAt.set(fingerprint, now + QUARANTINE_MS);
    const crashes = this.suspects.get(fingerprint) ?? [];
    crashes.forEach((crash) => this.attribute(crash));
    this.suspects.delete(fingerprint);
  }

  /** Attributes a crash to a quarantined request, so that it no longer counts against any other fingerprint. */
  private attribute(crash: Crash): void {
    Object.assign(crash, { isRequestFault: true });
    crash.losses.forEach(({ fingerprint }) => {
      const rest = this.suspects.get(fingerprint)?.filter((other) => other !== crash);
      if (rest === undefined) return;
      if (rest.length === 0) this.suspects.delete(fingerprint);
      else this.suspects.set(fingerprint, rest);
    });
  }

  private expire(now: number): void {
    [...this.releaseAt]
      .filter(([, releaseAt]) => now >= releaseAt)
      .forEach(([fingerprint]) => this.releaseAt.delete(fingerprint));
    [...this.suspects]
      .filter(([, crashes]) => now - crashes.at(-1)!.lastAt > SUSPECTED_FINGERPRINT_MS)
      .forEach(([fingerprint]) => this.suspects.delete(fingerprint));
  }
}
