/** Passes on what targets say about their limits: from an entry to all entries and hubs, from a hub to the own entries. */
import type { TargetLimit } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { LimitTable } from '@marigoldbank/routing/LimitTable';
import { toLimitMessage, toLimitStatement, type TargetLimitInit } from '../sync/limit-codec.js';

export interface LimitReceiver {
  setLimit(limit: TargetLimitInit): void;
}

export interface LimitContext {
  readonly isKnownTarget: (id: string) => boolean;
  readonly entries: () => Iterable<LimitReceiver>;
  readonly hubs: () => Iterable<LimitReceiver>;
}

export class LimitDistributor {
  private readonly table = new LimitTable();

  public constructor(private readonly ctx: LimitContext) {}

  /** Adds what entries of this hub report. */
  public addFromEntry(limits: readonly TargetLimit[], now: number): void {
    this.merge(limits, now).forEach((limit) => {
      [...this.ctx.entries(), ...this.ctx.hubs()].forEach((receiver) => receiver.setLimit(limit));
    });
  }

  /** Adds what another hub passes on. */
  public addFromHub(limits: readonly TargetLimit[], now: number): void {
    this.merge(limits, now).forEach((limit) => {
      [...this.ctx.entries()].forEach((receiver) => receiver.setLimit(limit));
    });
  }

  /** Limits in force, for the start of a stream. */
  public messages(now: number): TargetLimitInit[] {
    return this.table.limits().map(([id, statement]) => toLimitMessage(id, statement, now));
  }

  public remove(target: string): void {
    this.table.remove(target);
  }

  /** Returns the limits that are news. */
  private merge(limits: readonly TargetLimit[], now: number): TargetLimitInit[] {
    return limits
      .filter(({ id }) => this.ctx.isKnownTarget(id))
      .map((limit) => ({ id: limit.id, statement: toLimitStatement(limit, now) }))
      .filter(({ id, statement }) => this.table.merge(id, statement))
      .map(({ id, statement }) => toLimitMessage(id, statement, now));
  }
}
