/** Makes the messages of a hub about its whole state: its status, and the snapshots at the start of streams. */
import type { Clock } from '@marigoldbank/base/clock';
import type { GatewaySettings } from '../settings.js';
import { toVersionField } from '../sync/plan-version.js';
import { OWN_HUB, type EntryRegistry } from './EntryRegistry.js';
import type { EntrySession, HubStatusInit, HubUpdateInit } from './EntrySession.js';
import type { EvidenceDistributor } from './EvidenceDistributor.js';
import { fieldsForEntry, fieldsForPeer, type HubExtension } from './HubExtension.js';
import type { HubFreshness } from './HubFreshness.js';
import type { HubPeers } from './HubPeers.js';
import type { HubTargets } from './HubTargets.js';
import type { ILogView } from './LogView.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import type { HubRelayInit } from './RelayLink.js';
import type { LimitDistributor } from './LimitDistributor.js';
import type { SuspectDistributor } from './SuspectDistributor.js';
import { TargetSnapshot } from './TargetSnapshot.js';
import type { TeamBudgets } from './TeamBudgets.js';

/** Upper limit of ages on the wire, also used for "never". */
const MAX_AGE_MS = 1_000_000;

/** Parts of the hub that the messages describe. */
export interface HubParts {
  readonly clock: Clock;
  readonly settings: GatewaySettings;
  readonly log: ILogView;
  readonly stateMachine: PlanStateMachine;
  readonly entries: EntryRegistry;
  readonly targets: HubTargets;
  readonly peers: HubPeers;
  readonly freshness: HubFreshness;
  readonly evidence: EvidenceDistributor;
  readonly teamBudgets: TeamBudgets;
  readonly limits: LimitDistributor;
  readonly suspects: SuspectDistributor;
  readonly extensions: readonly HubExtension[];
}

export class HubMessages {
  private readonly snapshot: TargetSnapshot;

  public constructor(private readonly parts: HubParts) {
    this.snapshot = new TargetSnapshot(parts);
  }

  /** Status for entries, whose ages refer to `now` (monotonic ms). */
  public status(now: number): HubStatusInit {
    const { entries, freshness, stateMachine } = this.parts;
    return {
      confirmedAgeMs: Math.round(Math.min(MAX_AGE_MS, freshness.confirmedAgeMs())),
      budgetHolder: this.parts.teamBudgets.holderNumber,
      budgetAgeMs: Math.round(Math.min(MAX_AGE_MS, this.budgetAgeMs(now))),
      entries: entries.expectedSize(now),
      isLeaderless: freshness.isLeaderless(now),
      isCutOff: freshness.isCutOff(now),
      isStarting: freshness.isStarting,
      planVersion: toVersionField(stateMachine.current?.plan.version),
    };
  }

  /** What is sent with each status. Entries are sent away by a hub that stops, or learns of no changes while another does. */
  public withStatus(now: number, isStopping: boolean): HubUpdateInit {
    const { freshness, peers } = this.parts;
    const isUseless = freshness.isWithoutLog && peers.hasOneOnTime(now);
    return { hubs: peers.addresses(now), isLeaving: isStopping || isUseless };
  }

  /** State for an entry that has connected, except the plan. */
  public forEntry(session: EntrySession): HubUpdateInit {
    const { clock, peers, teamBudgets, limits, suspects, extensions } = this.parts;
    return {
      ...fieldsForEntry(extensions, session.identity),
      entryRef: session.entryRef,
      hubs: peers.addresses(clock.now()),
      teams: teamBudgets.modesForEntry(),
      limits: limits.messages(clock.now()),
      suspects: suspects.forEntry(clock.now()),
      ...(session.isOlderRelease
        ? this.plainSnapshot(session.identity.vm)
        : { snapshot: this.snapshot.encode() }),
    };
  }

  /** State for another hub to which a stream has been opened. */
  public forPeer(): HubRelayInit {
    const { clock, settings, entries, peers, targets, evidence } = this.parts;
    const { teamBudgets, limits, suspects, extensions } = this.parts;
    return {
      ...fieldsForPeer(extensions),
      hello: { address: peers.ownAddress, dataCentre: settings.dataCentre },
      takesTokenOrders: true,
      entries: entries.entriesOf(OWN_HUB).map(({ identity, isReady }) => ({ identity, isReady })),
      targets: targets.describeAll(),
      evidence: evidence.loadForHub(),
      teamStates: teamBudgets.modesForHub(),
      budgetHolder: teamBudgets.holderNumber,
      hubs: peers.addresses(clock.now()),
      limits: limits.messages(clock.now()),
      suspects: suspects.forPeer(clock.now()),
    };
  }

  private plainSnapshot(vm: string): HubUpdateInit {
    const { clock, targets, evidence } = this.parts;
    return {
      targets: targets.describeAll(),
      beliefs: targets.beliefs(clock.now()),
      evidence: evidence.loadForEntry(vm),
    };
  }

  /** Age of the newest state of the hub that grants the tokens of team budgets, 0 if this hub grants them. */
  private budgetAgeMs(now: number): number {
    const { teamBudgets, peers, log } = this.parts;
    // A leader that has lost its majority steps down within an election timeout.
    if (teamBudgets.isGranting) return 0;
    const { leader } = peers;
    if (leader === undefined) return Infinity;
    return now - Math.min(leader.report?.trueAt ?? leader.lastMessageAt, log.leaderSeenAt);
  }
}
