/** Own endpoints on the caller address. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Random } from '@marigoldbank/base/random';
import { H3, getQuery } from 'h3';
import { toNodeHandler } from 'h3/node';
import { listAddresses } from './addresses.js';
import { OWN_PATH_PREFIX } from './constants.js';
import { jsonResponse } from './json.js';
import type { EntryContext } from './types.js';

const SEED_BOUND = 0x7fffffff;

export type NodeRequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Makes the handler of the paths under `/.well-known/marigoldbank/`. */
export function createCallerApp(ctx: EntryContext, isLeaving: () => boolean): NodeRequestHandler {
  const random = new Random(Math.floor(Math.random() * SEED_BOUND));
  const app = new H3();
  app.get(`${OWN_PATH_PREFIX}addresses`, (event) => {
    event.res.headers.set('cache-control', 'no-store');
    const { dataCentre } = getQuery(event);
    const near = typeof dataCentre === 'string' ? dataCentre : undefined;
    return listAddresses(ctx, random, near, isLeaving());
  });
  app.get(`${OWN_PATH_PREFIX}health`, () => {
    const isCurrent = ctx.clock.now() < ctx.blackboard.currency.value.currentUntil;
    const isReady = isCurrent && !isLeaving();
    return jsonResponse({ isReady, isCurrent, isLeaving: isLeaving() }, isReady ? 200 : 503);
  });
  const handler = toNodeHandler(app);
  return (req, res) => {
    // Errors are answered by h3 itself.
    Promise.resolve(handler(req, res)).catch(() => res.destroy());
  };
}
