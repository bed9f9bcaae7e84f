/** Callers, entries and targets of one service in virtual time. Callers return after a refusal, a few times at most. */
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { levelRetryMs } from '../level-retry.js';
import { SERVICE, type SimAdmission } from './SimAdmission.js';
import type { SimRouting } from './SimRouting.js';
import { SimTargets, type SimResult } from './SimTargets.js';

const MAX_SENDS = 3;
const MAX_RETURNS = 2;
const VIEW_MS = 100;
const SAMPLED_TARGETS = 6;

export interface SimKind {
  readonly rank: number;
  readonly perSecond: number;
  readonly workMs: number;
  readonly deadlineMs: number;
}

/** Callers by rank and team, counted by the time of their first request. */
export interface SimCallers {
  readonly rank: number;
  readonly team: string;
  callers: number;
  served: number;
}

export interface SimOptions {
  readonly seed: number;
  readonly entries: number;
  readonly targets: number;
  readonly kinds: readonly SimKind[];
  readonly teams: ReadonlyMap<string, number>;
  /** Requests wait at their entry for its part of the slots, in the order of rank. */
  readonly isQueueing?: boolean;
  /** Without it all requests are admitted. */
  readonly admission: (sim: AdmissionSim) => SimAdmission | undefined;
  /** Without it entries choose among all targets, and send rejected requests again without a budget. */
  readonly routing?: (sim: AdmissionSim) => SimRouting;
}

/** No growth. */
const USUAL = (): number => 1;

interface Waiting {
  readonly kind: SimKind;
  readonly dueAt: number;
  readonly start: () => void;
}

interface Request {
  readonly kind: SimKind;
  readonly team: string;
  readonly record: SimCallers | undefined;
  readonly returns: number;
}

export class AdmissionSim {
  public readonly clock = new VirtualClock();

  public readonly targets: SimTargets;

  /** Requests that were refused by the admission. */
  public refused = 0;

  /** Multiples of the usual demand. */
  public growthOf: (kind: SimKind, team: string) => number = USUAL;

  private readonly records = new Map<string, SimCallers>();

  private isRecording = false;

  private readonly random: Random;

  private readonly admission: SimAdmission | undefined;

  private readonly routing: SimRouting | undefined;

  private view: readonly number[] = [];

  private readonly open: number[];

  private readonly waiting: Waiting[][];

  public constructor(private readonly options: SimOptions) {
    this.random = new Random(options.seed);
    this.targets = new SimTargets(this.clock, this.random.fork(), options.targets);
    this.open = Array.from({ length: options.entries }, () => 0);
    this.waiting = this.open.map(() => []);
    this.admission = options.admission(this);
    this.routing = options.routing?.(this);
    this.refreshView();
    options.kinds.forEach((kind) =>
      options.teams.forEach((share, team) => this.scheduleArrival(kind, team, share)),
    );
  }

  public run(durationMs: number): void {
    this.clock.advance(durationMs);
  }

  public loseHub(): void {
    this.admission?.loseHub?.();
    this.routing?.loseHub?.();
  }

  /** Records the callers that come from now on, until `stopRecording`. */
  public startRecording(): void {
    this.isRecording = true;
  }

  public stopRecording(): readonly SimCallers[] {
    this.isRecording = false;
    return [...this.records.values()];
  }

  private scheduleArrival(kind: SimKind, team: string, share: number): void {
    const perSecond = kind.perSecond * share * this.growthOf(kind, team);
    // Demand that ends soon is checked again, so that a burst begins in time.
    const waitMs = this.random.exponential(1_000 / Math.max(perSecond, 0.01));
    const checkMs = 200;
    this.clock.setTimeout(
      () => {
        if (waitMs <= checkMs) this.arrive(kind, team);
        this.scheduleArrival(kind, team, share);
      },
      Math.min(waitMs, checkMs),
    );
  }

  private arrive(kind: SimKind, team: string): void {
    this.request({ kind, team, record: this.recordOf(kind, team), returns: 0 });
  }

