/** The floor: least number of targets in rotation. */

/** Tolerates the rounding error of a share that is not a binary fraction. */
const ROUNDING = 1e-9;

/** Least number of targets in rotation out of `announced` (fresh, not draining). */
export function minInRotation(announced: number, floor: number): number {
  return Math.min(announced, Math.ceil(announced * floor - ROUNDING));
}
