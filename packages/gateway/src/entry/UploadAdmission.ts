/**
 * Decides on requests with large bodies before the body is read: by the memory that is left for bodies, and by the time that
 * the link of this VM needs for those under way. All other requests pass.
 */
import type { IncomingMessage } from 'node:http';
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { LinkLoad } from '@marigoldbank/routing/load/LinkLoad';
import type { Route } from '@marigoldbank/routing/plan';
import { uploadRefusalsTotal } from '../metrics.js';
import type { ErrorResponse } from './ErrorResponse.js';

/** Share of the memory for bodies that large ones may take. The rest is left to other requests and to answers. */
const UPLOAD_MEMORY_SHARE = 0.75;

/** Time to come back if memory is short: a large body is passed on in about a second. */
const NO_MEMORY_RETRY_MS = 1_000;

/** Callers that are refused until the link is free return over a longer time, by this share. */
const RETURN_SPREAD = 0.5;

const BYTES_PER_MEGABIT = 125_000;

export interface UploadContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly memory: MemoryBudget;
  /** Capacity of the link of this VM in Mbit/s, undefined if it is no bottleneck. */
  readonly linkMbps?: number | undefined;
}

/** What an upload is measured by. Times in ms. */
export interface UploadRequest {
  readonly route: Route;
  /** Announced length, undefined for a body in chunks. */
  readonly bytes: number | undefined;
  /** Time left until the deadline. */
  readonly remainingMs: number;
  /** Expected duration at a target, the transfer to it included. */
  readonly expectedMs: number;
}

export class UploadAdmission {
  private readonly link: LinkLoad | undefined;

  public constructor(private readonly ctx: UploadContext) {
    const { linkMbps } = ctx;
    this.link = linkMbps === undefined ? undefined : new LinkLoad(linkMbps * BYTES_PER_MEGABIT);
  }

  /** The refusal of a request whose body finds no room or cannot be passed on in time, or undefined. */
  public refusalOf({
    route,
    bytes,
    remainingMs,
    expectedMs,
  }: UploadRequest): ErrorResponse | undefined {
    if (route.hasLargeBody !== true || bytes === undefined) return undefined;
    const { clock, memory, random } = this.ctx;
    if (memory.usedBytes + bytes > UPLOAD_MEMORY_SHARE * memory.maxBytes) {
      uploadRefusalsTotal.inc({ reason: 'memory' });
      return { kind: 'overloaded', verdict: 'notRun', retryAfterMs: NO_MEMORY_RETRY_MS };
    }
    const { link } = this;
    if (link === undefined) return undefined;
    const transferMs = link.transferMs(bytes, clock.now());
    if (transferMs + expectedMs <= remainingMs) return undefined;
    uploadRefusalsTotal.inc({ reason: 'link' });
    const waitMs = link.receiveWaitMs * (1 + RETURN_SPREAD * random.float());
    return { kind: 'overloaded', verdict: 'notRun', retryAfterMs: Math.ceil(waitMs) };
  }

  /** Counts a body on the link until it has come in, or the result is disposed of. */
  public begin(req: IncomingMessage, { route, bytes }: UploadRequest): { dispose: () => void } {
    if (this.link === undefined || bytes === undefined || route.hasLargeBody !== true) {
      return { dispose: () => undefined };
    }
    const transfer = this.link.begin(bytes, () => this.ctx.clock.now());
    req.on('data', (piece: Buffer) => transfer.received(piece.length));
    return transfer;
  }
}
