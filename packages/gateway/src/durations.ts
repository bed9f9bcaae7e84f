/** Parses and formats durations. */
import { z } from 'zod';

const DURATION_PATTERN = /^(\d+(?:\.\d+)?)(ms|s)$/;

const MS_PER_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000 };

/** Parses durations such as `1500ms` or `2.5s` to milliseconds. */
export const durationMs = z
  .string()
  .regex(DURATION_PATTERN)
  .transform((text) => {
    const [, amount = '', unit = ''] = DURATION_PATTERN.exec(text)!;
    return Number(amount) * MS_PER_UNIT[unit]!;
  });

export function formatDuration(ms: number): string {
  return `${Math.round(ms)}ms`;
}
