/**
 * Finds out without a leader which plan may be in force, from what the voters of the replicated log have stored. A plan that was
 * acknowledged is in the logs of a majority, so at least one of any majority has it, and the newest log among them has all that
 * was committed. It may have more, which was never committed: that cannot be told apart without a leader. So one log is enough
 * to know that a newer plan may be in force, and a majority is needed to know that none is.
 */
import type { LogMember, StoredState } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';

/** An answer counts for as long from its question on. The result is dated by the oldest one that it needs. */
export const MAX_ANSWER_AGE_MS = 3_000;

interface Answer {
  /** Time of the question (monotonic ms). */
  readonly askedAt: number;
  readonly stored: StoredState;
}

export interface PossiblePlan {
  /** Newest version that may have been acknowledged by `at`, monotonic ms. */
  readonly version: number;
  readonly at: number;
  /** Log process that has stored it. */
  readonly address: string;
}

/** How much of the voters an entry knows. */
export interface VoterCoverage {
  readonly voters: number;
  /** Voters whose answers count. */
  readonly counted: number;
  /** Age of the oldest of these answers, 0 if there is none. */
  readonly oldestMs: number;
}

function keyOf({ address, incarnation }: LogMember): string {
  return `${address}/${incarnation}`;
}

/** Whether one log may hold more of what was committed than another one. */
function isNewer(a: StoredState, b: StoredState): boolean {
  if (a.lastTerm !== b.lastTerm) return a.lastTerm > b.lastTerm;
  return a.lastIndex > b.lastIndex;
}

function toPossiblePlan({ version, member }: StoredState, at: number): PossiblePlan {
  return { version: Number(version), at, address: member!.address };
}

export class MajorityRead {
  private readonly answers = new Map<string, Answer>();

  /** Records what a member answered to a question that was asked at `askedAt`. */
  public record(stored: StoredState, askedAt: number): void {
    if (stored.member === undefined) return;
    const key = keyOf(stored.member);
    if ((this.answers.get(key)?.askedAt ?? -Infinity) < askedAt) {
      this.answers.set(key, { askedAt, stored });
    }
  }

  /** Addresses of the voters according to the newest log, none if no answer counts. */
  public voterAddresses(now: number): string[] {
    return this.newest(now)?.stored.voters.map(({ address }) => address) ?? [];
  }

  /** Returns undefined unless a majority of the voters has answered. */
  public result(now: number): PossiblePlan | undefined {
    const newest = this.newest(now);
    if (newest === undefined) return undefined;
    const times = newest.stored.voters
      .map((voter) => this.answers.get(keyOf(voter))?.askedAt ?? -Infinity)
      .sort((a, b) => b - a);
    const at = times[Math.floor(times.length / 2)] ?? -Infinity;
    return now - at > MAX_ANSWER_AGE_MS ? undefined : toPossiblePlan(newest.stored, at);
  }

  /** The plan of the newest log that is known, whether a majority has answered or not. */
  public newestPlan(now: number): PossiblePlan | undefined {
    const newest = this.newest(now);
    return newest === undefined ? undefined : toPossiblePlan(newest.stored, newest.askedAt);
  }

  /** Voters according to the newest log, and those of them whose answers count. */
  public coverage(now: number): VoterCoverage {
    const voters = this.newest(now)?.stored.voters ?? [];
    const ages = voters
      .map((voter) => now - (this.answers.get(keyOf(voter))?.askedAt ?? -Infinity))
      .filter((age) => age <= MAX_ANSWER_AGE_MS);
    return { voters: voters.length, counted: ages.length, oldestMs: Math.max(0, ...ages) };
  }

  private newest(now: number): Answer | undefined {
    return [...this.answers.values()]
      .filter(({ askedAt }) => now - askedAt <= MAX_ANSWER_AGE_MS)
      .reduce<Answer | undefined>(
        (best, other) => (best === undefined || isNewer(other.stored, best.stored) ? other : best),
        undefined,
      );
  }
}
