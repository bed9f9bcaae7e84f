/**
 * State that control VMs share with the entries and among each other: targets, outcomes, load, budgets, entries.
 * Each hub serves the entries that follow it and relays what they report to all other hubs.
 */
import type { Client } from '@connectrpc/connect';
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import { Random } from '@marigoldbank/base/random';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type {
  EntryReport,
  HubRelay,
  SyncService,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { IReplicatedLog } from '@marigoldbank/replicated-log';
import { chooseAddresses, type AdvertisedEntry } from '../AddressBook.js';
import type { Announcement } from '../ProtocolAdapter.js';
import { ipOf, syncAddress, type GatewaySettings } from '../settings.js';
import { RetryBudgets } from './RetryBudgets.js';
import { EntrySession, type HubUpdateInit } from './EntrySession.js';
import { EvidenceDistributor } from './EvidenceDistributor.js';
import { EntryRegistry, type EntryIdentity } from './EntryRegistry.js';
import type { CommittedPlan } from './CommittedPlan.js';
import { HubPeers } from './HubPeers.js';
import { HubFreshness } from './HubFreshness.js';
import { HubTargets } from './HubTargets.js';
import { isHeard, type PeerHub } from './PeerHub.js';
import { PlanEncoder } from './PlanEncoder.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import type { HubRelayInit } from './RelayLink.js';
import { TeamBudgets } from './TeamBudgets.js';
import { TokenRequestHandler } from './TokenRequestHandler.js';
import { toAnnouncement } from './targets-codec.js';

const TICK_MS = 200;

/** Until the first confirmation of a plan, entries without one wait for each turn. */
const STARTUP_MS = 40;

/** Entries and hubs hear from this hub at least once in so many ticks. */
const TICKS_PER_STATUS = 2;

/** An entry that reports nothing for this long is gone. */
const ENTRY_SILENCE_MS = 3_000;

/** Name of this hub among the sources of entries. */
const OWN = '';

/** Age that stands for "never" on the wire. */
const MAX_AGE_MS = 1_000_000;

const MAX_SEED = 0x7fffffff;

export interface HubContext {
  readonly clock: Clock;
  readonly settings: GatewaySettings;
  readonly log: IReplicatedLog;
  readonly stateMachine: PlanStateMachine;
  readonly logger: Logger;
  readonly clientOf: (address: string) => Client<typeof SyncService>;
}

export class Hub extends DisposableStore {
  public readonly fleet = new EntryRegistry();

  public readonly targets: HubTargets;

  public readonly peers: HubPeers;

  private readonly sessions = new Map<string, EntrySession>();

  private readonly standing: HubFreshness;

  private readonly evidence: EvidenceDistributor;

  private readonly encoder = new PlanEncoder();

  private readonly retries: RetryBudgets;

  private readonly lending: TeamBudgets;

  private readonly tokens: TokenRequestHandler;

  private readonly random = new Random(Math.floor(Math.random() * MAX_SEED));

  /** Entries that callers may be sent to, by address, as the entries were told. */
  private named: ReadonlyMap<string, AdvertisedEntry> = new Map();

  private ticks = 0;

  private isLeaving = false;

  public constructor(private readonly ctx: HubContext) {
    super();
    const { settings, clock, stateMachine: machine } = ctx;
    const { retryRatio, retrySlack, retryWindow } = settings.bounds;
    this.retries = new RetryBudgets({
      ratio: retryRatio,
      slack: retrySlack,
      windowMs: retryWindow,
    });
    this.peers = this.add(
      new HubPeers({
        ...ctx,
        snapshot: () => this.snapshotForPeer(),
        ownInFlight: (target) => this.evidence.ownInFlight(target),
      }),
    );
    this.standing = new HubFreshness({
      ...ctx,
      hearsMajority: (now) => this.peers.hearsMajority(now),
      tellConfirmed: (index) => this.peers.send({ confirmedIndex: BigInt(index) }),
    });
    this.lending = this.createLending();
    this.tokens = new TokenRequestHandler({
      lending: this.lending,
      isLeader: () => ctx.log.status().role === 'leader',
      leaderLink: () => this.peers.leaderLink,
      linkTo: (peer) => this.peers.linkTo(peer),
      sessionOf: (vm) => this.sessions.get(vm),
    });
    this.add(machine.onDidChangePlan(() => this.planChanged()));
    this.targets = new HubTargets(ctx);
    this.evidence = new EvidenceDistributor({
      targets: this.targets,
      sessions: () => [...this.sessions.values()],
      links: () => this.peers.links,
      peerAddresses: () => this.peers.all.map(({ address }) => address),
    });
    this.add(machine.onDidMarkLeaving((id) => this.targets.markLeaving(id)));
    this.add(
      this.targets.onDidChange((target) =>
        this.sessions.forEach((session) => session.setTarget(target)),
      ),
    );
    this.add(
      this.targets.onDidRemove((id) =>
        this.sessions.forEach((session) => session.removeTarget(id)),
      ),
    );
    this.add(setPeriodic(clock, () => this.tick(), TICK_MS));
    const startup = this.add(setPeriodic(clock, () => this.awaitConfirmation(startup), STARTUP_MS));
    this.setSeeds(settings.seeds);
    if (machine.current !== undefined) this.planChanged();
  }

  /** Milliseconds since a majority confirmed what this hub holds. */
  public confirmedAgeMs(): number {
    return this.standing.confirmedAgeMs();
  }

  /** Connects to the hubs at further seeds. */
  public setSeeds(seeds: readonly string[]): void {
    seeds.forEach((seed) => this.peers.meet(syncAddress(this.ctx.settings, ipOf(seed)), ''));
  }

  /** Addresses for a caller of a data centre. */
  public addressesFor(dataCentre: string): string[] {
    const now = this.ctx.clock.now();
    return chooseAddresses(this.fleet.named(now), dataCentre, (items) =>
      this.random.shuffle(items),
    );
  }

  /** Takes an announcement that arrived here. */
  public announce(announcement: Announcement): void {
    this.targets.register(announcement, this.ctx.clock.now());
    const target = this.targets.describe(announcement.id);
    if (target !== undefined) this.peers.links.forEach((link) => link.setTarget(target));
  }

  /** Opens the stream of an entry. */
  public openSession(identity: EntryIdentity, heldVersion: number): EntrySession {
    const { clock, stateMachine: machine } = this.ctx;
    this.sessions.get(identity.vm)?.dispose();
    const source = {
      clock,
      currentPlan: () => (this.standing.mayTellPlan ? machine.current : undefined),
      othersInFlight: (vm: string, target: string) => this.evidence.othersInFlight(vm, target),
      named: () => this.named,
      encodeChanges: (from: CommittedPlan | undefined, to: CommittedPlan) =>
        this.encoder.encode(from, to),
    };
    const session = new EntrySession(identity, source, heldVersion);
    this.sessions.set(identity.vm, session);
    session.send(this.snapshotForEntry(identity.vm));
    session.planChanged();
    this.ctx.logger.info('entry follows this hub', { entry: identity.vm });
    return session;
  }

  /** Ends the stream of an entry. */
  public closeSession(session: EntrySession): void {
    session.dispose();
    const { vm } = session.identity;
    if (this.sessions.get(vm) !== session) return;
    this.sessions.delete(vm);
    this.fleet.remove(OWN, vm, this.ctx.clock.now());
    this.peers.send({ entries: [{ identity: session.identity, isGone: true }] });
    this.evidence.forgetEntry(vm);
    this.ctx.logger.info('entry no longer follows this hub', { entry: vm });
  }

  /** Takes a report of an entry that follows this hub. */
  public report(session: EntrySession, report: EntryReport): void {
    const { identity } = session;
    const now = this.ctx.clock.now();
    session.noteHeard(now);
    if (this.sessions.get(identity.vm) !== session) return;
    this.noteReadiness(identity, report.isReady);
    this.evidence.fromEntry(identity.vm, report.evidence, now);
    report.uses.forEach(({ service, requests, repeats }) => {
      this.retries.count(service, requests, repeats, now);
      this.peers.links.forEach((link) => link.addUse(service, requests, repeats));
    });
    this.tokens.reportUses(report.teams, now);
    this.tokens.ask(identity.vm, report.tokens, now);
  }

  /** Takes a message of another hub. */
  public relayed(relay: HubRelay, peer: PeerHub): void {
    const now = this.ctx.clock.now();
    Object.assign(peer, { heardAt: now });
    this.peers.linkTo(peer)?.noteHeard();
    if (relay.confirmedIndex > 0n) this.standing.noteConfirmed(Number(relay.confirmedIndex));
    relay.hubs.forEach(({ address, dataCentre }) => this.peers.meet(address, dataCentre));
    relay.entries.forEach(({ identity, isReady, isGone }) => {
      if (identity === undefined) return;
      if (isGone) this.fleet.remove(peer.address, identity.vm, now);
      else this.fleet.set(peer.address, identity, isReady);
    });
    relay.targets.forEach((target) =>
      this.targets.register(toAnnouncement(target), now - target.ageMs),
    );
    this.evidence.fromHub(peer.address, relay.evidence, now);
    relay.uses.forEach(({ service, requests, repeats }) =>
      this.retries.count(service, requests, repeats, now),
    );
    relay.teams.forEach(({ team, admitted }) => this.lending.report(team, admitted, now));
    this.tokens.answerHub(peer, relay.tokens, now);
    this.tokens.deliver(relay.answers);
    if (relay.teamStates.length > 0) this.lending.adoptModes(relay.teamStates);
    if (relay.teams.length > 0) this.lending.tell(now);
  }

  /** The state of another hub whose stream begins. */
  public openPeer(address: string, dataCentre: string): PeerHub {
    return this.peers.open(address, dataCentre);
  }

  /** Tells the entries to follow other hubs. */
  public leave(): void {
    this.isLeaving = true;
    this.sessions.forEach((session) => session.send({ isLeaving: true }));
  }

  public override dispose(): void {
    super.dispose();
    this.sessions.forEach((session) => session.dispose());
  }

  private createLending(): TeamBudgets {
    const { logger, log } = this.ctx;
    return new TeamBudgets({
      logger,
      isLeader: () => log.status().role === 'leader',
      leaderHeardAt: () => this.peers.leader?.heardAt ?? -Infinity,
      entries: (now) => ({
        own: this.fleet.ofHub(OWN).length,
        followed: this.fleet.size,
        expected: this.fleet.expected(now),
      }),
      tellEntries: (modes) =>
        modes.forEach(({ team, isTight }) =>
          this.sessions.forEach((session) => session.setTeam(team, isTight)),
        ),
      tellHubs: (teamStates) => this.peers.send({ teamStates: [...teamStates] }),
    });
  }

  private noteReadiness(identity: EntryIdentity, isReady: boolean): void {
    const known = this.fleet.ofHub(OWN).find((entry) => entry.identity.vm === identity.vm);
    if (known?.isReady === isReady) return;
    this.fleet.set(OWN, identity, isReady);
    this.ctx.logger.info('entry readiness', { entry: identity.vm, isReady });
    this.peers.send({ entries: [{ identity, isReady }] });
  }

  private planChanged(): void {
    const { stateMachine: machine, clock, logger } = this.ctx;
    const { plan } = machine.current!;
    logger.info('plan in force', { version: plan.version, routes: plan.routes.length });
    this.lending.setTeams(plan.teams, clock.now());
    this.sessions.forEach((session) => session.planChanged());
  }

  private tick(): void {
    const now = this.ctx.clock.now();
    this.standing.update();
    this.lending.tick(now);
    this.updateNamed(now);
    this.targets.expire(now);
    this.dropSilent(now);
    this.spreadRetryUses(now);
    this.ticks += 1;
    if (this.ticks % TICKS_PER_STATUS !== 0) return;
    if (this.standing.mayTellPlan) this.sessions.forEach((session) => session.planChanged());
    const update = this.status(now);
    this.sessions.forEach((session) => session.send(update));
    this.peers.send({ hubs: this.peers.addresses(this.ctx.clock.now()) });
  }

  /** Tells entries the plan as soon as it is confirmed for the first time. */
  private awaitConfirmation(startup: IDisposable): void {
    this.standing.update();
    if (this.confirmedAgeMs() === Infinity) return;
    startup.dispose();
    const update = this.status(this.ctx.clock.now());
    this.sessions.forEach((session) => {
      session.send(update);
      session.planChanged();
    });
  }

  /** Tells the entries when the list for callers has changed. */
  private updateNamed(now: number): void {
    const named = new Map(this.fleet.named(now).map((entry) => [entry.address, entry]));
    const isSame =
      named.size === this.named.size && [...named.keys()].every((key) => this.named.has(key));
    if (isSame) return;
    this.named = named;
    this.sessions.forEach((session) => session.namedChanged());
  }

  private spreadRetryUses(now: number): void {
    this.retries
      .takeUses(now, this.peers.reachShare(now))
      .forEach(({ service, usedPermille }) =>
        this.sessions.forEach((session) => session.setRetryUse(service, usedPermille)),
      );
  }

  private dropSilent(now: number): void {
    [...this.sessions.values()]
      .filter(({ heardAt }) => now - heardAt > ENTRY_SILENCE_MS)
      .forEach((session) => this.closeSession(session));
    this.peers.all
      .filter((peer) => !isHeard(peer, now) && this.fleet.ofHub(peer.address).length > 0)
      .forEach((peer) => {
        this.ctx.logger.warn('another hub is silent', { hub: peer.address });
        this.fleet.removeHub(peer.address, now);
        this.evidence.forgetHub(peer.address);
      });
  }

  private status(now: number): {
    status: HubUpdateInit['status'];
    hubs: HubUpdateInit['hubs'];
    isLeaving: boolean;
  } {
    const budgetAge = this.budgetAgeMs(now);
    return {
      status: {
        confirmedAgeMs: Math.round(Math.min(MAX_AGE_MS, this.confirmedAgeMs())),
        budgetAgeMs: Math.round(Math.min(MAX_AGE_MS, budgetAge)),
        entries: this.fleet.expected(now),
        isLeaderless: this.standing.isLeaderless(now),
        planVersion: BigInt(this.ctx.stateMachine.current?.plan.version ?? 0),
      },
      hubs: this.peers.addresses(this.ctx.clock.now()),
      isLeaving: this.isLeaving,
    };
  }

  /** Time since the holder of the team budgets was heard. */
  private budgetAgeMs(now: number): number {
    // A leader that has lost its majority steps down within an election timeout.
    if (this.lending.isLending) return 0;
    return now - (this.peers.leader?.heardAt ?? -Infinity);
  }

  private snapshotForEntry(vm: string): HubUpdateInit {
    const now = this.ctx.clock.now();
    return {
      ...this.status(now),
      targets: this.targets.describeAll(),
      beliefs: this.targets.beliefs(now),
      evidence: this.evidence.busyForEntry(vm),
      teams: this.lending.modesForEntry(),
    };
  }

  private snapshotForPeer(): HubRelayInit {
    const { settings } = this.ctx;
    return {
      hello: { address: this.peers.ownAddress, dataCentre: settings.dataCentre },
      entries: this.fleet.ofHub(OWN).map(({ identity, isReady }) => ({ identity, isReady })),
      targets: this.targets.describeAll(),
      evidence: this.evidence.busyForHub(),
      teamStates: this.lending.modesForHub(),
      hubs: this.peers.addresses(this.ctx.clock.now()),
    };
  }
}
