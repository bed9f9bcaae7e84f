/** A part of a hub with state and messages of its own. The hub calls it for each report, relay and stream. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { EntryReport, HubRelay } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import type { GatewaySettings } from '../settings.js';
import type { EntryIdentity, EntryRegistry } from './EntryRegistry.js';
import type { HubUpdateInit } from './EntrySession.js';
import type { HubTargets } from './HubTargets.js';
import type { PeerHub } from './PeerHub.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import type { HubRelayInit } from './RelayLink.js';

/** What an extension may read of its hub, and how it sends. Times are monotonic ms. */
export interface HubExtensionContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly settings: GatewaySettings;
  readonly stateMachine: PlanStateMachine;
  readonly entries: EntryRegistry;
  readonly targets: HubTargets;
  /** Requests of all entries in flight at a target. */
  readonly inFlight: (target: string) => number;
  /** Share of the hubs whose messages arrive here, this hub included. */
  readonly reachableShare: (now: number) => number;
  /** Sends an update to the entries of this hub, or to those of one data centre. */
  readonly sendToEntries: (update: HubUpdateInit, dataCentre?: string) => void;
  readonly sendToHubs: (relay: HubRelayInit) => void;
}

/** Fields of a message, as an extension adds them. */
export type UpdateFields = Exclude<HubUpdateInit, { readonly $typeName: string }>;
export type RelayFields = Exclude<HubRelayInit, { readonly $typeName: string }>;

export abstract class HubExtension {
  public constructor(protected readonly ctx: HubExtensionContext) {}

  /** Whether traffic to other data centres has a price, so that counts are sent there less often. */
  public isCrossingPriced?(): boolean;

  /** Whether outcomes at a target can reach the hubs of another data centre later than usual. */
  public canWait?(target: string, dataCentre: string): boolean;

  /** State for an entry that has connected. */
  public forEntry?(identity: EntryIdentity): UpdateFields;

  /** State for another hub to which a stream has been opened. */
  public forPeer?(): RelayFields;

  /** Processes a report of an entry of this hub. */
  public handleReport?(identity: EntryIdentity, report: EntryReport, now: number): void;

  /** Processes a message of another hub. */
  public handleRelay?(relay: HubRelay, peer: PeerHub, now: number): void;

  /** Called when a plan has been committed. */
  public planChanged?(plan: RoutingPlan): void;

  /** Called when a target was removed. */
  public targetRemoved?(id: string): void;

  /** Called every 200 ms. */
  public tick?(now: number): void;
}

/** What all extensions add to the first update of an entry. */
export function fieldsForEntry(
  extensions: readonly HubExtension[],
  identity: EntryIdentity,
): UpdateFields {
  return extensions.reduce<UpdateFields>(
    (all, part) => ({ ...all, ...part.forEntry?.(identity) }),
    {},
  );
}

/** What all extensions add to the first message for another hub. */
export function fieldsForPeer(extensions: readonly HubExtension[]): RelayFields {
  return extensions.reduce<RelayFields>((all, part) => ({ ...all, ...part.forPeer?.() }), {});
}
