/**
 * State that control VMs share with entries and with each other: targets, outcomes, load, budgets, entries.
 * Each control VM runs a hub, which serves the entries connected to it and relays their reports to all other hubs.
 */
import { setPeriodic } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import type { EntryReport, HubRelay } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { Announcement } from '../announcement.js';
import { ipOf, retryBudgetLimits, syncAddress } from '../settings.js';
import { toVersion } from '../sync/plan-version.js';
import { earningRequests } from '../sync/service-use.js';
import { AdvertisedEntries } from './AdvertisedEntries.js';
import { RelayHandler } from './RelayHandler.js';
import { RetryBudgets } from './RetryBudgets.js';
import { EntrySession, type HubUpdateInit } from './EntrySession.js';
import type { EntryStream } from './EntryStream.js';
import type { HubContext } from './HubContext.js';
import type { HubExtension } from './HubExtension.js';
import { createHubExtensions } from './hub-extensions.js';
import { HubMessages } from './HubMessages.js';
import { EvidenceFeed } from './EvidenceFeed.js';
import { EvidenceDistributor } from './EvidenceDistributor.js';
import { EntryRegistry, OWN_HUB, type EntryIdentity } from './EntryRegistry.js';
import type { CommittedPlan } from './CommittedPlan.js';
import { HubPeers } from './HubPeers.js';
import { HubFreshness } from './HubFreshness.js';
import { HubTargets } from './HubTargets.js';
import { isAlive, type PeerHub } from './PeerHub.js';
import { LimitDistributor } from './LimitDistributor.js';
import { PlanUpdates } from './PlanUpdates.js';
import { StreamAdmission } from './StreamAdmission.js';
import { SuspectDistributor } from './SuspectDistributor.js';
import { createTeamBudgets } from './createTeamBudgets.js';
import type { TeamBudgets } from './TeamBudgets.js';
import { TokenRequestHandler } from './TokenRequestHandler.js';

const TICK_MS = 200;

/** Interval of checks for the first confirmation: until then, entries without a plan cannot serve. */
const STARTUP_CHECK_MS = 40;

/** Entries are sent a status, and hubs the addresses of the known hubs, every this many ticks. */
const TICKS_PER_STATUS = 2;

/** An entry that sends no report for this long is disconnected. */
const ENTRY_TIMEOUT_MS = 3_000;

export class Hub extends DisposableStore {
  public readonly entries = new EntryRegistry();

  public readonly targets: HubTargets;

  public readonly peers: HubPeers;

  private readonly admission: StreamAdmission;

  private readonly sessions = new Map<string, EntrySession>();

  private readonly freshness: HubFreshness;

  private readonly evidence: EvidenceDistributor;

  private readonly limits: LimitDistributor;

  private readonly suspects: SuspectDistributor;

  private readonly plans: PlanUpdates;

  private readonly retryBudgets: RetryBudgets;

  private readonly teamBudgets: TeamBudgets;

  private readonly tokenRequests: TokenRequestHandler;

  private readonly messages: HubMessages;

  private readonly relays: RelayHandler;

  private readonly advertised = new AdvertisedEntries(this.entries);

  private readonly extensions: readonly HubExtension[];

  private lastEntryRef = 0;

  private ticks = 0;

  private isLeaving = false;

