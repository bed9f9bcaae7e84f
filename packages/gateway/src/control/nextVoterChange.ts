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

/**
 * Voters of the smallest group that tolerates a loss. Larger groups with an even number have one voter too many, since they
 * tolerate no more losses without it; odd ones may have more founders than are desired, and keep them.
 */
const SMALLEST_GROUP = 3;

/** Inputs of the leader in addition to the status of its log. */
export interface VoterChangeInputs {
  /** Desired number of voters: 2 x tolerated losses + 1. */
  readonly desired: number;
  /** Voters that are about to stop. */
  readonly leaving: readonly Member[];
  readonly now: number;
  /** Time (monotonic ms) since which this member has been the leader. */
  readonly leaderSince: number;
}

/**
 * Promotes a learner that has caught up with the log while voters are missing. Replaces one voter at a time: one whose disk
 * is lost, an unreachable one, or one that is about to stop. The learner is promoted before the voter is removed: removed
 * first, it would leave a group in which one more lost disk takes the majority, even if the voter comes back. A learner on
 * the VM of the voter itself is promoted after the removal, so that two incarnations of a VM never vote together.
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
  const isLeaving = ({ vm, incarnation }: Member): boolean =>
    inputs.leaving.some((other) => other.vm === vm && other.incarnation === incarnation);
  // A learner on the VM of a voter has another incarnation: the disk of the voter is gone. This is read from the membership,
  // which a new leader knows as well.
  const renewed = membership.voters.find(({ vm }) => caughtUp.some((other) => other.vm === vm));
  const gone =
    renewed ?? membership.voters.find(isUnreachable) ?? membership.voters.find(isLeaving);
  const count = membership.voters.length;
  if (count > inputs.desired && count > SMALLEST_GROUP && count % 2 === 0) {
    // A replacement was promoted. If the voter that it replaces is back, another one is too many.
    const others = membership.voters.filter(({ vm }) => vm !== self.vm);
    return { kind: 'remove', member: gone ?? others.at(-1)! };
  }
  const candidate = caughtUp.find(({ vm }) => membership.voters.every((voter) => voter.vm !== vm));
  const isWanted = count < inputs.desired || gone !== undefined;
  if (candidate !== undefined && isWanted) return { kind: 'promote', vm: candidate.vm };
  return renewed === undefined ? undefined : { kind: 'remove', member: renewed };
}
