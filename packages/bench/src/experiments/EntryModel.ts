/** A simulated entry: the production decision code between simulated callers and simulated upstreams. */
import { FairQueue, type AcquireRequest, type Permit } from '@marigoldbank/admission';
import { FifoQueue } from '@marigoldbank/admission/testing';
import type { Clock } from '@marigoldbank/base/clock';
import { setPeriodic } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import type { Random } from '@marigoldbank/base/random';
import {
  RetryBudget,
  TargetPool,
  type CoordinateRequest,
  type CoordinateResponse,
  type ITargetPool,
  type TargetLease,
} from '@marigoldbank/ejection';
import { ConsecutiveFailurePool } from '@marigoldbank/ejection/testing';
import type { Deployment } from './deployments.js';
import type { FakeTarget, TargetAnswer } from './FakeTarget.js';
import type { Measures } from './Measures.js';

/** Which implementation of target pool, queue and retry limit a run uses. */
export interface Variant {
  readonly name: string;
  readonly pool: 'ours' | 'naive';
  readonly queue: 'fair' | 'fifo';
  readonly retries: 'budget' | 'unlimited';
}

/** The part of the simulated fleet that an entry depends on. */
export interface EntryEnvironment {
  readonly clock: Clock;
  readonly deployment: Deployment;
  readonly variant: Variant;
  readonly measures: Measures;
  readonly floor: number;
  readonly entryCount: () => number;
  targetOf(id: string): FakeTarget;
  /** Polls the coordinator of the given rank. `onAnswer` is not called if the poll is lost. */
  poll(
    from: EntryModel,
    rank: number,
    req: CoordinateRequest,
    onAnswer: (res: CoordinateResponse) => void,
  ): void;
  /** True if a connection from the entry to the target cannot be made. */
  isCut(entry: EntryModel, target: FakeTarget): boolean;
}

export interface FakeRequest {
  readonly team: string;
  readonly isIdempotent: boolean;
  readonly isPoison: boolean;
  readonly fingerprint: string;
  readonly arrivedAt: number;
  readonly deadlineAt: number;
}

type HandledOutcome = 'answered' | 'failed' | 'timedOut' | 'refused' | 'quarantined' | 'lost';

interface QueuedRequest extends AcquireRequest {
  readonly exclude: Set<string>;
}

interface LeasePermit extends Permit {
  readonly lease: TargetLease;
}

interface PendingRequest {
  readonly req: FakeRequest;
  readonly exclude: Set<string>;
  readonly onOutcome: (outcome: HandledOutcome, addedMs: number) => void;
}

const POLL_INTERVAL_MS = 250;
const MAX_FAILED_POLLS = 2;
const COORDINATORS = 5;

/** One-way network delay within a data centre. */
const LOCAL_DELAY_MS = 0.2;

/** Time after which an unanswered connection attempt fails. */
const CONNECT_TIMEOUT_MS = 250;

/** How long callers use an address before they look it up again. */
const ADDRESS_TTL_MS = 5_000;

const MAX_ATTEMPTS = 4;
const MAX_WAITING = 400;
const MAX_WAITING_PER_TEAM = 100;

export class EntryModel implements IDisposable {
  public readonly pool: ITargetPool;

  /** Extra delay and loss probability on the links to all targets. */
  public badLinks = { delayMs: 0, loss: 0 };

  public isDraining = false;

  /** When a coordinator reported this entry as a suspected reporter, so that its address was withdrawn. */
  private suspectedSince: number | undefined;

  private readonly store = new DisposableStore();

  private readonly queue:
    FairQueue<LeasePermit, QueuedRequest> | FifoQueue<LeasePermit, QueuedRequest>;

  private readonly retryBudget = new RetryBudget();

  private coordinatorRank = 0;

  private failedPolls = 0;

  public constructor(
    public readonly vm: string,
    public readonly dataCentre: string,
    private readonly environment: EntryEnvironment,
    private readonly random: Random,
  ) {
    const { clock, variant } = environment;
    this.pool = this.makePool();
    const options = {
      clock,
      tryAcquire: (req: QueuedRequest) => this.tryAcquire(req),
      maxWaiting: MAX_WAITING,
      maxWaitingPerTeam: MAX_WAITING_PER_TEAM,
    };
    this.queue = variant.queue === 'fair' ? new FairQueue(options) : new FifoQueue(options);
    this.poll();
    const phaseMs = random.float() * POLL_INTERVAL_MS;
    this.store.add(
      clock.setTimeout(() => {
        this.poll();
        this.store.add(setPeriodic(clock, () => this.poll(), POLL_INTERVAL_MS));
      }, phaseMs),
    );
  }

  public handle(req: FakeRequest, onOutcome: PendingRequest['onOutcome']): void {
    this.retryBudget.recordRequest();
    if (this.pool.isQuarantined(req.fingerprint)) {
      onOutcome('quarantined', 0);
      return;
    }
    this.enqueue({ req, exclude: new Set(), onOutcome });
  }

  /** Share of callers that still use this entry's address; it falls to 0 within the address TTL after withdrawal. */
  public get callerShare(): number {
    if (this.suspectedSince === undefined) return 1;
    return Math.max(0, 1 - (this.environment.clock.now() - this.suspectedSince) / ADDRESS_TTL_MS);
  }

  /** True if this entry sends no regular requests to the target. */
  public isAvoiding(target: string): boolean {
    if (this.pool instanceof TargetPool) return this.pool.roleOf(target) !== 'normal';
    return this.pool instanceof ConsecutiveFailurePool && this.pool.isEjected(target);
  }

