/** Answers to bytes that are not a request. */
import { randomUUID } from 'node:crypto';
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { toAnswer, type Refusal } from './refusals.js';

const REFUSALS: Readonly<Record<string, Refusal>> = {
  HPE_HEADER_OVERFLOW: { kind: 'headersTooLarge', verdict: 'notRun' },
  ERR_HTTP_REQUEST_TIMEOUT: { kind: 'requestTimeout', verdict: 'notRun' },
};

const MALFORMED: Refusal = {
  kind: 'badRequest',
  verdict: 'notRun',
  detail: 'not a valid HTTP/1.1 request',
};

/** A complete answer that closes the connection. */
function format(refusal: Refusal): Buffer {
  const { status, headers, body } = toAnswer(refusal, randomUUID());
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  const head = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines}connection: close\r\n\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), body]);
}

/** Answers and closes. No earlier request of the connection may be waiting for an answer, or it would get this one. */
export function answerBrokenRequest(socket: Duplex, code: string | undefined): void {
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  socket.end(format((code === undefined ? undefined : REFUSALS[code]) ?? MALFORMED));
}
