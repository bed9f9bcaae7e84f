/** State of all known targets: announced properties, health estimate and load. */
import { Emitter } from '@marigoldbank/base/events';
import { TargetBelief, type TargetOutcome } from './TargetBelief.js';

/** Properties that a target announces. */
export interface TargetInfo {
  readonly id: string;
  /** `ip:port`. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Number of requests that the target processes at the same time. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining time for which the target is slow after its start. */
  readonly coldMs: number;
  /** Unix ms of the start of this incarnation, 0 or undefined if unknown. */
  readonly born?: number;
}

/** Time for which a target is avoided after a failed connection or a timeout. It doubles with each further one. */
const INITIAL_UNREACHABLE_MS = 1_000;
const MAX_UNREACHABLE_MS = 8_000;

/** A target and its observed state. Times are monotonic ms. */
export interface TargetState {
  info: TargetInfo;
  readonly belief: TargetBelief;
  coldUntil: number;
  /** Requests of other entries in flight at the target. */
  othersInFlight: number;
  ownInFlight: number;
  /** Time at which the last outcome from any entry became known, 0 if there is none. */
  lastOutcomeAt: number;
  /** Until this time the target counts as unreachable from this entry, whatever other entries report. */
  unreachableUntil: number;
  /** Failed connections and timeouts of this entry since the target last responded to it. */
  connectFailures: number;
  /** Time at which any entry last started a request to the target, 0 if none is known. */
  lastTriedAt: number;
}

/** Whether an announcement is of a later incarnation than the one that is known. */
function isRestarted(known: TargetInfo, next: TargetInfo): boolean {
  const [before = 0, after = 0] = [known.born, next.born];
  return before > 0 && after > before;
}

export class TargetTable {
  private readonly removeEmitter = new Emitter<string>();

  /** Fires with the id of a target that was removed. */
  public readonly onDidRemove = this.removeEmitter.event;

  private readonly targets = new Map<string, TargetState>();

  private readonly byService = new Map<string, Map<string, TargetState>>();

  /** Adds a target, or replaces its announced properties. */
  public upsert(info: TargetInfo, now: number): void {
    const known = this.targets.get(info.id);
    if (known !== undefined) {
      if (known.info.service !== info.service) {
        this.remove(info.id);
        this.upsert(info, now);
        return;
      }
      if (isRestarted(known.info, info)) {
        known.belief.reset(now);
        Object.assign(known, { connectFailures: 0, unreachableUntil: 0, lastOutcomeAt: 0 });
      }
      known.info = info;
      known.coldUntil = now + info.coldMs;
      return;
    }
    const state: TargetState = {
      info,
      belief: new TargetBelief(now),
      coldUntil: now + info.coldMs,
      othersInFlight: 0,
      ownInFlight: 0,
      lastOutcomeAt: 0,
      lastTriedAt: 0,
      unreachableUntil: 0,
      connectFailures: 0,
    };
    this.targets.set(info.id, state);
    const serviceTargets = this.byService.get(info.service) ?? new Map<string, TargetState>();
    serviceTargets.set(info.id, state);
    this.byService.set(info.service, serviceTargets);
  }

  public remove(id: string): void {
    const state = this.targets.get(id);
    if (state === undefined) return;
    this.targets.delete(id);
    this.byService.get(state.info.service)?.delete(id);
    this.removeEmitter.fire(id);
  }

  /** Removes all targets whose id is not in `ids`. */
  public retainOnly(ids: ReadonlySet<string>): void {
    [...this.targets.keys()].filter((id) => !ids.has(id)).forEach((id) => this.remove(id));
  }

  /**
   * Forgets the requests of other entries. Without a hub their ends do not become known, so that targets would seem busy for
   * good: those that failed would not be tried again, and others would seem to be full.
   */
  public forgetOthers(): void {
    this.targets.forEach((target) => Object.assign(target, { othersInFlight: 0 }));
  }

  public get(id: string): TargetState | undefined {
    return this.targets.get(id);
  }

  /** Targets of a service that accept new requests. */
  public candidates(service: string): TargetState[] {
    return [...(this.byService.get(service)?.values() ?? [])].filter(
      ({ info }) => !info.isDraining,
    );
  }

  public all(): TargetState[] {
    return [...this.targets.values()];
  }

  /** Updates the health estimate of a target with `count` equal outcomes that any entry observed. */
  public observe(id: string, outcome: TargetOutcome, now: number, count = 1): void {
    const state = this.targets.get(id);
    if (state === undefined || count === 0) return;
    state.belief.observe(outcome, now, count);
    state.lastOutcomeAt = now;
  }

  /** Records that a connection of this entry to the target failed, or that the target did not respond in time. */
  public recordConnectFailure(id: string, now: number): void {
    const state = this.targets.get(id);
    if (state === undefined) return;
    const waitMs = Math.min(
      MAX_UNREACHABLE_MS,
      INITIAL_UNREACHABLE_MS * 2 ** state.connectFailures,
    );
    state.connectFailures += 1;
    state.unreachableUntil = now + waitMs;
  }

  /** Records that this entry reached the target. */
  public recordConnected(id: string): void {
    const state = this.targets.get(id);
    if (state !== undefined) Object.assign(state, { connectFailures: 0, unreachableUntil: 0 });
  }
}
