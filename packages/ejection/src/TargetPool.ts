/** The targets of one service at one entry: candidates, selection and evidence for the next poll. */
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
  /** Minimum share of announced, not draining targets that stay candidates, 0 to 1. */
  readonly floor: () => number;
  /** Number of entries in the view, among which a target's connections are divided. */
  readonly entryCount: () => number;
}

interface ChooseRequest {
  readonly isIdempotent: boolean;
  readonly exclude: ReadonlySet<string>;
}

const DEFAULT_LATENCY_MS = 20;

/** Cost of the chosen local target, in typical latencies, above which other data centres are considered. */
const SPILLOVER_COST_FACTOR = 3;

/** Rank in which targets without the role `normal` get it when the floor requires it; the lowest rank comes first. */
function reinstatementRank(state: TargetState): number {
  if (state.status.status === 'probation') return 1 - state.status.share;
  return state.status.status === 'inRotation' ? 2 : 3;
}

/**
 * Keeps lists of candidates that may accept a request, one for the local data centre and one for the others, so that a
 * choice does not visit all targets. The floor is checked at every update, when a target's announcement lease expires,
 * and when a circuit breaker opens or its open time ends.
 */
export class TargetPool implements ITargetPool, IDisposable {
  private readonly states = new Map<string, TargetState>();

  private readonly local = new CandidateList();

  private readonly remote = new CandidateList();

  private readonly fingerprints: FingerprintStore;

  private readonly capacityEmitter = new Emitter<void>();

  /** Fires when a target may accept requests again, to wake the queue in front of the service. */
  public readonly onCapacity: Event<void> = this.capacityEmitter.event;

  /** Time of the poll whose answer was adopted last. */
  private askedAt = Number.NEGATIVE_INFINITY;

  /** Time at which the first announcement lease expires, which makes the lists stale. */
  private staleAt = Number.POSITIVE_INFINITY;

  private candidates = 0;

  private outstanding = 0;

  /** Limit over all targets: if one sheds a request, the others may be overloaded too. */
  private readonly poolLimit: ConcurrencyLimit;

  private typicalLatencyMs = DEFAULT_LATENCY_MS;

  private isReporterSuspected = false;

  private isDisposed = false;

  public constructor(private readonly options: TargetPoolOptions) {
    this.fingerprints = new FingerprintStore(options.clock);
    this.poolLimit = new ConcurrencyLimit(Number.MAX_SAFE_INTEGER, false, options.random);
  }

  public update(res: CoordinateResponse, askedAt: number): void {
    // A late answer to an earlier poll has outdated decisions.
    if (askedAt < this.askedAt) return;
    this.askedAt = askedAt;
    res.targets.forEach((status) => this.adopt(status, askedAt));
    this.removeExpired();
    this.refreshLatencies();
    this.fingerprints.adopt(res);
    this.isReporterSuspected = res.suspectedReporters.includes(this.options.entry);
    this.rebuildCandidates();
    this.updatePoolLimit();
    this.capacityEmitter.fire();
  }

  public tryChoose(req: ChooseRequest): TargetLease | undefined {
    const now = this.options.clock.now();
    this.rebuildIfStale(now);
    if (!this.poolLimit.hasRoom(this.outstanding, now)) return undefined;
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
    return { digests, ...this.fingerprints.takeReports() };
  }

  /** Must be called for every attempt that ended as `connectionLost`, with the request's fingerprint. */
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
   * Returns whether the fingerprint was lost before and has not succeeded since. When it is lost again, it should not
   * be retried at another target, since it may crash that one too.
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

  /** How this entry currently uses a target. */
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

  private updatePoolLimit(): void {
    const used = [...this.states.values()].filter((state) => state.role !== 'unused');
    const slots = used.reduce((sum, state) => sum + state.announcement.slots, 0);
    const load = used.reduce((sum, state) => sum + state.status.fleetOutstanding, 0);
    this.poolLimit.setSlots(Math.max(1, slots));
    this.poolLimit.onFleetLoad(
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

  /** Rebuilds the lists. At least the share of usable targets that the floor requires gets the role `normal`. */
  private rebuildCandidates(): void {
    const now = this.options.clock.now();
    this.states.forEach((state) => state.setRole('unused'));
    const usable = [...this.states.values()].filter((state) => now < state.usableUntil);
    usable.forEach((state) => state.setRole(TargetPool.roleBeforeFloor(state, now)));
    const notNormal = usable.filter((state) => state.role !== 'normal');
    const minimum = minInRotation(usable.length, this.options.floor());
    const shortfall = Math.max(0, minimum - (usable.length - notNormal.length));
    notNormal
      .sort((a, b) => reinstatementRank(a) - reinstatementRank(b))
      .slice(0, shortfall)
      .forEach((state) => state.setRole('normal'));
    this.staleAt = Math.min(Number.POSITIVE_INFINITY, ...usable.map((s) => s.usableUntil));
    this.local.clear();
    this.remote.clear();
    const used = usable.filter((state) => state.role !== 'unused');
    this.candidates = used.length;
    used.forEach((state) => this.addIfRoom(state, now));
  }

  /** Role of a usable target, before the floor is applied. */
  private static roleBeforeFloor(state: TargetState, now: number): TargetRole {
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

  /**
   * Prefers the local data centre. A remote target is chosen if no local one can be, or if the local one is slow or
   * busy and the remote one costs less than half as much.
   */
  private chooseState(req: ChooseRequest, now: number): TargetState | undefined {
    const local = this.chooseFrom(this.local, req, now);
    if (local === undefined) return this.chooseFrom(this.remote, req, now);
    const typical = this.typicalLatencyMs;
    const cost = local.score(typical);
    if (local.role === 'probation' || cost <= SPILLOVER_COST_FACTOR * typical) return local;
    const remote = this.chooseFrom(this.remote, req, now);
    return remote !== undefined && remote.score(typical) < cost / 2 ? remote : local;
  }

  /** Power of two choices. A target on probation that is drawn first is chosen, since it needs samples. */
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

  /** Searches from a random position. Targets without room are removed from the list until they have some. */
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
    this.poolLimit.onUse(this.outstanding);
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
    if (outcome === 'shed') this.poolLimit.reduce(this.outstanding + 1, this.typicalLatencyMs, now);
    if (outcome === 'succeeded') this.poolLimit.onSuccess(latencyMs, now);
    const openMs = state.record(outcome, latencyMs, this.typicalLatencyMs, now);
    if (openMs !== undefined) {
      this.rebuildCandidates();
      this.runLater(openMs, () => this.rebuildCandidates());
    }
    this.addIfRoom(state, now);
    const pauseMs = Math.max(state.limit.pausedUntil, this.poolLimit.pausedUntil) - now;
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
