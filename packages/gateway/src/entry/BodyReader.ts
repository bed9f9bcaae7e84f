/** Reads the bodies of requests, and refuses those that find no room before they are read. */
import type { Clock } from '@marigoldbank/base/clock';
import type { MemoryBudget } from '@marigoldbank/daemon/entry/MemoryBudget';
import { readBody } from '@marigoldbank/daemon/entry/readBody';
import type { PlanLimits, Route } from '@marigoldbank/routing/plan';
import { BODY_TIMEOUT_MS } from './caller-http-server.js';
import type { EntryState } from './EntryState.js';
import type { ErrorResponse } from './ErrorResponse.js';
import { bodyError } from './refusals.js';
import type { RequestHead } from './requestHead.js';
import type { Transaction } from './ResponseWriter.js';
import { UploadAdmission, type UploadRequest } from './UploadAdmission.js';

/** Deadline of requests that give none. The timeout of the route applies as well. */
export const DEFAULT_DEADLINE_MS = 60_000;

export interface BodyContext {
  readonly clock: Clock;
  readonly state: EntryState;
  readonly memory: MemoryBudget;
  /** Capacity of the link of this VM in Mbit/s, undefined if it is no bottleneck. */
  readonly linkMbps?: number | undefined;
}

/** Maximum time in ms from the head of a request to its final response. */
export function timeoutOf(head: RequestHead, route: Route): number {
  return Math.min(head.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
}

export class BodyReader {
  private readonly uploads: UploadAdmission;

  /** `limits` returns those of the plan in effect. */
  public constructor(
    private readonly ctx: BodyContext,
    private readonly limits: () => PlanLimits,
  ) {
    this.uploads = new UploadAdmission({ ...ctx, random: ctx.state.random });
  }

  /** Returns the body, an error response, or undefined if the caller has disconnected. */
  public async read(
    tx: Transaction,
    head: RequestHead,
    route: Route,
  ): Promise<Buffer | ErrorResponse | undefined> {
    const length = tx.req.headers['content-length'];
    if (Number(length ?? 0) > this.limits().maxBodyBytes) {
      return { kind: 'bodyTooLarge', verdict: 'notRun' };
    }
    const upload: UploadRequest = {
      route,
      bytes: length === undefined ? undefined : Number(length),
      remainingMs: timeoutOf(head, route),
      expectedMs: this.ctx.state.durationEstimateOf(route).expectedMs,
    };
    const refusal = this.uploads.refusalOf(upload);
    if (refusal !== undefined) return refusal;
    const transfer = this.uploads.begin(tx.req, upload);
    return this.readWhole(tx).finally(() => transfer.dispose());
  }

  private async readWhole(tx: Transaction): Promise<Buffer | ErrorResponse | undefined> {
    const { req, connection } = tx;
    const { maxBodyBytes, idleTimeoutMs } = this.limits();
    if (req.headers.expect !== undefined) tx.res.writeContinue();
    const result = await readBody(req, connection, this.ctx.clock, {
      maxBytes: maxBodyBytes,
      idleTimeoutMs,
      totalTimeoutMs: BODY_TIMEOUT_MS,
      memory: tx.memory,
    });
    return result.kind === 'read' ? result.body : bodyError(result.kind);
  }
}
