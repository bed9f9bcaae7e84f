import { describe, it } from 'node:test';
import { expect } from 'earl';
import { encodeErrorResponse, stoppingError } from './ErrorResponse.js';

describe('encodeErrorResponse', () => {
  // Callers of an entry that stopped waited 0.3 s, although other entries were ready.
  it('lets callers of an entry that stops come back at once if there are other entries', () => {
    const { status, headers } = encodeErrorResponse(stoppingError(true));
    expect([status, headers['retry-after']]).toEqual([503, '0']);
  });

  it('lets callers wait if no other entry is ready', () => {
    expect(encodeErrorResponse(stoppingError(false)).headers['retry-after']).toEqual('0.3');
  });
});
