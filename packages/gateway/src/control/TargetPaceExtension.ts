/** Learns the paces of targets from the reports of entries, and tells entries and other hubs of changes. */
import type { EntryReport, HubRelay } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { PaceChanges, isUnusual } from '@marigoldbank/routing/load/PaceChanges';
import { TargetPaces, type PaceStatement } from '@marigoldbank/routing/load/TargetPaces';
import { unusualPaces } from '../metrics.js';
import { fromHubPace, toPaceMessage } from '../sync/pace-codec.js';
import type { EntryIdentity } from './EntryRegistry.js';
import {
  HubExtension,
  type HubExtensionContext,
  type RelayFields,
  type UpdateFields,
} from './HubExtension.js';
import type { PeerHub } from './PeerHub.js';

const PERMILLE = 1_000;

type Evidence = EntryReport['evidence'][number];

function unusualOnes(current: readonly PaceStatement[]): PaceStatement[] {
  return current.filter(({ pace }) => pace !== undefined && isUnusual(pace));
}

export class TargetPaceExtension extends HubExtension {
  private readonly toEntries = new PaceChanges();

  private readonly toHubs = new PaceChanges();

  public constructor(
    ctx: HubExtensionContext,
    /** Other parts of the hub read it. */
    public readonly paces = new TargetPaces(),
  ) {
    super(ctx);
  }

  public override forEntry(): UpdateFields {
    return { paces: unusualOnes(this.current()).map(toPaceMessage) };
  }

  public override forPeer(): RelayFields {
    return { paces: unusualOnes(this.currentOwn()).map(toPaceMessage) };
  }

  public override handleReport(
    _identity: EntryIdentity,
    { evidence }: EntryReport,
    now: number,
  ): void {
    evidence
      .filter(({ durationPermille, rejected }) => durationPermille > 0 || rejected > 0)
      .forEach((item) => this.observe(item, now));
  }

  public override handleRelay(relay: HubRelay, peer: PeerHub, now: number): void {
    relay.paces.forEach((pace) => this.paces.note(peer.address, fromHubPace(pace), now));
  }

  public override targetRemoved(id: string): void {
    this.paces.remove(id);
    this.toEntries.remove(id);
    this.toHubs.remove(id);
  }

  public override tick(now: number): void {
    this.paces.expire(now);
    const own = this.toHubs.take(this.currentOwn(), now);
    if (own.length > 0) this.ctx.sendToHubs({ paces: own.map(toPaceMessage) });
    const all = this.toEntries.take(this.current(), now);
    if (all.length > 0) this.ctx.sendToEntries({ paces: all.map(toPaceMessage) });
    unusualPaces.set(this.toEntries.unusualCount);
  }

  private observe(item: Evidence, now: number): void {
    const { id, succeeded, suspect, rejected, durationPermille } = item;
    const target = this.ctx.targets.describe(id);
    if (target === undefined) return;
    const { service = '', slots = 1 } = target;
    // Slow answers are reported as suspect. Rejections are as well, so that the rest has durations.
    const answered = durationPermille === 0 ? 0 : Math.max(1, succeeded + suspect - rejected);
    this.paces.observe(
      { id, born: this.ctx.targets.bornOf(id), service, slots },
      {
        answered,
        durations: durationPermille / PERMILLE,
        rejected,
        inFlight: this.ctx.inFlight(id),
      },
      now,
    );
  }

  /** Paces by all that is known, of the targets that are known or were told to be unusual. */
  private current(): PaceStatement[] {
    const now = this.ctx.clock.now();
    const { known } = this.paces;
    return [...new Set([...known, ...this.toEntries.ids])].map((id) => {
      const born = this.ctx.targets.bornOf(id);
      const pace = known.has(id) ? this.paces.paceOf({ id, born }, now) : undefined;
      return { id, born, pace, outcomes: Infinity };
    });
  }

  /** Paces by the reports of the entries of this hub. */
  private currentOwn(): PaceStatement[] {
    const now = this.ctx.clock.now();
    return [...new Set([...this.paces.known, ...this.toHubs.ids])].map((id) => {
      const born = this.ctx.targets.bornOf(id);
      const { pace, outcomes = 0 } = this.paces.learntPace({ id, born }, now) ?? {};
      return { id, born, pace, outcomes };
    });
  }
}
