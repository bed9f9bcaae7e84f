/** Stores claims for the fleet: this entry's part in the replication of claims. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { ClaimStore, type OutcomeBudget } from './ClaimStore.js';
import {
  FRESHNESS_MS,
  DRIFT_FACTOR,
  MAX_STORED_BYTES,
  MAX_VIEWS,
  RECOVERY_RETRY_MS,
  RETENTION_MS,
  SHARD_COUNT,
  SHARDS_PER_SWEEP,
  SWEEP_INTERVAL_MS,
} from './constants.js';
import { Incarnations } from './Incarnations.js';
import { holdersOf, shardOf } from './sharding.js';
import { ShardRecovery } from './ShardRecovery.js';
import { ShardState } from './ShardState.js';
import type {
  ClaimRequest,
  ClaimResponse,
  ClaimTransport,
  ClaimView,
  HolderIncarnation,
  RecoverClaimsRequest,
  RecoverClaimsResponse,
  ResolveClaimRequest,
  ResolveClaimResponse,
} from './types.js';

export interface ClaimHolderOptions {
  readonly self: string;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly transport: ClaimTransport;
  /** No entry of the fleet made a claim within the last 10 min: the first view needs no recovery. */
  readonly startsEmpty: boolean;
}

export class ClaimHolder implements IDisposable {
  private readonly shards: readonly ShardState[];

  private readonly incarnations = new Incarnations();

  private readonly budget: OutcomeBudget = { freeBytes: MAX_STORED_BYTES };

  /** Newest last. */
  private views: readonly ClaimView[] = [];

  /** Unfinished recoveries by view and shard. */
  private readonly recoveries = new Map<ClaimView, Map<number, ShardRecovery>>();

  private readonly timers: readonly IDisposable[];

  private readonly startedAt: number;

  /** Time at which every claim that a recovery must find, from an earlier incarnation or view, has expired. */
  private lostClaimsExpiredAt = Infinity;

  private nextSweep = 0;

  public constructor(private readonly options: ClaimHolderOptions) {
    const { self, incarnation, clock } = options;
    this.incarnations.observe(self, incarnation);
    this.startedAt = clock.now();
    this.shards = Array.from(
      { length: SHARD_COUNT },
      (_, shard) => new ShardState(shard, new ClaimStore(clock, this.budget)),
    );
    this.timers = [
      setPeriodic(clock, () => this.recover(), RECOVERY_RETRY_MS),
      setPeriodic(clock, () => this.sweep(), SWEEP_INTERVAL_MS),
    ];
  }

  public get view(): ClaimView | undefined {
    return this.views.at(-1);
  }

  /** Shards of the current view that this entry holds but does not serve until they are recovered. */
  public get recoveringShards(): readonly number[] {
    const { view } = this;
    return view === undefined ? [] : [...(this.recoveries.get(view)?.keys() ?? [])];
  }

  /** Number of keys in memory. */
  public get keyCount(): number {
    return this.shards.reduce((sum, state) => sum + state.store.keyCount, 0);
  }

  public setView(view: ClaimView): void {
    const previous = this.view;
    if (previous !== undefined && view.epoch <= previous.epoch) return;
    const { self, clock } = this.options;
    const earlier = [...this.views].reverse();
    this.views = [...this.views, view].slice(-MAX_VIEWS);
    this.lostClaimsExpiredAt = Infinity;
    const held = this.shards.filter((state) => holdersOf(view, state.shard).includes(self));
    if (previous === undefined && this.options.startsEmpty) {
      held.forEach((state) => state.markReady(view.epoch, undefined));
      return;
    }
    const added = held.map(({ shard }) => {
      const recovery = new ShardRecovery(self, shard, view, earlier, clock.now());
      return [shard, recovery] as const;
    });
    this.recoveries.set(view, new Map(added));
    [...this.recoveries.keys()]
      .filter((known) => !this.views.includes(known))
      .forEach((known) => this.recoveries.delete(known));
    this.recover();
  }

  /** Records that the fleet accepted the current view at `at` or earlier. */
  public markViewAccepted(epoch: number, at: number): void {
    if (epoch !== this.view?.epoch) return;
    // Entries without the accepted view are no longer current then, and dispatch nothing under claims of earlier views.
    const lastLostClaimAt = Math.max(this.startedAt, at + FRESHNESS_MS * DRIFT_FACTOR);
    this.lostClaimsExpiredAt = Math.min(this.lostClaimsExpiredAt, lastLostClaimAt + RETENTION_MS);
  }

  public handleClaim(req: ClaimRequest): ClaimResponse {
    const { record } = req;
    const shard = shardOf(record.team, record.key);
    const state = this.shards[shard]!;
    if (!state.isServing(req.viewEpoch)) {
      const isOtherEpoch = this.view?.epoch !== req.viewEpoch;
      return this.respond(shard, isOtherEpoch ? 'wrongEpoch' : 'recovering');
    }
    const blocking = state.store.findBlocking(record);
    if (blocking !== undefined) return this.respond(shard, 'taken', blocking);
    // A late copy of a request whose claim is already done or released does not change the stored state.
    state.store.put(record);
    const isPending = state.store.find(record)?.state === 'pending';
    return this.respond(shard, isPending ? 'granted' : 'taken');
  }

