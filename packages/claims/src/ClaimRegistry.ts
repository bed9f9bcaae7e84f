/** At-most-once claims of one entry: acquires claims for its own requests and stores those of the fleet. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { Random } from '@marigoldbank/base/random';
import { ClaimAttempt, type AttemptResult } from './ClaimAttempt.js';
import { ClaimHolder } from './ClaimHolder.js';
import {
  ATTEMPT_TIMEOUT_MS,
  DISPATCH_WINDOW_MS,
  MAX_BACKOFF_MS,
  MAX_OUTCOME_BYTES,
  MIN_BACKOFF_MS,
  UNAVAILABLE_PAUSE_MS,
} from './constants.js';
import { ResolveSender } from './ResolveSender.js';
import { holdersOf, shardOf } from './sharding.js';
import type {
  ClaimOutcome,
  ClaimRecord,
  ClaimRequest,
  ClaimResponse,
  ClaimTransport,
  ClaimView,
  IClaimRegistry,
  OwnedClaim,
  RecoverClaimsRequest,
  RecoverClaimsResponse,
  ResolveClaimRequest,
  ResolveClaimResponse,
} from './types.js';

export interface ClaimRegistryOptions {
  /** Name of this VM in the view. */
  readonly self: string;
  /** Increases with each start of the process on this VM. */
  readonly incarnation: number;
  readonly clock: Clock;
  readonly transport: ClaimTransport;
  /** Seed of the random backoff between attempts. */
  readonly seed?: number;
  /**
   * True only at the first start of a fleet, when no entry made a claim within the last 10 min. Otherwise a fleet whose
   * holders have all restarted refuses claims for 10 min.
   */
  readonly startsEmpty?: boolean;
}

/** Acquisition of a key for one request, over several attempts. */
interface Acquisition {
  readonly team: string;
  readonly key: string;
  readonly fingerprint: string;
  readonly deadline: number;
  /** Claims of earlier attempts of this acquisition. */
  readonly abandonedClaimIds: Set<string>;
}

/** A claim that this entry has made. */
interface LocalClaim {
  readonly record: ClaimRecord;
  readonly view: ClaimView;
  readonly createdAt: number;
}

export class ClaimRegistry implements IClaimRegistry {
  private readonly holder: ClaimHolder;

  private readonly random: Random;

  private readonly senders = new Set<ResolveSender>();

  private readonly pendingWaits = new Set<() => void>();

  private claimCount = 0;

  private isDisposed = false;

  public constructor(private readonly options: ClaimRegistryOptions) {
    const { self, incarnation, clock, transport, startsEmpty = false } = options;
    this.holder = new ClaimHolder({ self, incarnation, clock, transport, startsEmpty });
    this.random = new Random(options.seed ?? incarnation);
  }

  /** Shards that this entry holds but does not serve until they are recovered. */
  public get recoveringShards(): readonly number[] {
    return this.holder.recoveringShards;
  }

  /** Number of keys held in memory. */
  public get keyCount(): number {
    return this.holder.keyCount;
  }

  public setView(view: ClaimView): void {
    this.holder.setView(view);
  }

  public markViewAccepted(epoch: number, at: number): void {
    this.holder.markViewAccepted(epoch, at);
  }

