/** JSON answers of the own endpoints. */
import { HTTPResponse } from 'h3';

/** A JSON answer with a status code. */
export function jsonResponse(value: unknown, status: number): HTTPResponse {
  return new HTTPResponse(JSON.stringify(value), {
    status,
    headers: { 'content-type': 'application/json', 'cache-control': 'no-store' },
  });
}
