/** Buffering of request bodies within size and time limits. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { CallerConnection } from './CallerConnection.js';

export type BodyResult =
  | { readonly kind: 'read'; readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'tooSlow' }
  | { readonly kind: 'broken' }
  | { readonly kind: 'aborted' };

export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest pause between two chunks, in milliseconds. */
  readonly idleTimeoutMs: number;
  readonly totalTimeoutMs: number;
}

/** Reads a complete body. With any other result than `read`, the stream is paused and part of the body is unread. */
export function readBody(
  req: IncomingMessage,
  connection: CallerConnection,
  clock: Clock,
  limits: BodyLimits,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let idleTimer: IDisposable | undefined;
    let totalTimer: IDisposable | undefined;
    let failListener: IDisposable | undefined;
    let isSettled = false;
    const settle = (result: BodyResult): void => {
      // The rest of a refused body is read after this promise has settled; ignore the events of that read.
      if (isSettled) return;
      isSettled = true;
      totalTimer?.dispose();
      idleTimer?.dispose();
      failListener?.dispose();
      req.removeAllListeners('data');
      req.pause();
      resolve(result);
    };
    const restartIdleTimer = (): void => {
      idleTimer?.dispose();
      idleTimer = clock.setTimeout(() => settle({ kind: 'tooSlow' }), limits.idleTimeoutMs);
    };
    failListener = connection.onDidFail(() => settle({ kind: 'broken' }));
    restartIdleTimer();
    totalTimer = clock.setTimeout(() => settle({ kind: 'tooSlow' }), limits.totalTimeoutMs);
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limits.maxBytes) {
        settle({ kind: 'tooLarge' });
        return;
      }
      chunks.push(chunk);
      restartIdleTimer();
    });
    req.once('end', () => settle({ kind: 'read', body: Buffer.concat(chunks, size) }));
    req.once('close', () => settle({ kind: 'aborted' }));
    req.once('error', () => settle({ kind: 'aborted' }));
  });
}
