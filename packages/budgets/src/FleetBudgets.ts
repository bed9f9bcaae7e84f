/** One entry's part of the fleet-wide limits: lends tokens of the buckets it holds and borrows tokens from others. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { firstOfEachDataCentre } from '@marigoldbank/base/rendezvous';
import {
  DEFAULT_RETRY_AFTER_MS,
  IDLE_MS,
  DEFAULT_TIMING,
  type BudgetTiming,
  MAX_PREFETCH_FRACTION,
  MAX_RETRY_AFTER_MS,
  SWEEP_INTERVAL_MS,
} from './constants.js';
import { HeldBuckets } from './HeldBuckets.js';
import { IdleMap } from './IdleMap.js';
import { LoanClient } from './LoanClient.js';
import type { BorrowedLoan } from './BorrowedLoan.js';
import { TeamBorrowing } from './TeamBorrowing.js';
import type { TokenBucket } from './TokenBucket.js';
import type {
  BorrowRequest,
  BorrowResponse,
  BudgetTransport,
  BudgetView,
  IFleetBudgets,
  LimitLookup,
  Reservation,
  ReserveOutcome,
} from './types.js';

export interface FleetBudgetsOptions {
  /** Name of this VM in the view. */
  readonly self: string;
  /** Differs at each start of this VM, so that reports on loans of an earlier run are ignored. */
  readonly incarnation: string;
  readonly clock: Clock;
  readonly transport: BudgetTransport;
  /**
   * Whether the entry has confirmed within the last 2,000 ms that it has not missed an accepted change. Checked
   * synchronously: a holder lends tokens, and a token is used, only while this returns true.
   */
  readonly isCurrent: () => boolean;
  /** Must be the same at all entries. */
  readonly timing?: Partial<BudgetTiming>;
}

/** A token reserved from a loan or from a bucket that this entry holds. */
interface ReservedToken {
  readonly expiresAt: number;
  readonly use: () => void;
  readonly giveBack: () => void;
}

export class FleetBudgets implements IFleetBudgets {
  private readonly held: HeldBuckets;

  private readonly client: LoanClient;

  private readonly teams = new IdleMap<TeamBorrowing>();

  private readonly sweeper: IDisposable;

  private loanCount = 0;

  private readonly timing: BudgetTiming;

  public constructor(private readonly options: FleetBudgetsOptions) {
    const { self, clock, transport } = options;
    this.timing = { ...DEFAULT_TIMING, ...options.timing };
    this.held = new HeldBuckets(self, clock.now(), this.timing);
    this.client = new LoanClient({
      self,
      clock,
      transport,
      loanLifetimeMs: this.timing.loanLifetimeMs,
      epoch: () => this.held.view?.epoch ?? 0,
      onLoan: (loan) => this.receiveLoan(loan),
    });
    this.sweeper = setPeriodic(clock, () => this.sweep(), SWEEP_INTERVAL_MS);
  }

  /** Number of teams with state in memory, as borrower and as holder. */
  public get teamsInMemory(): { readonly borrowing: number; readonly held: number } {
    return { borrowing: this.teams.size, held: this.held.size };
  }

  public setView(view: BudgetView): void {
    this.held.adoptView(view, this.options.clock.now(), this.options.isCurrent());
    this.client.retainLenders(new Set(view.entries.map((entry) => entry.vm)));
  }

  public markViewAccepted(epoch: number, at: number): void {
    this.held.retireOlderViews(epoch, at, this.options.clock.now());
  }

  public setLimits(limits: LimitLookup): void {
    this.held.adoptLimits(limits, this.options.clock.now(), this.options.isCurrent());
  }

  public markLimitsAccepted(at: number): void {
    this.held.retireOlderLimits(at, this.options.clock.now());
  }

  public async reserve(team: string, deadlineMs: number): Promise<ReserveOutcome> {
    if (this.held.limitLookup?.(team) === undefined) return { kind: 'unknownTeam' };
    const borrowing = this.borrowingOf(team);
    borrowing.recordDemand();
    const local = borrowing.takeBorrowed();
    if (local !== undefined) return this.reserved(team, this.fromLoan(local));
    const own = this.takeOwn(team);
    if (own !== undefined) return this.reserved(team, own);
    const loan = await borrowing.borrow(deadlineMs);
    if (loan !== undefined) return this.reserved(team, this.fromLoan(loan));
    return { kind: 'overLimit', retryAfterMs: this.retryAfterMs(team, borrowing) };
  }

  public handleBorrow(req: BorrowRequest): BorrowResponse {
    const now = this.options.clock.now();
    req.reports?.forEach((report) => {
      const bucket = this.held.findExisting(report.team, now);
      bucket?.settle(report.loan, report.used, report.returned);
    });
    const items = req.items.map((item) => this.lend(item.team, item.wanted, item.urgent, now));
    return { items };
  }

  public dispose(): void {
    this.sweeper.dispose();
    this.client.dispose();
    this.teams.clear();
    this.held.clear();
  }

