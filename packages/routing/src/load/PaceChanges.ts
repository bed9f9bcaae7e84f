/** Which paces have changed enough to be told to others, and which are to be repeated before they are forgotten. */
import { PACE_MEMORY_MS, USUAL_PACE, type PaceStatement, type TargetPace } from './TargetPaces.js';

/** Paces are told when they have changed by more than this share. */
export const MIN_PACE_CHANGE = 0.25;

/** An unusual pace is repeated after this time, so that one lost message does not end it. */
const REPEAT_MS = PACE_MEMORY_MS / 2.5;

interface Told {
  readonly born: number;
  readonly pace: TargetPace;
  readonly at: number;
}

function hasChanged(from: TargetPace, to: TargetPace): boolean {
  const isFar = (a: number, b: number): boolean =>
    Math.abs(a - b) > MIN_PACE_CHANGE * Math.min(a, b);
  return isFar(from.pace, to.pace) || isFar(from.room, to.room);
}

/** Whether a pace differs from the usual one by more than a quarter. */
export function isUnusual(pace: TargetPace): boolean {
  return hasChanged(USUAL_PACE, pace);
}

export class PaceChanges {
  private readonly told = new Map<string, Told>();

  /** Returns what is to be told, and notes it as told. */
  public take(current: readonly PaceStatement[], now: number): PaceStatement[] {
    return current.flatMap((statement) => {
      const { id, born, pace } = statement;
      const told = this.told.get(id);
      const known = told?.born === born ? told.pace : USUAL_PACE;
      const isRepeat = told?.born === born && isUnusual(told.pace) && now - told.at >= REPEAT_MS;
      if (!hasChanged(known, pace ?? USUAL_PACE) && !(isRepeat && pace !== undefined)) return [];
      if (pace === undefined) this.told.delete(id);
      else this.told.set(id, { born, pace, at: now });
      return [statement];
    });
  }

  /** Targets of which something was told. */
  public get ids(): readonly string[] {
    return [...this.told.keys()];
  }

  public get unusualCount(): number {
    return [...this.told.values()].filter(({ pace }) => isUnusual(pace)).length;
  }

  public remove(id: string): void {
    this.told.delete(id);
  }
}
