/** Buffering of request bodies within a limit. */
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
  /** Longest pause between two pieces, in milliseconds. */
  readonly idleTimeoutMs: number;
  readonly totalTimeoutMs: number;
}

/** Reads a whole body. On any result but `read` the stream is paused and some of the body is unread. */
export function readBody(
  req: IncomingMessage,
  connection: CallerConnection,
  clock: Clock,
  limits: BodyLimits,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let timer: IDisposable | undefined;
    let total: IDisposable | undefined;
    let breakListener: IDisposable | undefined;
    let isSettled = false;
    const settle = (result: BodyResult): void => {
      // The rest of a refused body is read later, and its events do not belong here.
      if (isSettled) return;
      isSettled = true;
      total?.dispose();
      timer?.dispose();
      breakListener?.dispose();
      req.removeAllListeners('data');
      req.pause();
      resolve(result);
    };
    const restartTimer = (): void => {
      timer?.dispose();
      timer = clock.setTimeout(() => settle({ kind: 'tooSlow' }), limits.idleTimeoutMs);
    };
    breakListener = connection.onDidFail(() => settle({ kind: 'broken' }));
    restartTimer();
    total = clock.setTimeout(() => settle({ kind: 'tooSlow' }), limits.totalTimeoutMs);
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limits.maxBytes) {
        settle({ kind: 'tooLarge' });
        return;
      }
      chunks.push(chunk);
      restartTimer();
    });
    req.once('end', () => settle({ kind: 'read', body: Buffer.concat(chunks, size) }));
    req.once('close', () => settle({ kind: 'aborted' }));
    req.once('error', () => settle({ kind: 'aborted' }));
  });
}
