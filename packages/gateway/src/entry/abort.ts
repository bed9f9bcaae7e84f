/** Signals of callers that disconnect. */
import type { IDisposable } from '@marigoldbank/base/lifecycle';

/** Calls `fn` when the signal is aborted, at once if it is already. */
export function onAborted(signal: AbortSignal, fn: () => void): IDisposable {
  signal.addEventListener('abort', fn, { once: true });
  if (signal.aborted) fn();
  return { dispose: () => signal.removeEventListener('abort', fn) };
}
