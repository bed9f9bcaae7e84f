/** Applies the messages of another hub to the state of this one. */
import type { HubRelay } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { decodeEvidenceBatch } from '../sync/evidence-batch.js';
import type { Evidence } from '../sync/EvidenceBuffer.js';
import type { EntryRegistry } from './EntryRegistry.js';
import type { EvidenceDistributor } from './EvidenceDistributor.js';
import type { HubPeers } from './HubPeers.js';
import type { HubTargets } from './HubTargets.js';
import type { LimitDistributor } from './LimitDistributor.js';
import type { PeerHub } from './PeerHub.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { SuspectDistributor } from './SuspectDistributor.js';
import { earningRequests } from '../sync/service-use.js';
import { usedOf } from '../sync/team-use.js';
import { toAnnouncement } from './targets-codec.js';
import type { TeamBudgets } from './TeamBudgets.js';
import type { TokenRequestHandler } from './TokenRequestHandler.js';

/** Parts of the hub that are updated. */
export interface RelayReceivers {
  readonly peers: HubPeers;
  readonly entries: EntryRegistry;
  readonly targets: HubTargets;
  readonly evidence: EvidenceDistributor;
  readonly limits: LimitDistributor;
  readonly suspects: SuspectDistributor;
  readonly retryBudgets: RetryBudgets;
  readonly teamBudgets: TeamBudgets;
  readonly tokenRequests: TokenRequestHandler;
}

export class RelayHandler {
  public constructor(private readonly parts: RelayReceivers) {}

  /** Applies a message that arrived at `now` (monotonic ms). */
  public handle(relay: HubRelay, peer: PeerHub, now: number): void {
    const { peers, targets, evidence, limits, suspects } = this.parts;
    const { retryBudgets, teamBudgets, tokenRequests } = this.parts;
    peers.noteMessage(peer, relay.sentAtMs, now);
    peers.noteReport(peer, relay, now);
    relay.hubs.forEach(({ address, dataCentre }) => peers.connect(address, dataCentre));
    if (relay.hello !== undefined) {
      Object.assign(peer, { takesTokenOrders: relay.takesTokenOrders });
    }
    this.applyEntries(relay, peer, now);
    relay.targets.forEach((target) => targets.register(toAnnouncement(target), now - target.ageMs));
    evidence.addFromHub(
      peer.address,
      [...relay.evidence, ...RelayHandler.evidenceOf(relay, peer)],
      now,
    );
    limits.addFromHub(relay.limits, now);
    suspects.addFromHub(relay.suspects, now);
    relay.uses.forEach((use) =>
      retryBudgets.add(use.service, earningRequests(use), use.repeats, now),
    );
    relay.teams.forEach((use) => teamBudgets.charge(use.team, usedOf(use), now));
    if (teamBudgets.isGranting) {
      teamBudgets.addHistories(relay.teamHistories, now);
      teamBudgets.addGranted(relay.teamGrants, now);
    }
    tokenRequests.answerHub(peer, relay.tokens, now);
    tokenRequests.deliverAnswers(relay.answers);
    tokenRequests.answerOrders(peer, relay.tokenOrders, now);
    tokenRequests.takeGrants(peer, relay.tokenGrants);
    if (relay.teamStates.length > 0) {
      teamBudgets.setLeaderModes(relay.teamStates, relay.budgetHolder);
    }
    if (relay.teams.length > 0) teamBudgets.publishModeChanges(now);
  }

  /** Evidence in numbers. Items of targets that the sender has not named are left out. */
  private static evidenceOf({ targetRefs, evidenceBatch }: HubRelay, peer: PeerHub): Evidence[] {
    targetRefs.forEach(({ ref, id }) => peer.refs.set(id, ref));
    if (evidenceBatch.length === 0) return [];
    return decodeEvidenceBatch(evidenceBatch).flatMap(({ ref, entryRef: _, ...counts }) => {
      const id = peer.refs.idOf(ref);
      return id === undefined ? [] : [{ id, ...counts }];
    });
  }

  private applyEntries(relay: HubRelay, peer: PeerHub, now: number): void {
    const { entries } = this.parts;
    // The first message of a stream names all entries. What was reported since the last stream ended is lost.
    if (relay.hello !== undefined) entries.removeHub(peer.address, now);
    relay.entries.forEach(({ identity, isReady, isGone }) => {
      if (identity === undefined) return;
      if (isGone) entries.remove(peer.address, identity.vm, now);
      else entries.set(peer.address, identity, isReady);
    });
  }
}
