/** An entry's targets of one service: candidates, choice, evidence for the next poll. */
import type { Clock } from '@marigoldbank/base/clock';
import { Emitter, type Event } from '@marigoldbank/base/events';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Random } from '@marigoldbank/base/random';
import { TOMBSTONE_MS } from './constants.js';
import { FingerprintStore } from './FingerprintStore.js';
import { minInRotation } from './floor.js';
import { DESIRED_LOAD, ConcurrencyLimit } from './ConcurrencyLimit.js';
import { CandidateList } from './CandidateList.js';
import { TargetState, type TargetRole } from './TargetState.js';
import type {
  AttemptOutcome,
  CoordinateRequest,
  CoordinateResponse,
  ITargetPool,
  TargetLease,
  TargetStatus,
} from './types.js';

export interface TargetPoolOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Id of this entry, as in its polls. */
  readonly entry: string;
  readonly dataCentre: string;
  /** Least share of announced, not draining targets that stay candidates, 0 to 1. */
  readonly floor: () => number;
  /** Number of entries in the view, which share a target's connections. */
  readonly entryCount: () => number;
}

interface ChooseRequest {
  readonly isIdempotent: boolean;
  readonly exclude: ReadonlySet<string>;
}

const DEFAULT_LATENCY_MS = 20;

/** Cost of the best local target, in typical latencies, above which the other data centres are considered. */
const SPILLOVER_COST_FACTOR = 3;

/** Order in which targets that are not in use come back when the floor requires it. */
function reinstatementRank(state: TargetState): number {
  if (state.status.status === 'probation') return 1 - state.status.share;
  return state.status.status === 'inRotation' ? 2 : 3;
}

/**
 * Keeps compiled lists of candidates with room, one for the own data centre and one for the others, so that a choice
 * does not visit all targets. The floor is checked at every update and whenever a lease ends or an avoidance changes.
 */
export class TargetPool implements ITargetPool, IDisposable {
  private readonly states = new Map<string, TargetState>();

  private readonly local = new CandidateList();

  private readonly remote = new CandidateList();

  private readonly fingerprints: FingerprintStore;

  private readonly capacityEmitter = new Emitter<void>();

  /** Fires when a target may have room again: wake the queue in front of the service. */
  public readonly onCapacity: Event<void> = this.capacityEmitter.event;

  private askedAt = Number.NEGATIVE_INFINITY;

  /** The lists are stale from then on, since a lease has ended. */
  private staleAt = Number.POSITIVE_INFINITY;

  private candidates = 0;

  private outstanding = 0;

  /** Limit over all targets: a shed answer of one tells that the others may be busy too. */
  private readonly totalLimit: ConcurrencyLimit;

  private typicalLatencyMs = DEFAULT_LATENCY_MS;

  private isReporterSuspected = false;

  private isDisposed = false;

  public constructor(private readonly options: TargetPoolOptions) {
    this.fingerprints = new FingerprintStore(options.clock);
    this.totalLimit = new ConcurrencyLimit(Number.MAX_SAFE_INTEGER, false, options.random);
  }

  public update(res: CoordinateResponse, askedAt: number): void {
    // A late answer to an earlier poll holds older decisions.
    if (askedAt < this.askedAt) return;
    this.askedAt = askedAt;
    res.targets.forEach((status) => this.adopt(status, askedAt));
    this.removeExpired();
    this.refreshLatencies();
    this.fingerprints.adopt(res);
    this.isReporterSuspected = res.suspectedReporters.includes(this.options.entry);
    this.rebuildCandidates();
    this.updateTotalLimit();
    this.capacityEmitter.fire();
  }

  public tryChoose(req: ChooseRequest): TargetLease | undefined {
    const now = this.options.clock.now();
    this.rebuildIfStale(now);
    if (!this.totalLimit.hasRoom(this.outstanding, now)) return undefined;
    const state = this.chooseState(req, now);
    return state === undefined ? undefined : this.lease(state);
  }

  public get candidateCount(): number {
    this.rebuildIfStale(this.options.clock.now());
    return this.candidates;
  }

  public takeDigest(): Pick<CoordinateRequest, 'digests' | 'lost' | 'cleared'> {
    const digests = [...this.states.values()]
      .map((state) => state.takeDigest())
      .filter((digest) => digest !== undefined);
    return { digests, ...this.fingerprints.take() };
  }

