/** One entry of the experiments: the real decision code between fake callers and fake upstreams. */
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

/** Which version of each decision a run uses. */
export interface Variant {
  readonly name: string;
  readonly pool: 'ours' | 'naive';
  readonly queue: 'fair' | 'fifo';
  readonly retries: 'budget' | 'unlimited';
}

/** What an entry sees of the rest of the fleet. */
export interface Surroundings {
  readonly clock: Clock;
  readonly deployment: Deployment;
  readonly variant: Variant;
  readonly measures: Measures;
  readonly floor: number;
  readonly entryCount: () => number;
  targetOf(id: string): FakeTarget;
  /** Sends a poll to the coordinator of a rank; no call of `onAnswer` means that it was lost. */
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

type CallerAnswer = 'answered' | 'failed' | 'timedOut' | 'refused' | 'quarantined' | 'lost';

interface QueuedRequest extends AcquireRequest {
  readonly exclude: Set<string>;
}

interface LeasePermit extends Permit {
  readonly lease: TargetLease;
}

interface Attempted {
  readonly req: FakeRequest;
  readonly exclude: Set<string>;
  readonly onEnd: (end: CallerAnswer, addedMs: number) => void;
}

const POLL_INTERVAL_MS = 250;
const FAILED_POLLS_TO_MOVE = 2;
const COORDINATORS = 5;

/** Distance within a data centre, one way. */
const LOCAL_MS = 0.2;

/** A connection attempt that gets no answer is given up after this. */
const CONNECT_TIMEOUT_MS = 250;

/** How long callers use an address before they ask again. */
const ADDRESS_TTL_MS = 5_000;

const MAX_ATTEMPTS = 4;
const MAX_WAITING = 400;
const MAX_WAITING_PER_TEAM = 100;

export class EntryModel implements IDisposable {
  public readonly pool: ITargetPool;

  /** Extra time and loss of its links to all targets. */
  public badLinks = { delayMs: 0, loss: 0 };

  public isDraining = false;

  /** When it heard that it is a suspected reporter and withdrew its address. */
  private suspectedSince: number | undefined;

  private readonly store = new DisposableStore();

  private readonly queue:
    FairQueue<LeasePermit, QueuedRequest> | FifoQueue<LeasePermit, QueuedRequest>;

  private readonly retryBudget = new RetryBudget();

  private rank = 0;

  private failedPolls = 0;

