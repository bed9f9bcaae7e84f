/** JSON responses of the endpoints that the daemon serves itself. */
import { HTTPResponse } from 'h3';

/** Creates an uncacheable JSON response with the given status code. */
export function jsonResponse(value: unknown, status: number): HTTPResponse {
  return new HTTPResponse(JSON.stringify(value), {
    status,
    headers: { 'content-type': 'application/json', 'cache-control': 'no-store' },
  });
}
