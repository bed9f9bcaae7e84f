/** The other hubs known to this one, and the outgoing streams to them. */
import type { Client } from '@connectrpc/connect';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { HubRelay, SyncService } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { syncAddress, type GatewaySettings } from '../settings.js';
import type { Pace } from '../sync/BatchPace.js';
import { echoOf, trueSince } from '../sync/timeEcho.js';
import type { HubCandidate } from '../sync/HubCandidate.js';
import { TargetRefs } from '../sync/TargetRefs.js';
import type { ILogView } from './LogView.js';
import { isAlive, isLate, type PeerHub } from './PeerHub.js';
import { RelayLink, type HubRelayInit } from './RelayLink.js';

/** A hub without a message for this long does not count as reached; hubs send a message every 400 ms. */
const REACHABLE_TIMEOUT_MS = 1_000;

/**
 * Entries are not sent to a hub without a message for this long. They leave a frozen hub after 0.9 s, and would be sent to
 * others that froze at the same time.
 */
const LISTED_TIMEOUT_MS = 700;

export interface HubPeersContext {
  readonly clock: Clock;
  readonly settings: GatewaySettings;
  readonly log: ILogView;
  readonly logger: Logger;
  readonly pace: Pace;
  readonly clientOf: (address: string) => Client<typeof SyncService>;
  /** Number of entries that follow a hub, or this one, with those that wait for it. */
  readonly entriesOf: (address: string | undefined) => number;
  /** Whether the state of this hub was not confirmed recently. */
  readonly isLate: () => boolean;
  /** Full state for the start of a stream to a peer. */
  readonly snapshot: () => HubRelayInit;
  /** Requests in flight at a target from the entries connected to this hub. */
  readonly ownInFlight: (target: string) => number;
  /** Number of a target, undefined if it was removed. */
  readonly refOf: (target: string) => number | undefined;
  /** Whether outcomes at a target can reach the hubs of another data centre later than usual. */
  readonly canWait: (target: string, dataCentre: string) => boolean;
  /** Whether traffic to another data centre has a price. */
  readonly isPriced: () => boolean;
}

export class HubPeers implements IDisposable {
  public readonly ownAddress: string;

  private readonly peers = new Map<string, PeerHub>();

  private readonly linksByAddress = new Map<string, RelayLink>();

  public constructor(private readonly ctx: HubPeersContext) {
    this.ownAddress = syncAddress(ctx.settings, ctx.settings.ip);
  }

  public get all(): PeerHub[] {
    return [...this.peers.values()];
  }

  public get links(): RelayLink[] {
    return [...this.linksByAddress.values()];
  }

  /** Hubs from which a message arrived within the peer timeout. */
  public alive(now: number): PeerHub[] {
    return this.all.filter((peer) => isAlive(peer, now));
  }

  /** Whether another hub is known to be heard and not late. */
  public hasOneOnTime(now: number): boolean {
    return this.all.some(
      (peer) =>
        now - peer.lastMessageAt < REACHABLE_TIMEOUT_MS &&
        peer.report !== undefined &&
        !isLate(peer, now),
    );
  }

  /** The hubs as the log process of this VM names them to entries: frozen ones are left out sooner. */
  public listForEntries(now: number): HubCandidate[] {
    return this.addresses(now, LISTED_TIMEOUT_MS);
  }

  /** Addresses of this hub and of the hubs that are alive, which count as silent without a message for a time. */
  public addresses(now: number, silentAfterMs = REACHABLE_TIMEOUT_MS): HubCandidate[] {
    const { settings, entriesOf } = this.ctx;
    const isOwnStateLate = this.ctx.isLate();
    return [
      {
        address: this.ownAddress,
        dataCentre: settings.dataCentre,
        entries: entriesOf(undefined),
        isSilent: false,
        isLate: isOwnStateLate,
      },
      ...this.alive(now).map((peer) => ({
        address: peer.address,
        dataCentre: peer.dataCentre,
        entries: Math.max(entriesOf(peer.address), peer.report?.entries ?? 0),
        isSilent: now - peer.lastMessageAt >= silentAfterMs,
        isLate: isLate(peer, now),
      })),
    ];
  }

