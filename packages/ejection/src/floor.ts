/** Computes the floor: the minimum number of targets in rotation. */

/** Tolerance for the rounding error of a share that is not a binary fraction. */
const ROUNDING = 1e-9;

/** Minimum number of targets in rotation out of `announced`, the number of `up` targets whose lease has not expired. */
export function minInRotation(announced: number, floor: number): number {
  return Math.min(announced, Math.ceil(announced * floor - ROUNDING));
}
