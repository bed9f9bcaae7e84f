/** Computes the next step towards the desired number of voters. */
import type { LogStatus, Member } from '@marigoldbank/replicated-log';

export type VoterChange =
  | { readonly kind: 'promote'; readonly vm: string }
  | { readonly kind: 'remove'; readonly member: Member };

/**
 * A voter without contact for this long is replaced if a learner is available. Until then a second loss may take the
 * majority, so that an election, this time and two changes of the membership must fit into the 4 s after which a removed
 * VM no longer counts as lost. It exceeds the longest election timeout: a voter that only starts an election is kept.
 */
export const UNREACHABLE_MS = 1_500;

/** Inputs of the leader in addition to the status of its log. */
export interface VoterChangeInputs {
  /** Desired number of voters: 2 x tolerated losses + 1. */
  readonly desired: number;
  readonly now: number;
  /** Time (monotonic ms) since which this member has been the leader. */
  readonly leaderSince: number;
}

/**
 * Promotes a learner that has caught up with the log while voters are missing. Replaces one voter at a time: one whose
 * disk was replaced once its new incarnation has caught up, an unreachable one once a learner on a VM without a voter
 * has. The old voter is removed before the learner is promoted, so that two incarnations of a VM never vote together.
 */
export function nextVoterChange(
  status: LogStatus,
  inputs: VoterChangeInputs,
): VoterChange | undefined {
  const { membership, progress, self } = status;
  const { now, leaderSince } = inputs;
  const lastContactAt = (member: Member): number =>
    progress.find(
      (item) => item.member.vm === member.vm && item.member.incarnation === member.incarnation,
    )?.lastContactAt ?? leaderSince;
  const isUnreachable = (member: Member): boolean =>
    member.vm !== self.vm && now - Math.max(lastContactAt(member), leaderSince) > UNREACHABLE_MS;
  const isCaughtUp = (member: Member): boolean => {
    const found = progress.find((item) => item.isLearner && item.member.vm === member.vm);
    return found !== undefined && found.matchIndex >= status.commitIndex && !isUnreachable(member);
  };
  const caughtUp = membership.learners.filter(isCaughtUp);
  // A learner on the VM of a voter has another incarnation: the disk of the voter is gone. This is read from the membership,
  // which a new leader knows as well.
  const replaced = membership.voters.find(({ vm }) =>
    caughtUp.some((learner) => learner.vm === vm),
  );
  if (replaced !== undefined) return { kind: 'remove', member: replaced };
  const candidates = caughtUp.filter(({ vm }) =>
    membership.voters.every((voter) => voter.vm !== vm),
  );
  const next = candidates[0];
  if (next === undefined) return undefined;
  if (membership.voters.length < inputs.desired) return { kind: 'promote', vm: next.vm };
  const unreachable = membership.voters.find(isUnreachable);
  return unreachable === undefined ? undefined : { kind: 'remove', member: unreachable };
}
