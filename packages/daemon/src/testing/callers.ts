/** Clients for tests: HTTP requests, and raw bytes over a socket. */
import { connect } from 'node:net';
import { request } from 'undici';
import { TEST_KEY } from './EntryFixture.js';

export interface CallOptions {
  readonly method?: string;
  readonly key?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
}

export interface CallResult {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
  /** `verdict` of the problem details, if the response has any. */
  readonly verdict: string | undefined;
  /** Last segment of the `type` of the problem details. */
  readonly problem: string | undefined;
}

/** Sends one request with the test API key and reads the whole response. Rejects if the response is incomplete. */
export async function call(url: string, options: CallOptions = {}): Promise<CallResult> {
  const res = await request(url, {
    method: options.method ?? 'GET',
    headers: { authorization: `Bearer ${options.key ?? TEST_KEY}`, ...options.headers },
    body: options.body,
    signal: options.signal,
  });
  const text = await res.body.text();
  const isProblem = res.headers['content-type'] === 'application/problem+json';
  const problem = isProblem ? (JSON.parse(text) as { verdict: string; type: string }) : undefined;
  return {
    status: res.statusCode,
    headers: res.headers,
    text,
    verdict: problem?.verdict,
    problem: problem?.type.split(':').at(-1),
  };
}

/** Sends bytes and returns all bytes received until the connection closes or `waitMs` have passed. */
export function sendRaw(port: number, bytes: string, waitMs = 2_000): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    const finish = (): void => {
      socket.destroy();
      resolve(received);
    };
    const timer = setTimeout(finish, waitMs);
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.once('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
    socket.write(bytes, 'latin1');
  });
}

/** Returns the status codes of all responses in the received bytes. */
export function statusesOf(received: string): number[] {
  return [...received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map((match) => Number(match[1]));
}
