/** Data centres whose targets get no requests by order of the operator, as known to an entry. */
import { Emitter } from '@marigoldbank/base/events';

/**
 * Time for which an order counts that is stored at a member of the log and not known to be committed. Entries that get no
 * confirmation ask again several times within it.
 */
export const STORED_ORDER_MS = 3_000;

/** What a hub or a control VM says about a data centre. */
export interface EvacuationNotice {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
  /** Index of the order in the replicated log, 0 if it is not known to be committed. */
  readonly index: number;
}

export interface EvacuationChange {
  readonly dataCentre: string;
  readonly isEvacuated: boolean;
  /** Monotonic ms at which the entry learnt of it. */
  readonly at: number;
}

export class EvacuatedDataCentres {
  private readonly changeEmitter = new Emitter<EvacuationChange>();

  private readonly endEmitter = new Emitter<EvacuationChange>();

  /** Fires when a newer order is known, except for ends that the entry learns with its first notices. */
  public readonly onDidChange = this.changeEmitter.event;

  /** Fires when an evacuation has ended since the last notices, also if the entry did not know of its start. */
  public readonly onDidEnd = this.endEmitter.event;

  /** Index of the newest known order, by data centre. */
  private readonly indexes = new Map<string, number>();

  private readonly evacuated = new Set<string>();

  /** Monotonic ms until which stored orders count, by data centre. */
  private readonly storedUntil = new Map<string, number>();

  private hasNotices = false;

  /** Whether the targets of a data centre may get no requests. */
  public isEvacuated(dataCentre: string, now: number): boolean {
    if (this.evacuated.has(dataCentre)) return true;
    if (this.storedUntil.size === 0) return false;
    return (this.storedUntil.get(dataCentre) ?? -Infinity) > now;
  }

  /** Number of data centres that are evacuated by orders that are committed. */
  public get count(): number {
    return this.evacuated.size;
  }

  /** Takes all notices of a hub or a control VM. An empty list says that there were no evacuations. */
  public learn(notices: readonly EvacuationNotice[], now: number): void {
    const isFirst = !this.hasNotices;
    this.hasNotices = true;
    notices
      .filter(({ index, isEvacuated }) => index === 0 && isEvacuated)
      .forEach(({ dataCentre }) => this.storedUntil.set(dataCentre, now + STORED_ORDER_MS));
    notices
      .filter(({ dataCentre, index }) => index > (this.indexes.get(dataCentre) ?? 0))
      .forEach((notice) => this.take(notice, isFirst, now));
  }

  private take(
    { dataCentre, isEvacuated, index }: EvacuationNotice,
    isFirst: boolean,
    now: number,
  ): void {
    this.indexes.set(dataCentre, index);
    this.storedUntil.delete(dataCentre);
    if (isEvacuated) this.evacuated.add(dataCentre);
    else this.evacuated.delete(dataCentre);
    if (isFirst && !isEvacuated) return;
    const change: EvacuationChange = { dataCentre, isEvacuated, at: now };
    this.changeEmitter.fire(change);
    if (!isEvacuated) this.endEmitter.fire(change);
  }
}
