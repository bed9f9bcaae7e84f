/** The HTTP server for callers with its limits, without what handles requests. */
import { createServer, type Server } from 'node:http';
import type { PlanLimits } from '@marigoldbank/routing/plan';

/** Limits until the first plan. */
export const INITIAL_LIMITS: PlanLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 67_108_864,
  headersTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};

/** Largest request head that the parser accepts. The limit of the plan, `maxHeaderBytes`, is not applied. */
const MAX_HEAD_BYTES = 65_536;

/** Callers reuse connections up to the idle limit, so connections are kept open a little longer. */
export const IDLE_MARGIN_MS = 2_000;

const CHECKING_INTERVAL_MS = 500;

/** Maximum time to receive a whole request, and to read a whole body. */
export const BODY_TIMEOUT_MS = 30_000;

export function createCallerHttpServer(): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEAD_BYTES,
    headersTimeout: INITIAL_LIMITS.headersTimeoutMs,
    requestTimeout: BODY_TIMEOUT_MS,
    keepAliveTimeout: INITIAL_LIMITS.idleTimeoutMs + IDLE_MARGIN_MS,
    connectionsCheckingInterval: CHECKING_INTERVAL_MS,
    insecureHTTPParser: false,
    noDelay: true,
  });
  // By default Node.js silently drops headers beyond its limit.
  server.maxHeadersCount = 0;
  return server;
}