  public dispose(): void {
    this.store.dispose();
    this.queue.dispose();
    if (this.pool instanceof TargetPool) this.pool.dispose();
  }

  private makePool(): ITargetPool {
    const { clock, variant, floor, entryCount } = this.environment;
    if (variant.pool === 'naive') return new ConsecutiveFailurePool({ clock });
    const pool = new TargetPool({
      clock,
      random: this.random.fork(),
      entry: this.vm,
      dataCentre: this.dataCentre,
      floor: () => floor,
      entryCount,
    });
    this.store.add(pool.onCapacity(() => this.queue.wake()));
    return pool;
  }

  private tryAcquire({ isIdempotent, exclude }: QueuedRequest): LeasePermit | undefined {
    const lease = this.pool.tryChoose({ isIdempotent, exclude });
    return lease && { lease, dispose: () => undefined };
  }

  private enqueue(pending: PendingRequest): void {
    const { team, isIdempotent, deadlineAt } = pending.req;
    const { exclude } = pending;
    this.queue.enqueue({ team, isIdempotent, deadlineAt, exclude }, (outcome) => {
      if (outcome.kind === 'admitted') this.dispatch(pending, outcome.permit.lease);
      else if (outcome.kind === 'timedOut') pending.onOutcome('timedOut', 0);
      else pending.onOutcome(outcome.kind === 'queueFull' ? 'refused' : 'lost', 0);
    });
  }

  private dispatch(pending: PendingRequest, lease: TargetLease): void {
    const { clock, measures } = this.environment;
    const target = this.environment.targetOf(lease.target);
    const sentAt = clock.now();
    const { req } = pending;
    measures.attempts += 1;
    const networkMs = this.oneWayMs(target);
    let isDone = false;
    const finish = (answer: TargetAnswer): void => {
      if (isDone || this.store.isDisposed) return;
      isDone = true;
      lease.finish(answer.outcome, clock.now() - sentAt);
      this.queue.wake();
      this.afterAttempt(pending, lease.target, answer, 2 * networkMs);
    };
    const timer = clock.setTimeout(
      () => finish({ outcome: 'cancelled', serviceMs: 0 }),
      req.deadlineAt - sentAt,
    );
    const answerAfterReturn = (answer: TargetAnswer): void => {
      clock.setTimeout(() => {
        timer.dispose();
        finish(answer);
      }, networkMs);
    };
    if (this.environment.isCut(this, target)) {
      clock.setTimeout(() => finish({ outcome: 'failed', serviceMs: 0 }), CONNECT_TIMEOUT_MS);
      return;
    }
    if (this.random.chance(this.badLinks.loss)) {
      answerAfterReturn({ outcome: 'failed', serviceMs: 0 });
      return;
    }
    const { deadlineAt, isPoison } = req;
    clock.setTimeout(
      () => target.run({ deadlineAt, isPoison, onAnswer: answerAfterReturn }),
      networkMs,
    );
  }

  private afterAttempt(
    pending: PendingRequest,
    target: string,
    answer: TargetAnswer,
    networkMs: number,
  ): void {
    const { req, exclude, onOutcome } = pending;
    const { clock, measures } = this.environment;
    const now = clock.now();
    if (answer.outcome === 'succeeded') {
      this.pool.reportSucceeded(req.fingerprint);
      onOutcome('answered', now - req.arrivedAt - answer.serviceMs - networkMs);
      return;
    }
    if (answer.outcome === 'shed') measures.shed += 1;
    const isLost = answer.outcome === 'connectionLost';
    // A request whose connections were lost before may itself crash targets, so it is not retried.
    const isSuspect =
      isLost && this.pool instanceof TargetPool && this.pool.isSuspected(req.fingerprint);
    if (isLost) this.pool.reportLost(req.fingerprint, target);
    exclude.add(target);
    const isPermitted =
      !isSuspect &&
      now < req.deadlineAt &&
      exclude.size < MAX_ATTEMPTS &&
      (req.isIdempotent || answer.outcome === 'shed') &&
      !this.pool.isQuarantined(req.fingerprint) &&
      (this.environment.variant.retries === 'unlimited' || this.retryBudget.tryRetry());
    if (!isPermitted) {
      onOutcome(isLost ? 'lost' : 'failed', 0);
      return;
    }
    measures.retries += 1;
    this.enqueue(pending);
  }

  private updateSuspectedSince(): void {
    if (!this.pool.isSuspectedReporter) this.suspectedSince = undefined;
    else this.suspectedSince ??= this.environment.clock.now();
  }

  private oneWayMs(target: FakeTarget): number {
    const isLocal = target.dataCentre === this.dataCentre;
    return (
      (isLocal ? LOCAL_DELAY_MS : this.environment.deployment.interDataCentreMs) +
      this.badLinks.delayMs
    );
  }

  private poll(): void {
    const { clock, deployment } = this.environment;
    const askedAt = clock.now();
    const digest = this.pool.takeDigest();
    const req = { from: this.vm, service: deployment.name, revision: 1, ...digest };
    this.failedPolls += 1;
    if (this.failedPolls > MAX_FAILED_POLLS) {
      this.failedPolls = 1;
      this.coordinatorRank = (this.coordinatorRank + 1) % COORDINATORS;
    }
    this.environment.poll(this, this.coordinatorRank, req, (res) => {
      if (this.store.isDisposed) return;
      this.failedPolls = 0;
      this.pool.update(res, askedAt);
      this.updateSuspectedSince();
      this.queue.wake();
    });
  }
}