  private recordOf({ rank }: SimKind, team: string): SimCallers | undefined {
    if (!this.isRecording) return undefined;
    const key = `${rank} ${team}`;
    const record = this.records.get(key) ?? { rank, team, callers: 0, served: 0 };
    this.records.set(key, record);
    record.callers += 1;
    return record;
  }

  private request(request: Request): void {
    const { kind, team } = request;
    const now = this.clock.now();
    const entry = this.routing?.pickEntry() ?? this.random.int(this.options.entries);
    this.routing?.noteOffered(entry, now);
    const asked = { service: SERVICE, rank: kind.rank, team };
    const waitMs = this.admission?.decide(entry, asked, now);
    if (waitMs !== undefined) {
      this.refused += 1;
      this.comeBack(request, levelRetryMs(waitMs, kind.deadlineMs, this.random.float()));
      return;
    }
    const dueAt = now + kind.deadlineMs;
    this.enter(entry, kind, dueAt, () => this.attempt(request, entry, dueAt, 1));
  }

  /** Starts a request, or lets it wait at its entry. */
  private enter(entry: number, kind: SimKind, dueAt: number, start: () => void): void {
    this.waiting[entry]!.push({ kind, dueAt, start });
    this.startWaiting(entry);
  }

  private startWaiting(entry: number): void {
    const { isQueueing, entries } = this.options;
    const most = isQueueing ? Math.max(1, this.targets.slots / entries) : Infinity;
    const waiting = this.waiting[entry]!;
    waiting.sort((a, b) => a.kind.rank - b.kind.rank || a.dueAt - b.dueAt);
    while (waiting.length > 0 && this.open[entry]! < most) {
      const { start, dueAt, kind } = waiting.shift()!;
      if (this.clock.now() + kind.workMs <= dueAt) {
        this.open[entry]! += 1;
        start();
      }
    }
  }

  private attempt(request: Request, entry: number, dueAt: number, sends: number): void {
    const target = this.pickTarget(entry);
    this.routing?.noteSend({ entry, target, isRetry: sends > 1 }, this.clock.now());
    const done = (result: SimResult): void => {
      const now = this.clock.now();
      const load = (this.targets.inFlightAt(target) * this.targets.count) / this.targets.slots;
      const attempt = { isRejected: result === 'rejected', load };
      const isOutOfRoom = this.admission?.noteEnded?.(entry, attempt, now) ?? false;
      const mayRetry = this.routing?.mayRetry(entry, request.kind.rank, now) ?? true;
      if (result === 'rejected' && sends < MAX_SENDS && mayRetry) {
        this.attempt(request, entry, dueAt, sends + 1);
        return;
      }
      this.open[entry]! -= 1;
      this.startWaiting(entry);
      if (result === 'served' && request.record !== undefined) request.record.served += 1;
      if (result === 'rejected' && !isOutOfRoom) this.admission?.noteUnplaced?.(entry);
      if (result === 'rejected') this.comeBack(request, this.random.float() * 400);
    };
    this.targets.send(target, { workMs: request.kind.workMs, dueAt, done });
  }

  private comeBack(request: Request, afterMs: number): void {
    if (request.returns >= MAX_RETURNS) return;
    this.clock.setTimeout(
      () => this.request({ ...request, returns: request.returns + 1 }),
      afterMs,
    );
  }

  /** The least loaded of some targets, by what the entries last heard. With one entry, it knows all targets. */
  private pickTarget(entry: number): number {
    const isExact = this.options.entries === 1;
    const view = isExact ? this.targets.inFlights() : this.view;
    const all = this.routing?.targetsOf(entry, this.random) ?? view.map((_, i) => i);
    const sample = isExact ? all : this.random.sample(all, SAMPLED_TARGETS);
    return sample.reduce((best, i) => (view[i]! < view[best]! ? i : best));
  }

  private refreshView(): void {
    this.view = this.targets.inFlights();
    this.clock.setTimeout(() => this.refreshView(), VIEW_MS);
  }
}
