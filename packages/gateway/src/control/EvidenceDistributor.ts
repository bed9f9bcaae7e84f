/** Outcomes and load at targets: taken from entries and hubs, and passed on to those that have not seen them. */
import type { TargetEvidence } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { EntrySession } from './EntrySession.js';
import type { HubTargets } from './HubTargets.js';
import { LoadTable } from './LoadTable.js';
import type { RelayLink } from './RelayLink.js';

export interface DistributorContext {
  readonly targets: HubTargets;
  readonly sessions: () => readonly EntrySession[];
  readonly links: () => readonly RelayLink[];
  /** Addresses of the other hubs, which are sources as well as entries are. */
  readonly peerAddresses: () => readonly string[];
}

/** Load at one target, for the snapshot that begins a stream. */
interface BusyTarget {
  readonly id: string;
  readonly inFlight: number;
}

export class EvidenceDistributor {
  private readonly load = new LoadTable();

  public constructor(private readonly ctx: DistributorContext) {}

  /** Takes the report of an entry that follows this hub. */
  public fromEntry(vm: string, evidence: readonly TargetEvidence[], now: number): void {
    evidence.forEach((item) => {
      this.take(vm, item, now);
      this.ctx
        .links()
        .forEach((link) => link.addEvidence(item.id, item.succeeded, item.failed, item.suspect));
    });
  }

  /** Takes what another hub relays of its own entries. */
  public fromHub(address: string, evidence: readonly TargetEvidence[], now: number): void {
    evidence.forEach((item) => this.take(address, item, now));
  }

  /** Forgets the load of an entry that follows this hub no longer. */
  public forgetEntry(vm: string): void {
    this.load.removeSource(vm).forEach((id) => {
      this.tellEntries(vm, id, 0, 0, 0);
      this.ctx.links().forEach((link) => link.addEvidence(id, 0, 0, 0));
    });
  }

  /** Forgets the load of a hub that is silent. */
  public forgetHub(address: string): void {
    this.load.removeSource(address).forEach((id) => this.tellEntries(address, id, 0, 0, 0));
  }

  /** Requests in flight at a target from all entries but one. */
  public othersInFlight(vm: string, target: string): number {
    return this.load.total(target) - this.load.of(vm, target);
  }

  /** Requests in flight at a target from the entries of this hub. */
  public ownInFlight(target: string): number {
    const fromPeers = this.ctx
      .peerAddresses()
      .reduce((sum, address) => sum + this.load.of(address, target), 0);
    return this.load.total(target) - fromPeers;
  }

  public busyForEntry(vm: string): BusyTarget[] {
    return this.load.busyTargets().map((id) => ({ id, inFlight: this.othersInFlight(vm, id) }));
  }

  public busyForHub(): BusyTarget[] {
    return this.load
      .busyTargets()
      .map((id) => ({ id, inFlight: this.ownInFlight(id) }))
      .filter(({ inFlight }) => inFlight > 0);
  }

  private take(source: string, item: TargetEvidence, now: number): void {
    this.load.set(source, item.id, item.inFlight);
    this.ctx.targets.observe(item, now);
    this.tellEntries(source, item.id, item.succeeded, item.failed, item.suspect);
  }

  private tellEntries(
    source: string,
    id: string,
    succeeded: number,
    failed: number,
    suspect: number,
  ): void {
    this.ctx
      .sessions()
      .filter(({ identity }) => identity.vm !== source)
      .forEach((session) => session.addEvidence(id, succeeded, failed, suspect));
  }
}
