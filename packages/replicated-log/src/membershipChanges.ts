/** Changes of the membership, one member at a time. */
import { includesMember, isSameMember } from './quorum.js';
import type { Member, Membership } from './types.js';

/** The next membership, or the reason why the change is rejected. */
export type ChangePlan =
  | { readonly kind: 'change'; readonly membership: Membership }
  | { readonly kind: 'rejected'; readonly reason: string };

function reject(reason: string): ChangePlan {
  return { kind: 'rejected', reason };
}

/** Adds a learner. A learner of the same VM with another incarnation is replaced, since its disk is gone. */
export function planAddLearner({ voters, learners }: Membership, member: Member): ChangePlan {
  if (member.vm === '' || member.incarnation === '' || member.address === '') {
    return reject('a learner needs a vm, an incarnation and an address');
  }
  if (includesMember(voters, member)) return reject(`${member.vm} is a voter already`);
  if (includesMember(learners, member)) return reject(`${member.vm} is a learner already`);
  const others = learners.filter(({ vm }) => vm !== member.vm);
  return { kind: 'change', membership: { voters, learners: [...others, member] } };
}

/**
 * Turns a learner into a voter. The voter that it replaces must be removed first: doing both at once would change two
 * voters, and majorities before and after might not intersect.
 */
export function planPromotion(
  { voters, learners }: Membership,
  vm: string,
  isCaughtUp: (learner: Member) => boolean,
): ChangePlan {
  const learner = learners.find((member) => member.vm === vm);
  if (learner === undefined) return reject(`${vm} is not a learner`);
  if (voters.some((voter) => voter.vm === vm)) {
    return reject(`another incarnation of ${vm} is a voter; remove it first`);
  }
  if (!isCaughtUp(learner)) return reject(`the log of ${vm} does not hold everything committed`);
  const others = learners.filter((member) => member !== learner);
  return { kind: 'change', membership: { voters: [...voters, learner], learners: others } };
}

/** Removes one voter or learner. */
export function planRemoval(
  { voters, learners }: Membership,
  vm: string,
  incarnation: string,
): ChangePlan {
  const target = { vm, incarnation, address: '' };
  const isOther = (member: Member): boolean => !isSameMember(member, target);
  if (includesMember(learners, target)) {
    return { kind: 'change', membership: { voters, learners: learners.filter(isOther) } };
  }
  if (!includesMember(voters, target)) return reject(`${vm} with that incarnation is no member`);
  if (voters.length === 1) return reject('the last voter cannot be removed');
  return { kind: 'change', membership: { voters: voters.filter(isOther), learners } };
}
