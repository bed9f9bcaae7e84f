/** What a run of a request waits for. */
import type { AttemptResult, SendAttempt } from './SendAttempt.js';

export type RunEvent =
  | { readonly kind: 'result'; readonly attempt: SendAttempt; readonly result: AttemptResult }
  | { readonly kind: 'stalled' }
  | { readonly kind: 'due' }
  | { readonly kind: 'stopped' }
  | { readonly kind: 'gone' };

/** Stands for an event that never occurs. */
export const NEVER = new Promise<RunEvent>(() => {
  // Stands for an event that never occurs.
});