  /** Every attempt that ended as `connectionLost` is reported here too, with the request's fingerprint. */
  public reportLost(fingerprint: string, target: string): void {
    this.fingerprints.reportLost(fingerprint, target);
  }

  public reportSucceeded(fingerprint: string): void {
    this.fingerprints.reportSucceeded(fingerprint);
  }

  public isQuarantined(fingerprint: string): boolean {
    return this.fingerprints.isQuarantined(fingerprint);
  }

  /**
   * True if the fingerprint was lost before and has not succeeded since. When it is lost again it should not be tried
   * at a further target, since it may crash that one too.
   */
  public isSuspected(fingerprint: string): boolean {
    return this.fingerprints.isSuspected(fingerprint);
  }

  public get isSuspectedReporter(): boolean {
    return this.isReporterSuspected;
  }

  public status(): readonly TargetStatus[] {
    return [...this.states.values()].map((state) => state.status);
  }

  /** How this entry uses a target now. */
  public roleOf(target: string): TargetRole {
    const now = this.options.clock.now();
    this.rebuildIfStale(now);
    return this.states.get(target)?.role ?? 'unused';
  }

  public dispose(): void {
    this.isDisposed = true;
    this.capacityEmitter.dispose();
  }

  private adopt(status: TargetStatus, askedAt: number): void {
    const { target } = status.announcement;
    const known = this.states.get(target);
    if (known !== undefined) known.update(status, askedAt);
    else this.states.set(target, new TargetState(status, askedAt, this.options.random));
  }

  private updateTotalLimit(): void {
    const used = [...this.states.values()].filter((state) => state.role !== 'unused');
    const slots = used.reduce((sum, state) => sum + state.announcement.slots, 0);
    const load = used.reduce((sum, state) => sum + state.status.fleetOutstanding, 0);
    this.totalLimit.setSlots(Math.max(1, slots));
    this.totalLimit.onFleetLoad(
      load,
      (DESIRED_LOAD * slots) / Math.max(1, this.options.entryCount()),
    );
  }

  private removeExpired(): void {
    const now = this.options.clock.now();
    [...this.states]
      .filter(([, state]) => state.outstanding === 0 && now - state.expiresAt > TOMBSTONE_MS)
      .forEach(([target]) => this.states.delete(target));
  }

  private refreshLatencies(): void {
    const latencies = [...this.states.values()]
      .map((state) => state.latencyMs)
      .filter((latency) => latency !== undefined)
      .sort((a, b) => a - b);
    this.typicalLatencyMs = latencies[Math.floor(latencies.length / 2)] ?? DEFAULT_LATENCY_MS;
    this.states.forEach((state) => state.decayLatency(this.typicalLatencyMs));
  }

  private rebuildIfStale(now: number): void {
    if (now >= this.staleAt) this.rebuildCandidates();
  }

  /** Rebuilds the lists. At least the floor's share of the usable targets becomes candidates. */
  private rebuildCandidates(): void {
    const now = this.options.clock.now();
    this.states.forEach((state) => state.setRole('unused'));
    const usable = [...this.states.values()].filter((state) => now < state.usableUntil);
    usable.forEach((state) => state.setRole(TargetPool.roleOf(state, now)));
    const unused = usable.filter((state) => state.role !== 'normal');
    const minimum = minInRotation(usable.length, this.options.floor());
    const missing = Math.max(0, minimum - (usable.length - unused.length));
    unused
      .sort((a, b) => reinstatementRank(a) - reinstatementRank(b))
      .slice(0, missing)
      .forEach((state) => state.setRole('normal'));
    this.staleAt = Math.min(Number.POSITIVE_INFINITY, ...usable.map((s) => s.usableUntil));
    this.local.clear();
    this.remote.clear();
    const used = usable.filter((state) => state.role !== 'unused');
    this.candidates = used.length;
    used.forEach((state) => this.addIfRoom(state, now));
  }

  private static roleOf(state: TargetState, now: number): TargetRole {
    if (state.circuitBreaker.isOpen(now)) return 'unused';
    if (state.status.status === 'inRotation') return 'normal';
    return state.status.status === 'probation' ? 'probation' : 'unused';
  }

  private listOf(state: TargetState): CandidateList {
    return state.announcement.dataCentre === this.options.dataCentre ? this.local : this.remote;
  }