  public constructor(
    public readonly vm: string,
    public readonly dataCentre: string,
    private readonly around: Surroundings,
    private readonly random: Random,
  ) {
    const { clock, variant } = around;
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

  public handle(req: FakeRequest, onEnd: Attempted['onEnd']): void {
    this.retryBudget.recordRequest();
    if (this.pool.isQuarantined(req.fingerprint)) {
      onEnd('quarantined', 0);
      return;
    }
    this.enqueue({ req, exclude: new Set(), onEnd });
  }

  /** Share of the callers that still use its address: they refresh within the ttl. */
  public get callerShare(): number {
    if (this.suspectedSince === undefined) return 1;
    return Math.max(0, 1 - (this.around.clock.now() - this.suspectedSince) / ADDRESS_TTL_MS);
  }

  /** True if no request goes to the target from here. */
  public hasOut(target: string): boolean {
    if (this.pool instanceof TargetPool) return this.pool.roleOf(target) !== 'normal';
    return this.pool instanceof ConsecutiveFailurePool && this.pool.isEjected(target);
  }

  public dispose(): void {
    this.store.dispose();
    this.queue.dispose();
    if (this.pool instanceof TargetPool) this.pool.dispose();
  }

  private makePool(): ITargetPool {
    const { clock, variant, floor, entryCount } = this.around;
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

  private enqueue(attempted: Attempted): void {
    const { team, isIdempotent, deadlineAt } = attempted.req;
    const { exclude } = attempted;
    this.queue.enqueue({ team, isIdempotent, deadlineAt, exclude }, (outcome) => {
      if (outcome.kind === 'admitted') this.dispatch(attempted, outcome.permit.lease);
      else if (outcome.kind === 'timedOut') attempted.onEnd('timedOut', 0);
      else attempted.onEnd(outcome.kind === 'queueFull' ? 'refused' : 'lost', 0);
    });
  }

  private dispatch(attempted: Attempted, lease: TargetLease): void {
    const { clock, measures } = this.around;
    const target = this.around.targetOf(lease.target);
    const sentAt = clock.now();
    const { req } = attempted;
    measures.attempts += 1;
    const networkMs = this.oneWayMs(target);
    let isDone = false;
    const finish = (answer: TargetAnswer): void => {
      if (isDone || this.store.isDisposed) return;
      isDone = true;
      lease.finish(answer.outcome, clock.now() - sentAt);
      this.queue.wake();
      this.afterAttempt(attempted, lease.target, answer, 2 * networkMs);
    };
    const timer = clock.setTimeout(
      () => finish({ outcome: 'cancelled', serviceMs: 0 }),
      req.deadlineAt - sentAt,
    );
    const answerLater = (answer: TargetAnswer): void => {
      clock.setTimeout(() => {
        timer.dispose();
        finish(answer);
      }, networkMs);
    };
    if (this.around.isCut(this, target)) {
      clock.setTimeout(() => finish({ outcome: 'failed', serviceMs: 0 }), CONNECT_TIMEOUT_MS);
      return;
    }
    if (this.random.chance(this.badLinks.loss)) {
      answerLater({ outcome: 'failed', serviceMs: 0 });
      return;
    }
    const { deadlineAt, isPoison } = req;
    clock.setTimeout(() => target.run({ deadlineAt, isPoison, onAnswer: answerLater }), networkMs);
  }

  private afterAttempt(
    attempted: Attempted,
    target: string,
    answer: TargetAnswer,
    networkMs: number,
  ): void {
    const { req, exclude, onEnd } = attempted;
    const { clock, measures } = this.around;
    const now = clock.now();
    if (answer.outcome === 'succeeded') {
      this.pool.reportSucceeded(req.fingerprint);
      onEnd('answered', now - req.arrivedAt - answer.serviceMs - networkMs);
      return;
    }
    if (answer.outcome === 'shed') measures.shed += 1;
    const isLost = answer.outcome === 'connectionLost';
    // A request lost before may be what crashes the targets: it is not tried at one more.
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
      (this.around.variant.retries === 'unlimited' || this.retryBudget.tryRetry());
    if (!isPermitted) {
      onEnd(isLost ? 'lost' : 'failed', 0);
      return;
    }
    measures.retries += 1;
    this.enqueue(attempted);
  }

  private noteSuspicion(): void {
    if (!this.pool.isSuspectedReporter) this.suspectedSince = undefined;
    else this.suspectedSince ??= this.around.clock.now();
  }

  private oneWayMs(target: FakeTarget): number {
    const isLocal = target.dataCentre === this.dataCentre;
    return (isLocal ? LOCAL_MS : this.around.deployment.interDataCentreMs) + this.badLinks.delayMs;
  }

  private poll(): void {
    const { clock, deployment } = this.around;
    const askedAt = clock.now();
    const digest = this.pool.takeDigest();
    const req = { from: this.vm, service: deployment.name, revision: 1, ...digest };
    this.failedPolls += 1;
    if (this.failedPolls > FAILED_POLLS_TO_MOVE) {
      this.failedPolls = 1;
      this.rank = (this.rank + 1) % COORDINATORS;
    }
    this.around.poll(this, this.rank, req, (res) => {
      if (this.store.isDisposed) return;
      this.failedPolls = 0;
      this.pool.update(res, askedAt);
      this.noteSuspicion();
      this.queue.wake();
    });
  }
}
