/** Answers of upstreams on their way to the caller. */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import type { ResponseHead, ExchangeFailure, UpstreamExchange } from './UpstreamExchange.js';
import type { HeaderList } from './types.js';

/** An answer whose head has come. The rest is in `prefix`, then in the exchange if there is one. */
export interface UpstreamAnswer {
  readonly head: ResponseHead;
  readonly prefix: readonly Buffer[];
  readonly rest: UpstreamExchange | undefined;
}

export type BufferResult =
  | { readonly kind: 'complete'; readonly chunks: Buffer[] }
  /** More than the limit came; the exchange is paused. */
  | { readonly kind: 'overflow'; readonly chunks: Buffer[] }
  | { readonly kind: 'failed'; readonly failure: ExchangeFailure };

/** Collects a body up to a limit. */
export function bufferBody(exchange: UpstreamExchange, maxBytes: number): Promise<BufferResult> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    exchange.consume({
      onData: (chunk) => {
        chunks.push(chunk);
        size += chunk.length;
        if (size <= maxBytes) return true;
        resolve({ kind: 'overflow', chunks });
        return false;
      },
      onEnd: () => resolve({ kind: 'complete', chunks }),
      onFail: (failure) => resolve({ kind: 'failed', failure }),
    });
  });
}

export type WriteResult =
  { readonly kind: 'complete' } | { readonly kind: 'failed'; readonly failure: ExchangeFailure };

/** Flattens headers for Node.js, which takes names and values in turn. */
export function flattenHeaders(headers: HeaderList): string[] {
  return headers.flat();
}

/** Streams an answer to the caller. A cut answer aborts the caller's connection, so that it never looks complete. */
export function writeAnswer(
  res: ServerResponse,
  answer: UpstreamAnswer,
  headers: HeaderList,
): Promise<WriteResult> {
  res.writeHead(answer.head.status, flattenHeaders(headers));
  answer.prefix.forEach((chunk) => res.write(chunk));
  const { rest } = answer;
  if (rest === undefined) {
    res.end();
    return Promise.resolve({ kind: 'complete' });
  }
  return new Promise((resolve) => {
    res.on('drain', () => rest.resume());
    rest.consume({
      onData: (chunk) => res.write(chunk),
      onEnd: () => {
        res.end();
        resolve({ kind: 'complete' });
      },
      onFail: (failure) => {
        res.destroy();
        resolve({ kind: 'failed', failure });
      },
    });
  });
}

const storedOutcomeSchema = z.object({
  status: z.number().int(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  body: z.base64(),
});

/** An answer as stored with a claim. */
export interface StoredOutcome {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
}

export function encodeOutcome(outcome: StoredOutcome): Uint8Array {
  const { status, headers, body } = outcome;
  return Buffer.from(JSON.stringify({ status, headers, body: body.toString('base64') }));
}

/** Reads a stored answer, or undefined when it is not one. */
export function decodeOutcome(bytes: Uint8Array): StoredOutcome | undefined {
  try {
    const parsed = storedOutcomeSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
    return { ...parsed, body: Buffer.from(parsed.body, 'base64') };
  } catch {
    return undefined;
  }
}
