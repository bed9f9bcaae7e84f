/** What a hub knows of the replicated log of its VM. Times are monotonic ms of the hub's clock, -Infinity for never. */
export interface ILogView {
  /** Whether the log of this VM leads. False if that is not known any more. */
  readonly isLeader: boolean;
  /** VM of the leader, undefined if none is known. */
  readonly leader: string | undefined;
  /** VMs of the voters, none before the first answer of the log. */
  readonly voters: readonly string[];
  /** Time at which a majority of the voters confirmed the state that the hub has. */
  readonly confirmedAt: number;
  /**
   * Time at which the log last heard a confirmation of a leader, also of a state that the hub does not have yet. Counted
   * from the arrival of the log's answer: a busy hub learns it late, which does not mean that there is no leader.
   */
  readonly leaderSeenAt: number;
  /** Time (ms) for which the newest answer of the log waited at the hub. What the hub sends waits about as long. */
  readonly answerDelayMs: number;
  /** Whether the log process answers. Not known, and so true, before its first answer. */
  readonly isAnswering: boolean;
}
