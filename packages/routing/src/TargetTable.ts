/** What an entry knows of the targets: announcements, shared evidence and load. */
import { TargetBelief, type TargetOutcome } from './TargetBelief.js';

/** A target as announced. */
export interface TargetInfo {
  readonly id: string;
  /** `ip:port`. */
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Time that the target remains slow after its start. */
  readonly coldMs: number;
}

/** A target that this entry cannot reach is left out for this long, doubled with each failure in a row. */
const UNREACHABLE_MS = 1_000;
const MAX_UNREACHABLE_MS = 8_000;

/** A target with what is known of it. Times are monotonic ms. */
export interface TargetState {
  info: TargetInfo;
  readonly belief: TargetBelief;
  coldUntil: number;
  /** Requests that other entries have in flight there. */
  othersInFlight: number;
  ownInFlight: number;
  /** Time of the last outcome that is known, 0 if there is none. */
  lastOutcomeAt: number;
  /** Until then this entry does not reach the target, whatever others report. */
  unreachableUntil: number;
  /** Connections of this entry in a row that failed. */
  unreachableInRow: number;
  /** Time at which this entry or another last started a request there, 0 if none is known. */
  lastTriedAt: number;
}

export class TargetTable {
  private readonly targets = new Map<string, TargetState>();

  private readonly byService = new Map<string, Map<string, TargetState>>();

  /** Adds a target, or replaces what was announced of it. */
  public upsert(info: TargetInfo, now: number): void {
    const known = this.targets.get(info.id);
    if (known !== undefined) {
      if (known.info.service !== info.service) {
        this.remove(info.id);
        this.upsert(info, now);
        return;
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
      unreachableInRow: 0,
    };
    this.targets.set(info.id, state);
    const ofService = this.byService.get(info.service) ?? new Map<string, TargetState>();
    ofService.set(info.id, state);
    this.byService.set(info.service, ofService);
  }

  public remove(id: string): void {
    const state = this.targets.get(id);
    if (state === undefined) return;
    this.targets.delete(id);
    this.byService.get(state.info.service)?.delete(id);
  }

  /** Removes all targets that are not named. */
  public retain(ids: ReadonlySet<string>): void {
    [...this.targets.keys()].filter((id) => !ids.has(id)).forEach((id) => this.remove(id));
  }

  public get(id: string): TargetState | undefined {
    return this.targets.get(id);
  }

  /** Targets of a service that may get new requests. */
  public candidates(service: string): TargetState[] {
    return [...(this.byService.get(service)?.values() ?? [])].filter(
      ({ info }) => !info.isDraining,
    );
  }

  public all(): TargetState[] {
    return [...this.targets.values()];
  }

  /** Takes an outcome into account, wherever it was seen. */
  public observe(id: string, outcome: TargetOutcome, now: number): void {
    const state = this.targets.get(id);
    if (state === undefined) return;
    state.belief.observe(outcome, now);
    state.lastOutcomeAt = now;
  }

  /** A connection of this entry to the target failed. */
  public noteUnreachable(id: string, now: number): void {
    const state = this.targets.get(id);
    if (state === undefined) return;
    const waitMs = Math.min(MAX_UNREACHABLE_MS, UNREACHABLE_MS * 2 ** state.unreachableInRow);
    state.unreachableInRow += 1;
    state.unreachableUntil = now + waitMs;
  }

  /** A connection of this entry to the target succeeded. */
  public noteReached(id: string): void {
    const state = this.targets.get(id);
    if (state !== undefined) Object.assign(state, { unreachableInRow: 0, unreachableUntil: 0 });
  }
}