  private addIfRoom(state: TargetState, now: number): void {
    if (state.role !== 'unused' && this.hasRoom(state, now)) this.listOf(state).add(state);
  }

  private hasRoom(state: TargetState, now: number): boolean {
    return state.hasRoom(now, this.connectionsOf(state));
  }

  private connectionsOf(state: TargetState): number {
    const entries = Math.max(1, this.options.entryCount());
    return Math.max(1, Math.floor(state.announcement.maxConnections / entries));
  }

  /** The own data centre first, unless it is so slow or busy that it has no capacity to spare. */
  private chooseState(req: ChooseRequest, now: number): TargetState | undefined {
    const local = this.chooseFrom(this.local, req, now);
    if (local === undefined) return this.chooseFrom(this.remote, req, now);
    const typical = this.typicalLatencyMs;
    const cost = local.score(typical);
    if (local.role === 'probation' || cost <= SPILLOVER_COST_FACTOR * typical) return local;
    const remote = this.chooseFrom(this.remote, req, now);
    return remote !== undefined && remote.score(typical) < cost / 2 ? remote : local;
  }

  /** Power of two choices. A target on probation is taken when drawn first, since it needs samples. */
  private chooseFrom(
    list: CandidateList,
    req: ChooseRequest,
    now: number,
  ): TargetState | undefined {
    const first = this.drawCandidate(list, req, now, undefined);
    if (first === undefined || first.role === 'probation') return first;
    const second = this.drawCandidate(list, req, now, first);
    if (second === undefined || second.role === 'probation') return first;
    const typical = this.typicalLatencyMs;
    return second.score(typical) < first.score(typical) ? second : first;
  }

  /** Draws from a random position on; targets found without room leave the list until they have some. */
  private drawCandidate(
    list: CandidateList,
    req: ChooseRequest,
    now: number,
    other: TargetState | undefined,
  ): TargetState | undefined {
    if (list.size === 0) return undefined;
    let position = this.options.random.int(list.size);
    let rejected = 0;
    while (rejected < list.size) {
      const state = list.at(position % list.size);
      if (!this.hasRoom(state, now)) {
        list.remove(state);
      } else if (state !== other && this.isAllowed(state, req)) {
        return state;
      } else {
        rejected += 1;
        position += 1;
      }
    }
    return undefined;
  }

  private isAllowed(state: TargetState, req: ChooseRequest): boolean {
    if (req.exclude.has(state.announcement.target)) return false;
    if (state.role !== 'probation') return true;
    return req.isIdempotent && this.options.random.chance(state.status.share);
  }

  private lease(state: TargetState): TargetLease {
    const { target, address } = state.announcement;
    let isFinished = false;
    state.begin();
    this.outstanding += 1;
    this.totalLimit.onUse(this.outstanding);
    return {
      target,
      address,
      maxConnections: this.connectionsOf(state),
      mayDispatch: () =>
        !isFinished && state.role !== 'unused' && this.options.clock.now() < state.usableUntil,
      finish: (outcome, latencyMs) => {
        if (isFinished) return;
        isFinished = true;
        this.finish(state, outcome, latencyMs);
      },
    };
  }

  private finish(state: TargetState, outcome: AttemptOutcome, latencyMs: number): void {
    const now = this.options.clock.now();
    state.end();
    this.outstanding -= 1;
    if (outcome === 'shed')
      this.totalLimit.reduce(this.outstanding + 1, this.typicalLatencyMs, now);
    if (outcome === 'succeeded') this.totalLimit.onSuccess(latencyMs, now);
    const openMs = state.record(outcome, latencyMs, this.typicalLatencyMs, now);
    if (openMs !== undefined) {
      this.rebuildCandidates();
      this.runLater(openMs, () => this.rebuildCandidates());
    }
    this.addIfRoom(state, now);
    const pauseMs = Math.max(state.limit.pausedUntil, this.totalLimit.pausedUntil) - now;
    if (pauseMs > 0) this.runLater(pauseMs, () => this.addIfRoom(state, this.options.clock.now()));
    this.capacityEmitter.fire();
  }

  private runLater(delayMs: number, fn: () => void): void {
    this.options.clock.setTimeout(() => {
      if (this.isDisposed) return;
      fn();
      this.capacityEmitter.fire();
    }, delayMs);
  }
}
