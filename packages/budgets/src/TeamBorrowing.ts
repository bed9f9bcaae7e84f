/** Borrowing for one team: requests that wait for a loan, and the rounds in which the holders are asked in turn. */
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import { BorrowedTokens } from './BorrowedTokens.js';
import {
  DEFAULT_RETRY_AFTER_MS,
  LOAN_LIFETIME_MS,
  MAX_REFUSAL_CACHE_MS,
  PREFETCH_MS,
  RETURN_AGE_MS,
} from './constants.js';
import { DemandMeter } from './DemandMeter.js';
import type { LoanClient } from './LoanClient.js';
import type { BorrowedLoan } from './BorrowedLoan.js';

interface Waiter {
  readonly resolve: (loan: BorrowedLoan | undefined) => void;
  timer: IDisposable | undefined;
}

export interface TeamBorrowingOptions {
  readonly team: string;
  readonly clock: Clock;
  readonly client: LoanClient;
  /** Other holders, in the order in which they are asked. */
  readonly holders: () => readonly string[];
}

export class TeamBorrowing {
  public readonly tokens = new BorrowedTokens();

  private readonly demand = new DemandMeter();

  private waiters: Waiter[] = [];

  /** Also true during a prefetch, so that the team awaits the answer to only one request at a time. */
  private isRoundRunning = false;

  private refusedUntil = -Infinity;

  private retryAt = -Infinity;

  public constructor(private readonly options: TeamBorrowingOptions) {}

  public get isIdle(): boolean {
    return this.waiters.length === 0 && !this.isRoundRunning && this.tokens.isEmpty;
  }

  /** Time in ms until another attempt may succeed. */
  public get retryAfterMs(): number {
    const left = this.retryAt - this.options.clock.now();
    return left > 0 ? Math.ceil(left) : DEFAULT_RETRY_AFTER_MS;
  }

  public recordDemand(): void {
    this.demand.add(this.options.clock.now());
  }

  /** Takes a token that is already borrowed, and prefetches more if too few are left for the expected demand. */
  public takeBorrowed(): BorrowedLoan | undefined {
    const now = this.options.clock.now();
    const loan = this.tokens.take(now);
    if (loan !== undefined) this.prefetch(now);
    return loan;
  }

  /** Waits for a loan; resolves with undefined if all holders refuse or `deadlineMs` has passed. */
  public borrow(deadlineMs: number): Promise<BorrowedLoan | undefined> {
    const now = this.options.clock.now();
    if (deadlineMs <= 0 || now < this.refusedUntil) return Promise.resolve(undefined);
    return new Promise((resolve) => {
      const waiter: Waiter = { resolve, timer: undefined };
      waiter.timer = this.options.client.schedule(() => this.refuse(waiter), deadlineMs);
      this.waiters.push(waiter);
      this.startRound();
    });
  }

  /** Stores a loan and gives its tokens to waiting requests. */
  public receive(loan: BorrowedLoan): void {
    this.tokens.add(loan);
    this.options.client.schedule(() => this.returnSurplus(loan), RETURN_AGE_MS);
    this.serveWaiters();
  }

  /** Resolves all waiting requests without a loan. */
  public refuseAll(): void {
    [...this.waiters].forEach((waiter) => this.refuse(waiter));
  }

  private serveWaiters(): void {
    while (this.waiters.length > 0) {
      const loan = this.tokens.take(this.options.clock.now());
      if (loan === undefined) return;
      const waiter = this.waiters.shift();
      waiter?.timer?.dispose();
      waiter?.resolve(loan);
    }
  }

  private refuse(waiter: Waiter): void {
    waiter.timer?.dispose();
    this.waiters = this.waiters.filter((other) => other !== waiter);
    waiter.resolve(undefined);
  }

  private startRound(): void {
    if (this.isRoundRunning) return;
    this.isRoundRunning = true;
    this.runRound()
      .then(() => {
        this.isRoundRunning = false;
      })
      .catch(() => {
        this.isRoundRunning = false;
      });
  }

  private async runRound(): Promise<void> {
    const { clock, client } = this.options;
    const waits: number[] = [];
    const holders = [...this.options.holders()];
    while (this.waiters.length > 0 && holders.length > 0) {
      const holder = holders[0]!;
      const urgent = this.waiters.length;
      const isAskable = client.isAvailable(holder);
      const answer = isAskable
        ? await client.request(holder, this.options.team, urgent + this.prefetchCount(), urgent)
        : undefined;
      if (answer !== undefined && answer.granted < urgent) waits.push(answer.retryAfterMs);
      // A holder that granted everything may have more tokens for requests that arrived in the meantime.
      if (answer === undefined || answer.granted < urgent) holders.shift();
    }
    if (this.waiters.length === 0) return;
    const waitMs = waits.length === 0 ? DEFAULT_RETRY_AFTER_MS : Math.min(...waits);
    this.retryAt = clock.now() + waitMs;
    if (waits.length > 0) this.refusedUntil = clock.now() + Math.min(waitMs, MAX_REFUSAL_CACHE_MS);
    this.refuseAll();
  }

  /** Number of tokens to borrow in advance of demand. */
  private prefetchCount(): number {
    const now = this.options.clock.now();
    return Math.floor(this.demand.expectedRequests(PREFETCH_MS, now));
  }

  private prefetch(now: number): void {
    const expected = this.demand.expectedRequests(PREFETCH_MS, now);
    if (expected < 1 || this.isRoundRunning || now < this.refusedUntil) return;
    if (this.tokens.countFree(now, PREFETCH_MS) >= expected / 2) return;
    const holder = this.options.holders().find((vm) => this.options.client.isAvailable(vm));
    if (holder === undefined) return;
    this.isRoundRunning = true;
    const release = (): void => {
      this.isRoundRunning = false;
      if (this.waiters.length > 0) this.startRound();
    };
    this.options.client
      .request(holder, this.options.team, Math.floor(expected), 0)
      .then(release)
      .catch(release);
  }

  /** Returns free tokens above the demand that is expected before the loan expires. */
  private returnSurplus(loan: BorrowedLoan): void {
    const now = this.options.clock.now();
    if (loan.free === 0 || loan.data.expiresAt <= now) return;
    const expected = Math.ceil(this.demand.expectedRequests(LOAN_LIFETIME_MS - RETURN_AGE_MS, now));
    const surplus = Math.max(0, loan.free - expected);
    if (surplus === 0) return;
    loan.giveBack(surplus);
    this.options.client.report(loan);
  }
}