  public handleResolve(req: ResolveClaimRequest): ResolveClaimResponse {
    const { record } = req;
    const { store } = this.shards[shardOf(record.team, record.key)]!;
    const isKnown = store.find(record) !== undefined;
    // A late result must not be stored in addition to a newer claim of the same key.
    if (!isKnown && store.findBlocking(record) !== undefined) return { isStored: false };
    store.put(record);
    return { isStored: true };
  }

  public handleRecover(req: RecoverClaimsRequest): RecoverClaimsResponse {
    this.incarnations.observe(req.from, req.incarnation);
    const states = req.shards.flatMap((shard) => this.shards[shard] ?? []);
    const answers = states.flatMap((state) => {
      const answer = state.answerRecovery(req.from, req.incarnation, req.viewEpoch);
      return answer === undefined ? [] : [{ answer, records: state.store.list() }];
    });
    return {
      records: answers.flatMap(({ records }) => records),
      shards: answers.map(({ answer }) => answer),
      incarnations: this.incarnations.listAll(),
    };
  }

  public dispose(): void {
    this.timers.forEach((timer) => timer.dispose());
    this.recoveries.clear();
  }

  private respond(
    shard: number,
    result: ClaimResponse['result'],
    existing?: ClaimResponse['existing'],
  ): ClaimResponse {
    return {
      result,
      existing,
      holder: this.options.self,
      incarnations: this.knownIncarnations(shard),
      viewEpoch: this.view?.epoch ?? 0,
    };
  }

  private knownIncarnations(shard: number): HolderIncarnation[] {
    return this.incarnations.list([...new Set([this.options.self, ...this.knownHolders(shard)])]);
  }

  private knownHolders(shard: number): string[] {
    return this.views.flatMap((view) => holdersOf(view, shard));
  }

  /** Requests the missing shards, with one message for each view and source; this entry can be a source itself. */
  private recover(): void {
    this.completeByAge();
    this.completeWithoutAnswers();
    const now = this.options.clock.now();
    this.recoveries.forEach((byShard, view) => {
      const shardsBySource = new Map<string, number[]>();
      byShard.forEach((recovery) => {
        if (!recovery.beginRoundIfDue(now)) return;
        recovery.sourcesAt(now).forEach((source) => {
          const shards = shardsBySource.get(source) ?? [];
          shards.push(recovery.shard);
          shardsBySource.set(source, shards);
        });
      });
      shardsBySource.forEach((shards, source) => this.requestRecovery(source, view, shards));
    });
  }

  private requestRecovery(source: string, view: ClaimView, shards: readonly number[]): void {
    const { self, incarnation, transport } = this.options;
    const req: RecoverClaimsRequest = { from: self, incarnation, viewEpoch: view.epoch, shards };
    if (source === self) {
      this.acceptRecovery(self, view, this.handleRecover(req));
      return;
    }
    transport
      .recover(source, req)
      .then((res) => this.acceptRecovery(source, view, res))
      .catch(() => undefined);
  }

  private acceptRecovery(source: string, view: ClaimView, res: RecoverClaimsResponse): void {
    this.incarnations.merge(res.incarnations);
    res.records.forEach((record) => {
      this.shards[shardOf(record.team, record.key)]!.store.put(record);
    });
    const own = res.incarnations.find((known) => known.vm === source);
    if (own === undefined) return;
    res.shards.forEach((answer) => {
      const recovery = this.recoveries.get(view)?.get(answer.shard);
      if (recovery === undefined) return;
      recovery.add(source, own.incarnation, answer);
      const result = recovery.evaluate(this.incarnations);
      if (result !== undefined) this.complete(recovery, result.predecessor);
    });
  }

  /** Completes recoveries without a source once every claim that this holder may have lost has expired. */
  private completeByAge(): void {
    const { view } = this;
    if (view === undefined || this.options.clock.now() < this.lostClaimsExpiredAt) return;
    this.recoveries.get(view)?.forEach((recovery) => this.complete(recovery, undefined));
  }

  /** Completes recoveries for the first view of a fleet, which need no answers since an empty view precedes it. */
  private completeWithoutAnswers(): void {
    this.recoveries.forEach((byShard) =>
      byShard.forEach((recovery) => {
        const result = recovery.evaluate(this.incarnations);
        if (result !== undefined) this.complete(recovery, result.predecessor);
      }),
    );
  }

  /** Marks the shard as ready and ends its recoveries for this view and earlier ones. */
  private complete(recovery: ShardRecovery, predecessor: number | undefined): void {
    const { shard } = recovery;
    this.shards[shard]!.markReady(recovery.view.epoch, predecessor);
    this.recoveries.forEach((byShard, view) => {
      if (view.epoch <= recovery.view.epoch) byShard.delete(shard);
    });
  }

  private sweep(): void {
    Array.from({ length: SHARDS_PER_SWEEP }, () => {
      this.shards[this.nextSweep]!.store.sweep();
      this.nextSweep = (this.nextSweep + 1) % SHARD_COUNT;
      return undefined;
    });
  }
}
