/**
 * Passes on which requests were lost at targets: all losses to the other hubs, so that each counts those of the whole
 * fleet, and to entries only requests that were lost more than once, or were and have succeeded since.
 */
import type { SuspectRequest } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { PoisonTable, type SuspectStatement } from '@marigoldbank/routing/PoisonTable';
import {
  toSuspectMessage,
  toSuspectStatement,
  type SuspectRequestInit,
} from '../sync/suspect-codec.js';

export interface SuspectReceiver {
  /** Times are monotonic ms. Ages are computed when the message is sent, which a busy hub does late. */
  setSuspect(suspect: SuspectStatement): void;
}

export interface SuspectContext {
  readonly entries: () => Iterable<SuspectReceiver>;
  readonly hubs: () => Iterable<SuspectReceiver>;
}

export class SuspectDistributor {
  private readonly table = new PoisonTable();

  public constructor(private readonly ctx: SuspectContext) {}

  /** Adds what entries of this hub report. */
  public addFromEntry(suspects: readonly SuspectRequest[], now: number): void {
    this.merge(suspects, now).forEach((suspect) =>
      [...this.ctx.hubs()].forEach((hub) => hub.setSuspect(suspect)),
    );
  }

  /** Adds what another hub passes on. */
  public addFromHub(suspects: readonly SuspectRequest[], now: number): void {
    this.merge(suspects, now);
  }

  /** All requests that were lost, for the start of a stream to another hub. */
  public forPeer(now: number): SuspectRequestInit[] {
    return this.table.statements().map((statement) => toSuspectMessage(statement, now));
  }

  /** Requests that were lost more than once, for the start of a stream to an entry. */
  public forEntry(now: number): SuspectRequestInit[] {
    return this.table
      .statements()
      .filter(({ fingerprint }) => this.table.isSuspected(fingerprint))
      .map((statement) => toSuspectMessage(statement, now));
  }

  /** Merges reports, passes what is news on to the entries, and returns it. */
  private merge(suspects: readonly SuspectRequest[], now: number): SuspectStatement[] {
    return suspects
      .map((suspect) => toSuspectStatement(suspect, now))
      .flatMap((statement) => {
        const { fingerprint } = statement;
        const wasSuspected = this.table.isSuspected(fingerprint);
        if (!this.table.merge(statement, now)) return [];
        const news = this.table.statementOf(fingerprint)!;
        if (wasSuspected || this.table.isSuspected(fingerprint)) {
          [...this.ctx.entries()].forEach((entry) => entry.setSuspect(news));
        }
        return [news];
      });
  }
}
