/** Token bucket that counts lent tokens against its capacity until they are used, returned or expired. */
import { MAX_RETRY_AFTER_MS } from './constants.js';
import { NO_SHARE, type Share } from './shares.js';

/** Tokens are counted as integers in millionths, so that rounding errors do not accumulate. */
const MICRO = 1_000_000;

/** Factor that keeps the product of time and rate below its exact value despite floating-point rounding. */
const ROUNDING_GUARD = 1 - 2 ** -40;

/** Smaller gains are not accrued yet, so that rounding down costs at most a thousandth of the rate. */
const MIN_GAIN = MICRO / 1_000;

interface Loan {
  readonly endsAt: number;
  readonly count: number;
  used: number;
  returned: number;
}

/** Token bucket of one team at one holder. Starts empty and with a share of 0. */
export class TokenBucket {
  private tokens = 0;

  /** Whole tokens that are lent and may still be used. */
  private outstanding = 0;

  private share = NO_SHARE;

  /** Ordered by `endsAt`, since all loans have the same lifetime. */
  private readonly loans = new Map<string, Loan>();

  public constructor(
    private accruedAt: number,
    private readonly lenderLifetimeMs: number,
  ) {}

  public get currentShare(): Share {
    return this.share;
  }

  /** Whole tokens available. Call `advance` first. */
  public get available(): number {
    return Math.floor(this.tokens / MICRO);
  }

  public get isFull(): boolean {
    return this.loans.size === 0 && this.tokens >= this.share.capacity * MICRO;
  }

  /** Accrues tokens up to `now` and ends loans whose lifetime is over. */
  public advance(now: number): void {
    for (;;) {
      const first = this.loans.entries().next();
      if (first.done || first.value[1].endsAt > now) break;
      const [id, loan] = first.value;
      this.accrue(loan.endsAt, false);
      this.outstanding -= loan.count - loan.used - loan.returned;
      this.loans.delete(id);
    }
    this.accrue(now, false);
  }

  /** Changes the share from `now` on. Tokens above the new capacity are lost. */
  public setShare(share: Share, now: number): void {
    this.advance(now);
    if (share.capacity === this.share.capacity && share.rate === this.share.rate) return;
    this.accrue(now, true);
    this.share = share;
    const room = Math.max(0, share.capacity - this.outstanding) * MICRO;
    this.tokens = Math.min(this.tokens, room);
  }

  /** Drops the available tokens but keeps the records of loans. */
  public clear(now: number): void {
    this.advance(now);
    this.accruedAt = now;
    this.tokens = 0;
  }

  /** Records a loan of `count` tokens, which must be available. */
  public lend(id: string, count: number, now: number): void {
    this.tokens -= count * MICRO;
    this.outstanding += count;
    this.loans.set(id, { endsAt: now + this.lenderLifetimeMs, count, used: 0, returned: 0 });
  }

  /** Applies a borrower's report of used and returned tokens. An older report than the last one has no effect. */
  public settle(id: string, used: number, returned: number): void {
    const loan = this.loans.get(id);
    if (loan === undefined) return;
    const newlyUsed = Math.max(0, used - loan.used);
    const newlyReturned = Math.max(0, returned - loan.returned);
    if (loan.used + loan.returned + newlyUsed + newlyReturned > loan.count) return;
    loan.used += newlyUsed;
    loan.returned += newlyReturned;
    this.outstanding -= newlyUsed + newlyReturned;
    this.tokens += newlyReturned * MICRO;
    this.tokens = Math.min(
      this.tokens,
      Math.max(0, this.share.capacity - this.outstanding) * MICRO,
    );
    if (loan.used + loan.returned === loan.count) this.loans.delete(id);
  }

  /** Expected time until a token is available. */
  public retryAfterMs(now: number): number {
    if (this.tokens >= MICRO) return 0;
    if (this.share.capacity < 1) return MAX_RETRY_AFTER_MS;
    const missing = MICRO - this.tokens;
    const accrualMs = missing / (this.share.rate * 1_000) - (now - this.accruedAt);
    if (this.headroom() >= missing) return Math.max(1, Math.ceil(accrualMs));
    const first = this.loans.values().next();
    const loanMs = first.done ? 0 : first.value.endsAt - now;
    return Math.max(1, Math.ceil(Math.max(accrualMs, loanMs)));
  }

  private headroom(): number {
    return (this.share.capacity - this.outstanding) * MICRO - this.tokens;
  }

  private accrue(to: number, isForced: boolean): void {
    if (to <= this.accruedAt) return;
    const gained = Math.floor((to - this.accruedAt) * this.share.rate * 1_000 * ROUNDING_GUARD);
    const headroom = Math.max(0, this.headroom());
    if (gained < headroom && gained < MIN_GAIN && !isForced) return;
    this.tokens += Math.min(gained, headroom);
    this.accruedAt = to;
  }
}
