/** Upstream responses: buffering, streaming to the caller, and their stored form. */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import type { ResponseHead, ExchangeFailure, UpstreamExchange } from './UpstreamExchange.js';
import type { HeaderList } from './types.js';

/** A response whose head was received. The body consists of `prefix` and then of what `rest` delivers, if present. */
export interface UpstreamResponse {
  readonly head: ResponseHead;
  readonly prefix: readonly Buffer[];
  readonly rest: UpstreamExchange | undefined;
}

export type BufferResult =
  | { readonly kind: 'complete'; readonly chunks: Buffer[] }
  /** The body exceeds the limit; the exchange is paused. */
  | { readonly kind: 'overflow'; readonly chunks: Buffer[] }
  | { readonly kind: 'failed'; readonly failure: ExchangeFailure };

/** Buffers a body up to a size limit. */
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

/** Flattens headers for Node.js, which takes alternating names and values. */
export function flattenHeaders(headers: HeaderList): string[] {
  return headers.flat();
}

/** Streams a response to the caller. A truncated one aborts the caller's connection, so that it never looks complete. */
export function writeResponse(
  res: ServerResponse,
  response: UpstreamResponse,
  headers: HeaderList,
): Promise<WriteResult> {
  res.writeHead(response.head.status, flattenHeaders(headers));
  response.prefix.forEach((chunk) => res.write(chunk));
  const { rest } = response;
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

/** A response as stored with a claim. */
export interface StoredOutcome {
  readonly status: number;
  readonly headers: HeaderList;
  readonly body: Buffer;
}

export function encodeOutcome(outcome: StoredOutcome): Uint8Array {
  const { status, headers, body } = outcome;
  return Buffer.from(JSON.stringify({ status, headers, body: body.toString('base64') }));
}

/** Decodes a stored response, or returns undefined when the bytes are not one. */
export function decodeOutcome(bytes: Uint8Array): StoredOutcome | undefined {
  try {
    const parsed = storedOutcomeSchema.parse(JSON.parse(Buffer.from(bytes).toString('utf8')));
    return { ...parsed, body: Buffer.from(parsed.body, 'base64') };
  } catch {
    return undefined;
  }
}
