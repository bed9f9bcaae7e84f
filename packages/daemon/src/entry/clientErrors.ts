/** Error responses to malformed or timed-out input and to CONNECT requests. */
import { randomUUID } from 'node:crypto';
import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { toProblemResponse, type Refusal } from './refusals.js';

const REFUSAL_BY_ERROR_CODE: Readonly<Record<string, Refusal>> = {
  HPE_HEADER_OVERFLOW: { kind: 'headersTooLarge', verdict: 'notRun' },
  ERR_HTTP_REQUEST_TIMEOUT: { kind: 'requestTimeout', verdict: 'notRun' },
};

const MALFORMED_REQUEST: Refusal = {
  kind: 'badRequest',
  verdict: 'notRun',
  detail: 'not a valid HTTP/1.1 request',
};

/** Serialises a complete HTTP response that closes the connection. */
function formatErrorResponse(refusal: Refusal): Buffer {
  const { status, headers, body } = toProblemResponse(refusal, randomUUID());
  const lines = headers.map(([name, value]) => `${name}: ${value}\r\n`).join('');
  const head = `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${lines}connection: close\r\n\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), body]);
}

/**
 * Sends an error response and closes the connection. No earlier request of the connection may still be waiting for its
 * response, or the caller would take this one for it.
 */
export function sendClientError(socket: Duplex, code: string | undefined): void {
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  socket.end(
    formatErrorResponse(
      (code === undefined ? undefined : REFUSAL_BY_ERROR_CODE[code]) ?? MALFORMED_REQUEST,
    ),
  );
}
