/** Majorities and identity of members. */
import type { Member, Membership } from './types.js';

/** Smallest number of members that is more than half of `count`, so that any two majorities intersect. */
export function majorityOf(count: number): number {
  return Math.floor(count / 2) + 1;
}

/** Highest value that a majority of the values has reached; 0 if there are none. */
export function majorityValue(values: readonly number[]): number {
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
