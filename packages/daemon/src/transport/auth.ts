/** Authentication by shared secret, for calls between daemons and calls of operators. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { Code, ConnectError, type Interceptor } from '@connectrpc/connect';

const BEARER_PREFIX = 'Bearer ';

function digest(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Compares two secrets in constant time, even if their lengths differ. */
export function isSameSecret(given: string, expected: string): boolean {
  return timingSafeEqual(digest(given), digest(expected));
}

/** Whether an `authorization` header carries the secret as a bearer token. */
export function hasBearerSecret(header: string | null | undefined, secret: string): boolean {
  const given = header?.startsWith(BEARER_PREFIX) ? header.slice(BEARER_PREFIX.length) : '';
  return isSameSecret(given, secret);
}

/** Adds the secret to every request of a client. */
export function sendSecret(secret: string): Interceptor {
  return (next) => (req) => {
    req.header.set('authorization', `${BEARER_PREFIX}${secret}`);
    return next(req);
  };
}

/** Rejects requests that lack the secret of their service, and all requests to a service without a secret. */
export function requireSecret(secretOf: (typeName: string) => string | undefined): Interceptor {
  return (next) => (req) => {
    const secret = secretOf(req.service.typeName);
    if (secret === undefined || !hasBearerSecret(req.header.get('authorization'), secret)) {
      throw new ConnectError('missing or wrong secret', Code.Unauthenticated);
    }
    return next(req);
  };
}