  public constructor(private readonly ctx: HubContext) {
    super();
    const { settings, clock, stateMachine } = ctx;
    this.retryBudgets = new RetryBudgets(
      retryBudgetLimits(settings, () => stateMachine.current?.plan),
    );
    this.peers = this.add(
      new HubPeers({
        ...ctx,
        entriesOf: (address) =>
          this.entries.countOf(address ?? OWN_HUB) +
          (address === undefined ? this.admission.waitingCount : 0),
        isLate: () => this.freshness.isLate,
        snapshot: () => this.messages.forPeer(),
        ownInFlight: (target) => this.evidence.ownInFlight(target),
        refOf: (target) => this.targets.refs.refOf(target),
        canWait: (target, dataCentre) =>
          this.extensions.some((extension) => extension.canWait?.(target, dataCentre) === true),
        isPriced: () =>
          this.extensions.some((extension) => extension.isCrossingPriced?.() === true),
      }),
    );
    this.freshness = new HubFreshness({
      ...ctx,
      reachesMajority: (now) => this.peers.reachesMajority(now),
      hasOneOnTime: (now) => this.peers.hasOneOnTime(now),
    });
    this.admission = new StreamAdmission({
      clock,
      isLate: () => this.freshness.isLate,
      hubs: () => this.peers.addresses(clock.now()),
      openSession: (identity, hello) => this.openSession(identity, hello),
    });
    this.teamBudgets = createTeamBudgets(ctx, {
      entries: this.entries,
      peers: this.peers,
      sessions: this.sessions,
    });
    this.tokenRequests = new TokenRequestHandler({
      clock,
      teamBudgets: this.teamBudgets,
      isLeader: () => ctx.log.isLeader,
      leader: () => this.peers.leader,
      linkTo: (peer) => this.peers.linkTo(peer),
      sessionOf: (vm) => this.sessions.get(vm),
    });
    this.add(stateMachine.onDidChangePlan(() => this.planChanged()));
    this.plans = new PlanUpdates(stateMachine, ctx.logger);
    this.targets = new HubTargets(ctx);
    const feed = this.add(
      new EvidenceFeed({
        clock,
        pace: ctx.pace,
        refOf: (target) => this.targets.refs.refOf(target),
        inFlight: (target) => this.evidence.inFlight(target),
        send: (evidenceBatch) =>
          this.sessions.forEach((session) => session.sendEvidence(evidenceBatch)),
      }),
    );
    this.evidence = new EvidenceDistributor({
      targets: this.targets,
      feed,
      entryRefOf: (source) => this.sessions.get(source)?.entryRef ?? 0,
      links: () => this.peers.links,
      peerAddresses: () => this.peers.all.map(({ address }) => address),
    });
    this.limits = new LimitDistributor({
      isKnownTarget: (id) => this.targets.refs.refOf(id) !== undefined,
      entries: () => this.sessions.values(),
      hubs: () => this.peers.links,
    });
    this.suspects = new SuspectDistributor({
      entries: () => this.sessions.values(),
      hubs: () => this.peers.links,
    });
    this.extensions = createHubExtensions({
      ...ctx,
      entries: this.entries,
      targets: this.targets,
      inFlight: (target) => this.evidence.inFlight(target),
      reachableShare: (now) => this.peers.reachableShare(now),
      sendToEntries: (update, dataCentre) => this.sendToEntries(update, dataCentre),
      sendToHubs: (relay) => this.peers.send(relay),
    });
    const { entries, targets, peers, evidence, teamBudgets, limits, suspects } = this;
    const parts = { entries, targets, peers, evidence, teamBudgets, limits, suspects };
    const { freshness, extensions, retryBudgets, tokenRequests } = this;
    this.messages = new HubMessages({ ...ctx, ...parts, freshness, extensions });
    this.relays = new RelayHandler({ ...parts, retryBudgets, tokenRequests });
    this.add(stateMachine.onDidMarkLeaving((id) => this.targets.markLeaving(id)));
    this.add(
      this.targets.onDidChange((target) =>
        this.sessions.forEach((session) => session.setTarget(target)),
      ),
    );
    this.add(
      this.targets.onDidRemove((id) => {
        this.limits.remove(id);
        this.extensions.forEach((extension) => extension.targetRemoved?.(id));
        this.sessions.forEach((session) => session.removeTarget(id));
      }),
    );
    this.add(setPeriodic(clock, () => this.tick(), TICK_MS));
    const startup = this.add(
      setPeriodic(clock, () => this.checkFirstConfirmation(startup), STARTUP_CHECK_MS),
    );
    this.setSeeds(settings.seeds);
    if (stateMachine.current !== undefined) this.planChanged();
  }

  /** Milliseconds since a majority of the voters confirmed the replicated state of this hub. */
  public confirmedAgeMs(): number {
    return this.freshness.confirmedAgeMs();
  }

