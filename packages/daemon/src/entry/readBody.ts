/** Buffering of request bodies within size and time limits. */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { ByteCollector } from './ByteCollector.js';
import type { CallerConnection } from './CallerConnection.js';
import type { MemoryLease } from './MemoryLease.js';

export type BodyResult =
  | { readonly kind: 'read'; readonly body: Buffer }
  | { readonly kind: 'tooLarge' }
  | { readonly kind: 'tooSlow' }
  /** The bodies of all requests together need more memory than they may. */
  | { readonly kind: 'noMemory' }
  | { readonly kind: 'broken' }
  | { readonly kind: 'aborted' };

export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest pause between two chunks, in milliseconds. */
  readonly idleTimeoutMs: number;
  readonly totalTimeoutMs: number;
  /** What the process has left for bodies; without it only `maxBytes` limits them. */
  readonly memory?: MemoryLease;
}

/** Reads a complete body. With any other result than `read`, the stream is paused and part of the body is unread. */
export function readBody(
  req: IncomingMessage,
  connection: CallerConnection,
  clock: Clock,
  limits: BodyLimits,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const collected = new ByteCollector();
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
      if (collected.size + chunk.length > limits.maxBytes) {
        settle({ kind: 'tooLarge' });
        return;
      }
      if (limits.memory?.reserve(chunk.length) === false) {
        settle({ kind: 'noMemory' });
        return;
      }
      collected.add(chunk);
      restartIdleTimer();
    });
    req.once('end', () => settle({ kind: 'read', body: Buffer.concat(collected.take()) }));
    req.once('close', () => settle({ kind: 'aborted' }));
    req.once('error', () => settle({ kind: 'aborted' }));
  });
}
