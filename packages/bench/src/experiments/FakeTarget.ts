/** A simulated upstream instance with slots, a short queue, load shedding and injected faults. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { Announcement, AnnouncedState, AttemptOutcome } from '@marigoldbank/ejection';
import type { Deployment } from './deployments.js';

/** Result of one attempt at a target. */
export interface TargetAnswer {
  readonly outcome: AttemptOutcome;
  /** Time for which the request ran at the target. */
  readonly serviceMs: number;
}

export interface Fault {
  /** Factor on the service time. */
  readonly slowFactor?: number;
  /** Probability that a request fails. */
  readonly failRate?: number;
}

interface Job {
  readonly deadlineAt: number;
  readonly isPoison: boolean;
  readonly onAnswer: (answer: TargetAnswer) => void;
}

const HEALTHY_FAIL_RATE = 0.002;

/** Stalls of the whole process at random intervals, as garbage collection or a disk causes on a healthy target. */
const STALL_INTERVAL_MS = 20_000;
const STALL_MEDIAN_MS = 60;
const STALL_SIGMA = 0.5;

const COLD_MS = 5_000;
const COLD_FACTOR = 4;
const RESTART_MS = 2_000;

export class FakeTarget {
  public state: AnnouncedState = 'up';

  public isRunning = true;

  public fault: Fault = {};

  /** Factor on the service time that sets the capacity; scenarios use one value for all targets, and it is no fault. */
  public paceFactor = 1;

  /** Until this time an ejection of the target counts as justified, besides while a fault is active. */
  public faultyUntil = Number.NEGATIVE_INFINITY;

  public crashes = 0;

  /** Requests that arrived after `leavingAt`. */
  public startedAfterLeaving = 0;

  /** Time after which a leaving target must get no new requests. */
  public leavingAt = Number.POSITIVE_INFINITY;

  private incarnation = 1;

  private sequence = 0;

  private coldUntil = 0;

  private stalledUntil = 0;

  private readonly running = new Set<Job>();

  private queue: Job[] = [];

  public constructor(
    public readonly id: string,
    public readonly dataCentre: string,
    private readonly deployment: Deployment,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.scheduleStall();
  }

  public announce(): Announcement {
    this.sequence += 1;
    const { slots, maxConnections, name } = this.deployment;
    return {
      service: name,
      target: this.id,
      address: `${this.id}:80`,
      dataCentre: this.dataCentre,
      incarnation: this.incarnation,
      sequence: this.sequence,
      state: this.state,
      slots,
      maxConnections,
      isCold: this.clock.now() < this.coldUntil,
      ageMs: 0,
    };
  }

  public get isFaulty(): boolean {
    const { slowFactor = 1, failRate = 0 } = this.fault;
    return slowFactor > 1 || failRate > 0 || !this.isRunning || this.clock.now() < this.faultyUntil;
  }

  /** Runs a request. `onAnswer` is not called if the request is still queued at its deadline. */
  public run(job: Job): void {
    if (!this.isRunning) {
      job.onAnswer({ outcome: 'failed', serviceMs: 0 });
      return;
    }
    if (this.clock.now() > this.leavingAt) this.startedAfterLeaving += 1;
    if (this.running.size < this.deployment.slots) this.start(job);
    else if (this.queue.length < this.deployment.slots) this.queue.push(job);
    else job.onAnswer({ outcome: 'shed', serviceMs: 0 });
  }

  /** Ends the process and loses all requests in flight. It restarts cold after `restartMs`, never if that is infinite. */
  public crash(restartMs = RESTART_MS): void {
    this.crashes += 1;
    this.isRunning = false;
    const lost = [...this.running, ...this.queue];
    this.running.clear();
    this.queue = [];
    lost.forEach((job) => job.onAnswer({ outcome: 'connectionLost', serviceMs: 0 }));
    if (restartMs < Number.POSITIVE_INFINITY) {
      this.clock.setTimeout(() => this.restart(), restartMs);
    }
  }

  public restart(): void {
    this.isRunning = true;
    this.state = 'up';
    this.leavingAt = Number.POSITIVE_INFINITY;
    this.incarnation += 1;
    this.sequence = 0;
    this.coldUntil = this.clock.now() + COLD_MS;
  }

  private start(job: Job): void {
    this.running.add(job);
    if (job.isPoison) {
      this.clock.setTimeout(() => this.running.has(job) && this.crash(), 1);
      return;
    }
    const now = this.clock.now();
    const { slowFactor = 1, failRate = 0 } = this.fault;
    const coldFactor = now < this.coldUntil ? COLD_FACTOR : 1;
    const { serviceMedianMs, serviceSigma } = this.deployment;
    const workMs =
      this.random.logNormal(serviceMedianMs, serviceSigma) *
      slowFactor *
      coldFactor *
      this.paceFactor;
    const serviceMs = workMs + Math.max(0, this.stalledUntil - now);
    const isFailure = this.random.chance(Math.max(failRate, HEALTHY_FAIL_RATE));
    const outcome = isFailure ? 'failed' : 'succeeded';
    this.clock.setTimeout(() => this.end(job, { outcome, serviceMs }), serviceMs);
  }

  private end(job: Job, answer: TargetAnswer): void {
    // A crash has already reported the outcome.
    if (!this.running.delete(job)) return;
    job.onAnswer(answer);
    const now = this.clock.now();
    while (this.queue.length > 0) {
      const next = this.queue.shift()!;
      if (next.deadlineAt > now) {
        this.start(next);
        return;
      }
    }
  }

  private scheduleStall(): void {
    this.clock.setTimeout(() => {
      const stallMs = this.random.logNormal(STALL_MEDIAN_MS, STALL_SIGMA);
      this.stalledUntil = this.clock.now() + stallMs;
      this.scheduleStall();
    }, this.random.exponential(STALL_INTERVAL_MS));
  }
}