  private lend(
    team: string,
    wanted: number,
    urgent: number | undefined,
    now: number,
  ): BorrowResponse['items'][number] {
    const bucket = this.lendableBucket(team, now);
    if (bucket === undefined) {
      return { team, granted: 0, retryAfterMs: this.holderWaitMs(now) };
    }
    const needed = Math.min(urgent ?? wanted, wanted, bucket.available);
    const spare = Math.floor((bucket.available - needed) * MAX_PREFETCH_FRACTION);
    const granted = needed + Math.min(wanted - needed, spare);
    if (granted <= 0) return { team, granted: 0, retryAfterMs: bucket.retryAfterMs(now) };
    const loanId = this.nextLoanId();
    bucket.lend(loanId, granted, now);
    return { team, granted, retryAfterMs: bucket.retryAfterMs(now), loan: loanId };
  }

  /** The bucket of a team if this entry may lend from it. */
  private lendableBucket(team: string, now: number): TokenBucket | undefined {
    return this.options.isCurrent() ? this.held.find(team, now) : undefined;
  }

  /** Retry delay for a borrower while this entry may not lend tokens of the team. */
  private holderWaitMs(now: number): number {
    const waitMs = this.held.waitMs(now);
    return waitMs > 0 ? Math.min(MAX_RETRY_AFTER_MS, Math.ceil(waitMs)) : DEFAULT_RETRY_AFTER_MS;
  }

  private nextLoanId(): string {
    this.loanCount += 1;
    return `${this.options.incarnation}:${this.loanCount}`;
  }

  /** Takes a token of a bucket that this entry holds. It is lent to the entry itself until it is used or given back. */
  private takeOwn(team: string): ReservedToken | undefined {
    const now = this.options.clock.now();
    const bucket = this.lendableBucket(team, now);
    if (bucket === undefined || bucket.available < 1) return undefined;
    const loanId = this.nextLoanId();
    bucket.lend(loanId, 1, now);
    const settle = (used: number, returned: number): void =>
      this.held.findExisting(team, this.options.clock.now())?.settle(loanId, used, returned);
    return {
      expiresAt: now + this.timing.loanLifetimeMs,
      use: () => settle(1, 0),
      giveBack: () => settle(0, 1),
    };
  }

  private fromLoan(loan: BorrowedLoan): ReservedToken {
    return {
      expiresAt: loan.data.expiresAt,
      use: () => {
        loan.markUsed();
        this.client.report(loan);
      },
      giveBack: () => {
        loan.unreserve();
        this.borrowingOf(loan.data.team).tokens.add(loan);
      },
    };
  }

  private reserved(team: string, token: ReservedToken): ReserveOutcome {
    const now = this.options.clock.now();
    const own = this.held.findExisting(team, now)?.available ?? 0;
    const remaining = own + this.borrowingOf(team).tokens.countFree(now);
    return { kind: 'reserved', reservation: this.buildReservation(token), remaining };
  }

  private buildReservation(token: ReservedToken): Reservation {
    let isPending = true;
    const close = (): boolean => {
      const wasPending = isPending;
      isPending = false;
      return wasPending;
    };
    const isValid = (): boolean =>
      this.options.clock.now() < token.expiresAt && this.options.isCurrent();
    return {
      consume: () => {
        if (!close() || !isValid()) return false;
        token.use();
        return true;
      },
      release: () => {
        if (close()) token.giveBack();
      },
    };
  }

  private retryAfterMs(team: string, borrowing: TeamBorrowing): number {
    const now = this.options.clock.now();
    const own = this.lendableBucket(team, now)?.retryAfterMs(now) ?? Infinity;
    return Math.max(1, Math.min(own, borrowing.retryAfterMs, MAX_RETRY_AFTER_MS));
  }

  private receiveLoan(loan: BorrowedLoan): void {
    this.borrowingOf(loan.data.team).receive(loan);
  }

  private borrowingOf(team: string): TeamBorrowing {
    const now = this.options.clock.now();
    const known = this.teams.use(team, now);
    if (known !== undefined) return known;
    const { clock } = this.options;
    const { client } = this;
    let ranked: { readonly view: BudgetView; readonly holders: readonly string[] } | undefined;
    const holders = (): readonly string[] => {
      const { view } = this.held;
      if (view === undefined) return [];
      if (ranked?.view !== view) ranked = { view, holders: this.rankHolders(team, view) };
      return ranked.holders;
    };
    return this.teams.add(team, new TeamBorrowing({ team, clock, client, holders }), now);
  }

  /** Other holders of the team's buckets, the one in this entry's data centre first. */
  private rankHolders(team: string, view: BudgetView): readonly string[] {
    const { self } = this.options;
    const dataCentre = view.entries.find((entry) => entry.vm === self)?.dataCentre;
    const holders = firstOfEachDataCentre(team, view.entries);
    const local = holders.filter((holder) => holder.dataCentre === dataCentre);
    const remote = holders.filter((holder) => holder.dataCentre !== dataCentre);
    return [...local, ...remote].map((holder) => holder.vm).filter((vm) => vm !== self);
  }

  private sweep(): void {
    const now = this.options.clock.now();
    this.teams.sweep(now - IDLE_MS, now, (_, borrowing) => {
      // Drops expired loans, on which isIdle depends.
      borrowing.tokens.countFree(now);
      return borrowing.isIdle;
    });
    this.held.sweep(now);
  }
}
