/** HTTP endpoints of the internal listener: announcements, metrics and health checks. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { Announcement } from '@marigoldbank/ejection';
import { H3, HTTPError, noContent, type H3Event, type HTTPResponse } from 'h3';
import { toNodeHandler } from 'h3/node';
import { z } from 'zod';
import type { Metrics } from '../telemetry/Metrics.js';
import { announcementSchema, type AnnouncementMessage } from './announcementSchema.js';
import type { NodeRequestHandler } from './callerApp.js';
import { jsonResponse } from './json.js';

const MAX_ANNOUNCEMENT_BYTES = 65_536;
const MAX_TARGETS_PER_REQUEST = 100;
const BEARER_PATTERN = /^bearer +(\S+)$/i;

export interface InternalAppOptions {
  /** Secret shared by upstreams. */
  readonly announcementSecret: string;
  /** Called with valid announcements. */
  readonly onAnnouncements: (announcements: readonly Announcement[]) => void;
  readonly metrics: Metrics;
  /** Returns why this daemon is not ready, or undefined when it is. */
  readonly findUnreadyReason: () => string | undefined;
}

function sha256(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}

/** Compares digests in constant time, since comparing the texts would leak the length of their common prefix. */
function isEqualSecret(presented: string, expected: string): boolean {
  return timingSafeEqual(sha256(presented), sha256(expected));
}

function checkSecret(event: H3Event, secret: string): void {
  const presented = BEARER_PATTERN.exec(event.req.headers.get('authorization') ?? '')?.[1] ?? '';
  if (isEqualSecret(presented, secret)) return;
  throw new HTTPError({
    status: 401,
    message: 'the announcement secret is needed as bearer token',
  });
}

function tooLarge(): HTTPError {
  return new HTTPError({ status: 413, message: `at most ${MAX_ANNOUNCEMENT_BYTES} bytes` });
}

async function readText(event: H3Event): Promise<string> {
  if (Number(event.req.headers.get('content-length') ?? 0) > MAX_ANNOUNCEMENT_BYTES) {
    throw tooLarge();
  }
  if (event.req.body === null) return '';
  const decoder = new TextDecoder();
  let text = '';
  let size = 0;
  const reader = event.req.body.getReader();
  for (let part = await reader.read(); !part.done; part = await reader.read()) {
    size += part.value.length;
    if (size > MAX_ANNOUNCEMENT_BYTES) throw tooLarge();
    text += decoder.decode(part.value, { stream: true });
  }
  return text + decoder.decode();
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new HTTPError({ status: 400, message: 'the body is not valid JSON' });
  }
}

/** Formats validation errors as `path: message`, so that the sender can find the invalid field. */
function describeIssues(error: z.ZodError, prefix: readonly PropertyKey[]): string[] {
  return error.issues.map((issue) => {
    const path = [...prefix, ...issue.path].map(String).join('.');
    return path === '' ? issue.message : `${path}: ${issue.message}`;
  });
}

function parseAnnouncements(value: unknown): AnnouncementMessage[] {
  const isList = Array.isArray(value);
  const items: unknown[] = isList ? value : [value];
  if (items.length === 0 || items.length > MAX_TARGETS_PER_REQUEST) {
    const message = `expected 1 to ${MAX_TARGETS_PER_REQUEST} announcements`;
    throw new HTTPError({ status: 400, message });
  }
  const results = items.map((item) => announcementSchema.safeParse(item));
  const errors = results.flatMap((result, i) =>
    result.success ? [] : describeIssues(result.error, isList ? [i] : []),
  );
  if (errors.length > 0) {
    throw new HTTPError({ status: 400, message: 'invalid announcement', data: { errors } });
  }
  return results.flatMap((result) => (result.success ? [result.data] : []));
}

async function receiveAnnouncements(
  event: H3Event,
  options: InternalAppOptions,
  state?: 'leaving',
): Promise<HTTPResponse> {
  checkSecret(event, options.announcementSecret);
  const messages = parseAnnouncements(parseJson(await readText(event)));
  options.onAnnouncements(
    messages.map((message) => ({ ...message, state: state ?? message.state, ageMs: 0 })),
  );
  return noContent();
}

/** Creates the request handler of the internal listener's HTTP endpoints. */
export function createInternalApp(options: InternalAppOptions): NodeRequestHandler {
  const app = new H3();
  app.post('/announcements', (event) => receiveAnnouncements(event, options));
  app.delete('/announcements', (event) => receiveAnnouncements(event, options, 'leaving'));
  app.get('/metrics', async (event) => {
    event.res.headers.set('content-type', options.metrics.registry.contentType);
    return options.metrics.registry.metrics();
  });
  app.get('/livez', () => ({ isAlive: true }));
  app.get('/readyz', () => {
    const reason = options.findUnreadyReason();
    const isReady = reason === undefined;
    return jsonResponse({ isReady, reason }, isReady ? 200 : 503);
  });
  const handler = toNodeHandler(app);
  return (req, res) => {
    Promise.resolve(handler(req, res)).catch(() => res.destroy());
  };
}
