/** Endpoints that the entry serves itself on the caller address. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Random } from '@marigoldbank/base/random';
import { H3, getQuery } from 'h3';
import { toNodeHandler } from 'h3/node';
import { listAddresses } from './addresses.js';
import { WELL_KNOWN_PATH_PREFIX } from './constants.js';
import { jsonResponse } from './json.js';
import type { EntryContext } from './types.js';

const MAX_SEED = 0x7fffffff;

export type NodeRequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Creates the handler of the paths under `/.well-known/marigoldbank/`. */
export function createCallerApp(ctx: EntryContext, isLeaving: () => boolean): NodeRequestHandler {
  const random = new Random(Math.floor(Math.random() * MAX_SEED));
  const app = new H3();
  app.get(`${WELL_KNOWN_PATH_PREFIX}addresses`, (event) => {
    event.res.headers.set('cache-control', 'no-store');
    const { dataCentre } = getQuery(event);
    const callerDataCentre = typeof dataCentre === 'string' ? dataCentre : undefined;
    return listAddresses(ctx, random, callerDataCentre, isLeaving());
  });
  app.get(`${WELL_KNOWN_PATH_PREFIX}health`, () => {
    const isCurrent = ctx.clock.now() < ctx.blackboard.freshness.value.currentUntil;
    const isReady = isCurrent && !isLeaving();
    return jsonResponse({ isReady, isCurrent, isLeaving: isLeaving() }, isReady ? 200 : 503);
  });
  const handler = toNodeHandler(app);
  return (req, res) => {
    // h3 sends the error responses itself.
    Promise.resolve(handler(req, res)).catch(() => res.destroy());
  };
}
