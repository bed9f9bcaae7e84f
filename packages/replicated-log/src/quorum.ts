/** Majorities and identity of members. */
import type { Member, Membership } from './types.js';

/** The smallest number of members that intersects every other majority of `count` members. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** The highest value that a majority has reached; 0 for no values. */
export function reachedByMajority(values: readonly number[]): number {
  const descending = [...values].sort((a, b) => b - a);
  return descending[majorityOf(values.length) - 1] ?? 0;
}

/** Whether two members have the same VM and incarnation. */
export function isSameMember(a: Member, b: Member): boolean {
  return a.vm === b.vm && a.incarnation === b.incarnation;
}

/** Text that identifies a VM together with its incarnation. */
export function memberKey(member: Member): string {
  return `${member.vm}/${member.incarnation}`;
}

/** Whether a member is in a list of members. */
export function includesMember(members: readonly Member[], member: Member): boolean {
  return members.some((other) => isSameMember(other, member));
}

/** Voters and learners together. */
export function allMembers(membership: Membership): Member[] {
  return [...membership.voters, ...membership.learners];
}