  public async claim(
    team: string,
    key: string,
    fingerprint: string,
    deadlineMs: number,
  ): Promise<ClaimOutcome> {
    const deadline = this.options.clock.now() + deadlineMs;
    const acquisition: Acquisition = {
      team,
      key,
      fingerprint,
      deadline,
      abandonedClaimIds: new Set(),
    };
    let last: ClaimOutcome = { kind: 'unavailable', reason: 'no view of the fleet' };
    while (!this.isDisposed && this.options.clock.now() < deadline) {
      const { view } = this.holder;
      const attempted = view === undefined ? undefined : await this.attempt(acquisition, view);
      if (attempted?.isFinal) return attempted.outcome;
      if (attempted !== undefined) last = attempted.outcome;
      const pauseMs =
        last.kind === 'unavailable'
          ? UNAVAILABLE_PAUSE_MS
          : this.random.between(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
      await this.pause(pauseMs, deadline);
    }
    return last;
  }

  public handleClaim(req: ClaimRequest): ClaimResponse {
    return this.holder.handleClaim(req);
  }

  public handleResolve(req: ResolveClaimRequest): ResolveClaimResponse {
    return this.holder.handleResolve(req);
  }

  public handleRecover(req: RecoverClaimsRequest): RecoverClaimsResponse {
    return this.holder.handleRecover(req);
  }

  public dispose(): void {
    this.isDisposed = true;
    this.holder.dispose();
    this.senders.forEach((sender) => sender.dispose());
    this.senders.clear();
    this.pendingWaits.forEach((end) => end());
    this.pendingWaits.clear();
  }

  private async attempt(
    acquisition: Acquisition,
    view: ClaimView,
  ): Promise<{ readonly outcome: ClaimOutcome; readonly isFinal: boolean }> {
    const localClaim = this.buildClaim(acquisition, view);
    const result = await this.askHolders(localClaim, acquisition);
    if (result.kind === 'owned') {
      return {
        outcome: { kind: 'owned', claim: this.createOwnedClaim(localClaim) },
        isFinal: true,
      };
    }
    // Only this entry could dispatch a request under the claim and will not, so the claim need not block the key.
    acquisition.abandonedClaimIds.add(localClaim.record.claimId);
    this.resolve(localClaim, 'released', undefined).catch(() => undefined);
    return ClaimRegistry.toOutcome(result, acquisition);
  }

  private static toOutcome(
    result: Exclude<AttemptResult, { kind: 'owned' }>,
    acquisition: Acquisition,
  ): { readonly outcome: ClaimOutcome; readonly isFinal: boolean } {
    if (result.kind === 'unsure') {
      const reason = 'no majority of the claim holders answered';
      return { outcome: { kind: 'unavailable', reason }, isFinal: false };
    }
    const { existing } = result;
    const isFinal = result.kind === 'done' || result.isMajority;
    if (existing.fingerprint !== acquisition.fingerprint) {
      return { outcome: { kind: 'mismatch' }, isFinal };
    }
    if (result.kind === 'blocked') return { outcome: { kind: 'inProgress' }, isFinal };
    const { outcome } = existing;
    const isKept = outcome !== undefined && outcome.byteLength > 0;
    return {
      outcome: isKept ? { kind: 'completed', outcome } : { kind: 'completedNotKept' },
      isFinal,
    };
  }

  private buildClaim(acquisition: Acquisition, view: ClaimView): LocalClaim {
    const { self, incarnation, clock } = this.options;
    this.claimCount += 1;
    const record: ClaimRecord = {
      team: acquisition.team,
      key: acquisition.key,
      owner: self,
      claimId: `${self}:${incarnation}:${this.claimCount}`,
      fingerprint: acquisition.fingerprint,
      state: 'pending',
      outcome: undefined,
      ageMs: 0,
    };
    return { record, view, createdAt: clock.now() };
  }

  private askHolders(localClaim: LocalClaim, acquisition: Acquisition): Promise<AttemptResult> {
    const { record, view } = localClaim;
    const holders = holdersOf(view, shardOf(record.team, record.key));
    const attempt = new ClaimAttempt(holders, acquisition.abandonedClaimIds);
    const req: ClaimRequest = { from: this.options.self, viewEpoch: view.epoch, record };
    return new Promise((resolve) => {
      const timeoutMs = Math.min(
        ATTEMPT_TIMEOUT_MS,
        acquisition.deadline - this.options.clock.now(),
      );
      let timer: IDisposable | undefined;
      let expire: () => void = () => undefined;
      const settle = (mustDecide: boolean): void => {
        const result = attempt.decide(mustDecide);
        if (result === undefined) return;
        timer?.dispose();
        this.pendingWaits.delete(expire);
        resolve(result);
      };
      expire = () => settle(true);
      timer = this.options.clock.setTimeout(expire, timeoutMs);
      this.pendingWaits.add(expire);
      holders.forEach((holder) => {
        this.sendClaim(holder, req)
          .then((res) => attempt.add(holder, res))
          .catch(() => attempt.fail(holder))
          .finally(() => settle(false));
      });
    });
  }

  private async sendClaim(holder: string, req: ClaimRequest): Promise<ClaimResponse> {
    return holder === this.options.self
      ? this.holder.handleClaim(req)
      : this.options.transport.claim(holder, req);
  }

  private createOwnedClaim(localClaim: LocalClaim): OwnedClaim {
    let isOpen = true;
    return {
      mayDispatch: () =>
        isOpen &&
        !this.isDisposed &&
        this.options.clock.now() - localClaim.createdAt < DISPATCH_WINDOW_MS,
      complete: (outcome) => {
        isOpen = false;
        const kept = outcome.byteLength > MAX_OUTCOME_BYTES ? undefined : outcome;
        return this.resolve(localClaim, 'done', kept);
      },
      release: () => {
        isOpen = false;
        return this.resolve(localClaim, 'released', undefined);
      },
    };
  }

  private async resolve(
    localClaim: LocalClaim,
    state: 'done' | 'released',
    outcome: Uint8Array | undefined,
  ): Promise<void> {
    if (this.isDisposed) return;
    const ageMs = this.options.clock.now() - localClaim.createdAt;
    const record: ClaimRecord = { ...localClaim.record, state, outcome, ageMs };
    const sender: ResolveSender = new ResolveSender({
      clock: this.options.clock,
      holders: () => this.resolveHolders(localClaim),
      send: (holder) => this.sendResolve(holder, record),
      onEnd: () => this.senders.delete(sender),
    });
    this.senders.add(sender);
    await sender.run();
  }

  private resolveHolders(localClaim: LocalClaim): readonly string[] {
    const shard = shardOf(localClaim.record.team, localClaim.record.key);
    const currentView = this.holder.view ?? localClaim.view;
    return [...new Set([...holdersOf(localClaim.view, shard), ...holdersOf(currentView, shard)])];
  }

  private async sendResolve(holder: string, record: ClaimRecord): Promise<boolean> {
    const viewEpoch = this.holder.view?.epoch ?? 0;
    const req: ResolveClaimRequest = { from: this.options.self, viewEpoch, record };
    const res =
      holder === this.options.self
        ? this.holder.handleResolve(req)
        : await this.options.transport.resolve(holder, req);
    return res.isStored;
  }

  /** Waits for `durationMs`, but not beyond the deadline. */
  private pause(durationMs: number, deadline: number): Promise<void> {
    const { clock } = this.options;
    const leftMs = Math.max(0, deadline - clock.now());
    return new Promise((resolve) => {
      const end = (): void => {
        this.pendingWaits.delete(end);
        resolve();
      };
      this.pendingWaits.add(end);
      clock.setTimeout(end, Math.min(durationMs, leftMs));
    });
  }
}
