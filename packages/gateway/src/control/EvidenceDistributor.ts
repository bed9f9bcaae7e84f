/**
 * Collects request outcomes and load per target. Those from an entry of this hub are forwarded to its other entries and
 * to all other hubs, those from another hub only to the entries of this one.
 */
import type { Evidence } from '../sync/EvidenceBuffer.js';
import type { EvidenceFeed } from './EvidenceFeed.js';
import type { HubTargets } from './HubTargets.js';
import { LoadTable } from './LoadTable.js';
import type { RelayLink } from './RelayLink.js';

export interface DistributorContext {
  readonly targets: HubTargets;
  readonly feed: Pick<EvidenceFeed, 'add'>;
  /** Number of an entry of this hub in the feed, 0 for another hub. */
  readonly entryRefOf: (source: string) => number;
  readonly links: () => readonly RelayLink[];
  /** Addresses of the other hubs, which are sources of evidence like entries. */
  readonly peerAddresses: () => readonly string[];
}

/** Requests in flight at one target, for the snapshot at the start of a stream. */
interface TargetLoad {
  readonly id: string;
  readonly inFlight: number;
}

export class EvidenceDistributor {
  private readonly loadTable = new LoadTable();

  public constructor(private readonly ctx: DistributorContext) {}

  /** Adds the report of an entry that is connected to this hub. */
  public addFromEntry(vm: string, evidence: readonly Evidence[], now: number): void {
    evidence.forEach((item) => {
      this.add(vm, item, now);
      this.ctx
        .links()
        .forEach((link) => link.addEvidence(item.id, item.succeeded, item.failed, item.suspect));
    });
  }

  /** Adds evidence that another hub relays from its entries. */
  public addFromHub(address: string, evidence: readonly Evidence[], now: number): void {
    evidence.forEach((item) => this.add(address, item, now));
  }

  /** Removes the load of an entry that has disconnected from this hub. */
  public removeEntry(vm: string): void {
    this.loadTable.removeSource(vm).forEach((id) => {
      this.ctx.feed.add(0, id, 0, 0, 0);
      this.ctx.links().forEach((link) => link.addEvidence(id, 0, 0, 0));
    });
  }

  /** Removes the load of a hub that has timed out. */
  public removeHub(address: string): void {
    this.loadTable.removeSource(address).forEach((id) => this.ctx.feed.add(0, id, 0, 0, 0));
  }

  /** Requests in flight at a target from all entries. */
  public inFlight(target: string): number {
    return this.loadTable.total(target);
  }

  /** Requests in flight at a target from all entries but one. */
  public othersInFlight(vm: string, target: string): number {
    return this.loadTable.total(target) - this.loadTable.get(vm, target);
  }

  /** Requests in flight at a target from the entries connected to this hub. */
  public ownInFlight(target: string): number {
    const fromPeers = this.ctx
      .peerAddresses()
      .reduce((sum, address) => sum + this.loadTable.get(address, target), 0);
    return this.loadTable.total(target) - fromPeers;
  }

  /** Requests of all entries in flight, by target. */
  public load(): TargetLoad[] {
    return this.loadTable.busyTargets().map((id) => ({ id, inFlight: this.inFlight(id) }));
  }

  public loadForEntry(vm: string): TargetLoad[] {
    return this.loadTable
      .busyTargets()
      .map((id) => ({ id, inFlight: this.othersInFlight(vm, id) }));
  }

  public loadForHub(): TargetLoad[] {
    return this.loadTable
      .busyTargets()
      .map((id) => ({ id, inFlight: this.ownInFlight(id) }))
      .filter(({ inFlight }) => inFlight > 0);
  }

  private add(source: string, item: Evidence, now: number): void {
    this.loadTable.set(source, item.id, item.inFlight);
    this.ctx.targets.observe(item, now);
    const { id, succeeded, failed, suspect } = item;
    this.ctx.feed.add(this.ctx.entryRefOf(source), id, succeeded, failed, suspect);
  }
}
