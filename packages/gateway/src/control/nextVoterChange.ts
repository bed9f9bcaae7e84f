/** Next step towards the wanted set of voters. */
import type { LogStatus, Member } from '@marigoldbank/replicated-log';

export type VoterChange =
  | { readonly kind: 'promote'; readonly vm: string }
  | { readonly kind: 'remove'; readonly member: Member };

/** A voter that was silent for this long is replaced if a learner stands by. */
export const SILENT_MS = 5_000;

/** What the leader knows besides its log. */
export interface VoterChangeInputs {
  /** Voters to have: 2 x tolerated losses + 1. */
  readonly wanted: number;
  /** Members that asked to join, with the incarnation of their data folder. */
  readonly joined: readonly Member[];
  readonly now: number;
  /** Monotonic ms since which this member leads. */
  readonly leaderSince: number;
}

/**
 * Replaces one voter at a time: a lost disk at once, a silent voter when a learner that holds the whole log stands by.
 * The removal comes before the promotion, so that two incarnations of a VM never vote together.
 */
export function nextVoterChange(
  status: LogStatus,
  needs: VoterChangeInputs,
): VoterChange | undefined {
  const { membership, progress, self } = status;
  const { now, leaderSince } = needs;
  const heardAt = (member: Member): number =>
    progress.find(
      (item) => item.member.vm === member.vm && item.member.incarnation === member.incarnation,
    )?.lastContactAt ?? leaderSince;
  const isSilent = (member: Member): boolean =>
    member.vm !== self.vm && now - Math.max(heardAt(member), leaderSince) > SILENT_MS;
  const isCaughtUp = (member: Member): boolean => {
    const found = progress.find((item) => item.isLearner && item.member.vm === member.vm);
    return found !== undefined && found.matchIndex >= status.commitIndex && !isSilent(member);
  };
  const hasNewDisk = (voter: Member): boolean =>
    needs.joined.some(
      ({ vm, incarnation }) => vm === voter.vm && incarnation !== voter.incarnation,
    );
  const ready = membership.learners.filter(isCaughtUp);
  const wiped = membership.voters.find(
    (voter) => hasNewDisk(voter) && ready.some(({ vm }) => vm === voter.vm),
  );
  if (wiped !== undefined) return { kind: 'remove', member: wiped };
  const free = ready.filter(({ vm }) => membership.voters.every((voter) => voter.vm !== vm));
  const next = free[0];
  if (next === undefined) return undefined;
  if (membership.voters.length < needs.wanted) return { kind: 'promote', vm: next.vm };
  const silent = membership.voters.find(isSilent);
  return silent === undefined ? undefined : { kind: 'remove', member: silent };
}