  /** Connects to the hubs of all seeds that are not known yet. */
  public setSeeds(seeds: readonly string[]): void {
    seeds.forEach((seed) => this.peers.connect(syncAddress(this.ctx.settings, ipOf(seed)), ''));
  }

  /** Addresses of entries for a caller in a data centre. */
  public addressesFor(dataCentre: string): string[] {
    return this.advertised.addressesFor(dataCentre, this.ctx.clock.now());
  }

  /** Registers an announcement that this VM received at `receivedAt` (monotonic ms), and relays it to other hubs. */
  public announce(announcement: Announcement, receivedAt: number): void {
    if (!this.targets.register(announcement, receivedAt)) return;
    const target = this.targets.describe(announcement.id);
    if (target !== undefined) this.peers.links.forEach((link) => link.setTarget(target));
  }

  /** Returns the stream of an entry that sent its first report, or undefined if it is refused. */
  public connect(identity: EntryIdentity, hello: EntryReport): EntryStream | undefined {
    return this.admission.request(identity, hello);
  }

  /** Ends the stream of an entry. */
  public disconnect(stream: EntryStream): void {
    this.admission.remove(stream);
    if (stream.session !== undefined) this.closeSession(stream.session);
  }

  /** Processes a report of an entry that is connected to this hub. */
  public handleReport(session: EntrySession, report: EntryReport): void {
    const { identity } = session;
    const now = this.ctx.clock.now();
    session.noteReport(now, report.sentAtMs);
    if (report.hello === undefined) this.admission.noteAnswer(session);
    if (this.sessions.get(identity.vm) !== session) return;
    this.updateReadiness(identity, report.isReady);
    this.evidence.addFromEntry(identity.vm, report.evidence, now);
    this.limits.addFromEntry(report.limits, now);
    this.suspects.addFromEntry(report.suspects, now);
    this.extensions.forEach((extension) => extension.handleReport?.(identity, report, now));
    report.uses.forEach((use) => {
      this.retryBudgets.add(use.service, earningRequests(use), use.repeats, now);
      this.peers.links.forEach((link) => link.addUse(use));
    });
    this.teamBudgets.addHistories(report.teamHistories, now);
    this.tokenRequests.chargeUses(report.teams, now);
    this.tokenRequests.answerEntry(identity.vm, report.tokens, now);
  }

  /** Processes a message of another hub. */
  public handleRelay(relay: HubRelay, peer: PeerHub): void {
    const now = this.ctx.clock.now();
    this.relays.handle(relay, peer, now);
    this.extensions.forEach((extension) => extension.handleRelay?.(relay, peer, now));
  }

  /** Tells the entries to connect to other hubs. */
  public leave(): void {
    this.isLeaving = true;
    this.admission.stop();
    this.sessions.forEach((session) => session.send({ isLeaving: true }));
  }

  public override dispose(): void {
    super.dispose();
    this.admission.stop();
    this.tokenRequests.dispose();
    this.sessions.forEach((session) => session.dispose());
  }

  /** Opens the session of an entry, which starts with a snapshot. */
  private openSession(identity: EntryIdentity, report: EntryReport): EntrySession {
    const { sentAtMs, entryCount, planVersion } = report;
    const { clock, stateMachine } = this.ctx;
    const heldVersion = toVersion(planVersion);
    this.sessions.get(identity.vm)?.dispose();
    const source = {
      clock,
      currentPlan: () => (this.freshness.maySendPlan ? stateMachine.current : undefined),
      advertised: () => this.advertised.current,
      encodeChanges: (from: CommittedPlan | undefined, to: CommittedPlan) =>
        this.plans.encode(from, to, identity.vm, heldVersion),
    };
    this.entries.noteReportedCount(entryCount, clock.now());
    this.lastEntryRef += 1;
    const heldPlan = this.plans.planOf(heldVersion);
    const session = new EntrySession(identity, this.lastEntryRef, source, heldVersion, heldPlan);
    this.sessions.set(identity.vm, session);
    session.noteReport(clock.now(), sentAtMs);
    session.sendStatus(this.messages.status(clock.now()), {
      ...this.messages.forEntry(session),
      isLeaving: this.isLeaving,
    });
    session.planChanged();
    this.ctx.logger.info('entry connected', { entry: identity.vm });
    this.handleReport(session, report);
    return session;
  }