  /**
   * Whether messages of a majority of the voters arrive; this hub counts if it is a voter. The `vm` of a voter is its
   * IP address.
   */
  public reachesMajority(now: number): boolean {
    const { log, settings } = this.ctx;
    const reached = log.voters.filter((vm) => {
      const peer = this.peers.get(syncAddress(settings, vm));
      return (
        vm === settings.ip ||
        (peer !== undefined && now - peer.lastMessageAt < REACHABLE_TIMEOUT_MS)
      );
    });
    return reached.length > log.voters.length / 2;
  }

  /**
   * Share of the hubs whose messages arrive here, this hub included. The retry slack is multiplied by it, so that the
   * two sides of a network partition do not both grant the full slack for long.
   */
  public reachableShare(now: number): number {
    const reached = this.all.filter(
      ({ lastMessageAt }) => now - lastMessageAt < REACHABLE_TIMEOUT_MS,
    );
    return (reached.length + 1) / (this.peers.size + 1);
  }

  /** The leader, if it is another hub. */
  public get leader(): PeerHub | undefined {
    const { leader } = this.ctx.log;
    if (leader === undefined) return undefined;
    return this.peers.get(syncAddress(this.ctx.settings, leader));
  }

  public linkTo(peer: PeerHub): RelayLink | undefined {
    return this.linksByAddress.get(peer.address);
  }

  /** Notes a message of a hub, which it sent at `sentAtMs` of its own clock; 0 if it is of an older release. */
  public noteMessage(peer: PeerHub, sentAtMs: number, now: number): void {
    Object.assign(peer, { lastMessageAt: now });
    if (sentAtMs > 0) Object.assign(peer, { time: { sentAtMs, handledAt: now } });
    this.linkTo(peer)?.notePeerMessage();
  }

  /** Sends a message to all other hubs. */
  public send(message: HubRelayInit): void {
    this.links.forEach((link) => link.send(message));
  }

  /** Sends the known hubs to all of them, with the state of this one. */
  public sendHubs(now: number): void {
    const hubs = this.addresses(now);
    this.all.forEach((peer) => this.linkTo(peer)?.send({ hubs, hubsEcho: echoOf(peer.time, now) }));
  }

  /** Notes what a hub says about itself among the hubs that it knows. */
  public noteReport(peer: PeerHub, { hubs, hubsEcho }: HubRelay, now: number): void {
    const own = hubs.find(({ address }) => address === peer.address);
    const trueAt = trueSince(hubsEcho, now);
    if (own === undefined || trueAt === undefined) return;
    Object.assign(peer, { report: { isLate: own.isLate, entries: own.entries, trueAt } });
  }

  /** Connects to the hubs of the voters, so that a hub finds the others if all seeds are gone. */
  public connectToVoters(): void {
    const { log, settings } = this.ctx;
    log.voters.forEach((vm) => this.connect(syncAddress(settings, vm), ''));
  }

  /** Connects to a hub that is not known yet. */
  public connect(address: string, dataCentre: string): void {
    if (address === this.ownAddress || this.peers.has(address) || address === '') return;
    const peer: PeerHub = {
      address,
      dataCentre,
      lastMessageAt: -Infinity,
      time: undefined,
      report: undefined,
      takesTokenOrders: false,
      refs: new TargetRefs(),
    };
    this.peers.set(address, peer);
    const { clock, logger, pace, clientOf, snapshot, ownInFlight, refOf } = this.ctx;
    const isElsewhere = (): boolean =>
      peer.dataCentre !== '' && peer.dataCentre !== this.ctx.settings.dataCentre;
    const link = new RelayLink(address, clientOf(address), {
      clock,
      logger,
      pace,
      snapshot,
      ownInFlight,
      refOf,
      canWait: (target) => isElsewhere() && this.ctx.canWait(target, peer.dataCentre),
      isPriced: () => isElsewhere() && this.ctx.isPriced(),
    });
    this.linksByAddress.set(address, link);
    link.run().catch((err: unknown) => {
      logger.error('relay to another hub failed', { hub: address, error: String(err) });
    });
  }

  /** Returns the hub that has opened a stream to this one, and connects to it if it is new. */
  public open(address: string, dataCentre: string): PeerHub {
    this.connect(address, dataCentre);
    const peer = this.peers.get(address)!;
    peer.refs.clear();
    return Object.assign(peer, {
      dataCentre,
      time: undefined,
      report: undefined,
      takesTokenOrders: false,
    });
  }

  public dispose(): void {
    this.links.forEach((link) => link.dispose());
  }
}