  private sendToEntries(update: HubUpdateInit, dataCentre?: string): void {
    [...this.sessions.values()]
      .filter(({ identity }) => dataCentre === undefined || identity.dataCentre === dataCentre)
      .forEach((session) => session.send(update));
  }

  private closeSession(session: EntrySession): void {
    session.dispose();
    const { vm } = session.identity;
    if (this.sessions.get(vm) !== session) return;
    this.sessions.delete(vm);
    this.entries.remove(OWN_HUB, vm, this.ctx.clock.now());
    this.peers.send({ entries: [{ identity: session.identity, isGone: true }] });
    this.evidence.removeEntry(vm);
    this.ctx.logger.info('entry disconnected', { entry: vm });
  }

  private updateReadiness(identity: EntryIdentity, isReady: boolean): void {
    if (this.entries.readinessOf(OWN_HUB, identity.vm) === isReady) return;
    this.entries.set(OWN_HUB, identity, isReady);
    this.ctx.logger.info('entry readiness changed', { entry: identity.vm, isReady });
    this.peers.send({ entries: [{ identity, isReady }] });
  }

  private planChanged(): void {
    const { stateMachine, clock, logger } = this.ctx;
    const { plan } = stateMachine.current!;
    logger.info('plan in force', { version: plan.version, routes: plan.routes.length });
    this.teamBudgets.setTeams(plan.teams, clock.now());
    this.extensions.forEach((extension) => extension.planChanged?.(plan));
    this.sessions.forEach((session) => session.planChanged());
  }

  private tick(): void {
    const now = this.ctx.clock.now();
    this.freshness.update();
    this.teamBudgets.tick(now);
    if (this.advertised.update(now)) this.sessions.forEach((s) => s.advertisedChanged());
    this.targets.expire(now);
    this.dropUnresponsive(now);
    this.admission.tick(now);
    this.sendRetryUses(now);
    this.extensions.forEach((extension) => extension.tick?.(now));
    this.ticks += 1;
    if (this.ticks % TICKS_PER_STATUS !== 0) return;
    this.peers.connectToVoters();
    if (this.freshness.maySendPlan) this.sessions.forEach((session) => session.planChanged());
    this.sendStatus(now);
    this.peers.sendHubs(now);
  }

  /** Sends the plan to the entries as soon as it is confirmed for the first time. */
  private checkFirstConfirmation(startup: IDisposable): void {
    this.freshness.update();
    if (this.confirmedAgeMs() === Infinity) return;
    startup.dispose();
    this.sendStatus(this.ctx.clock.now());
    this.sessions.forEach((session) => session.planChanged());
  }

  private sendStatus(now: number): void {
    const status = this.messages.status(now);
    const rest = this.messages.withStatus(now, this.isLeaving);
    this.sessions.forEach((session) => session.sendStatus(status, rest));
    this.admission.sendNotices();
  }

  private sendRetryUses(now: number): void {
    this.retryBudgets
      .takeChanges(now, this.peers.reachableShare(now))
      .forEach(({ service, usedPermille }) =>
        this.sessions.forEach((session) => session.setRetryUse(service, usedPermille)),
      );
  }

  private dropUnresponsive(now: number): void {
    [...this.sessions.values()]
      .filter(({ lastReportAt }) => now - lastReportAt > ENTRY_TIMEOUT_MS)
      .forEach((session) => this.closeSession(session));
    this.peers.all
      .filter((peer) => !isAlive(peer, now) && this.entries.entriesOf(peer.address).length > 0)
      .forEach((peer) => {
        this.ctx.logger.warn('no messages from another hub, its entries count as lost', {
          hub: peer.address,
        });
        this.entries.removeHub(peer.address, now);
        this.evidence.removeHub(peer.address);
      });
  }
}
