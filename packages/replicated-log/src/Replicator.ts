/** Replicates the leader's log to one member. */
import type { ConsensusContext } from './context.js';
import type { Snapshot } from './LogStorage.js';
import { entryBytes, transferMs } from './transferTime.js';
import type {
  AppendEntriesRequest,
  AppendEntriesResponse,
  InstallSnapshotResponse,
  LogEntry,
  Member,
} from './types.js';

/** Callbacks of a replicator to its leader. */
export interface ReplicatorListener {
  /** Called for an answer in the leader's term to the message with number `sequence`. */
  onAnswer(replicator: Replicator, sequence: number): void;
  onMatch(): void;
  onHigherTerm(term: number): void;
  /** Number of the next message, increasing over all members. */
  nextSequence(): number;
}

interface SnapshotTransfer {
  readonly snapshot: Snapshot;
  offset: number;
}

/** One request with entries or a chunk is outstanding at a time; heartbeats are sent in addition. */
export class Replicator {
  private matched = 0;

  private nextIndex: number;

  /** Whether the member has not yet confirmed that its log matches up to the entry before `nextIndex`. */
  private isProbing = true;

  private outstanding: { readonly sentAt: number; readonly bytes: number } | undefined;

  private transfer: SnapshotTransfer | undefined;

  private isStopped = false;

  private contactAt: number | undefined;

  /** Monotonic ms at which the newest answered message was sent. */
  public answeredSentAt = -Infinity;

  private endIndex = Infinity;

  public constructor(
    private readonly ctx: ConsensusContext,
    private readonly term: number,
    public readonly member: Member,
    private readonly listener: ReplicatorListener,
  ) {
    this.nextIndex = ctx.state.log.lastIndex + 1;
  }

  public get matchIndex(): number {
    return this.matched;
  }

  /** Monotonic ms of the last answer. */
  public get lastContactAt(): number | undefined {
    return this.contactAt;
  }

  public stop(): void {
    this.isStopped = true;
  }

  /** Sets the index from which on no entries are sent. */
  public setEndIndex(index: number): void {
    this.endIndex = index;
  }

  /** Sends missing entries or the snapshot, unless a request is outstanding. */
  public replicate(): void {
    if (this.isStopped || this.isWaiting()) return;
    if (this.transfer !== undefined) {
      this.sendChunk(this.transfer);
      return;
    }
    const last = Math.min(this.ctx.state.log.lastIndex, this.endIndex - 1);
    if (this.nextIndex > last && !this.isProbing) return;
    if (!this.ctx.state.log.canContinueFrom(this.nextIndex)) {
      this.startTransfer();
      return;
    }
    const { maxEntriesPerAppend, maxBytesPerAppend } = this.ctx.tuning;
    const to = Math.min(last, this.nextIndex + maxEntriesPerAppend - 1);
    const entries = this.ctx.state.log.sliceLimited(this.nextIndex, to, maxBytesPerAppend);
    this.sendEntries(this.nextIndex - 1, entries, true);
  }

  /** Sends an empty append, even if a request is outstanding. */
  public heartbeat(): void {
    if (this.isStopped) return;
    const isKnown = this.ctx.state.log.termAt(this.matched) !== undefined;
    this.sendEntries(isKnown ? this.matched : 0, [], false);
  }

  private isWaiting(): boolean {
    const { clock, tuning } = this.ctx;
    if (this.outstanding === undefined) return false;
    const { sentAt, bytes } = this.outstanding;
    return clock.now() - sentAt < tuning.resendAfterMs + transferMs(bytes);
  }

  private sendEntries(
    previousIndex: number,
    entries: readonly LogEntry[],
    isOutstanding: boolean,
  ): void {
    const { state, transport, clock } = this.ctx;
    const sent = { sentAt: clock.now(), bytes: entryBytes(entries) };
    const sequence = this.listener.nextSequence();
    const req: AppendEntriesRequest = {
      leader: state.self,
      term: this.term,
      previousIndex,
      previousTerm: state.log.termAt(previousIndex)!,
      entries,
      commitIndex: state.commitIndex,
      toIncarnation: this.member.incarnation,
    };
    if (isOutstanding) this.outstanding = sent;
    transport
      .appendEntries(this.member, req)
      .then((res) => {
        if (this.outstanding === sent) this.outstanding = undefined;
        if (!this.accept(res, sent.sentAt, sequence)) return;
        if (isOutstanding) this.onAppendAnswer(res, previousIndex + entries.length);
      })
      .catch(() => {
        if (this.outstanding === sent) this.outstanding = undefined;
      });
  }

  private onAppendAnswer(res: AppendEntriesResponse, sentTo: number): void {
    this.isProbing = !res.success;
    if (res.success) {
      const matchIndex = Math.min(res.matchIndex, sentTo);
      this.nextIndex = Math.max(this.nextIndex, matchIndex + 1);
      this.raiseMatch(matchIndex);
    } else {
      this.nextIndex = Math.max(1, Math.min(this.nextIndex, res.matchIndex + 1));
    }
    this.replicate();
  }

  private startTransfer(): void {
    const { snapshot } = this.ctx.state.log;
    if (snapshot === undefined) return;
    this.transfer = { snapshot, offset: 0 };
    this.sendChunk(this.transfer);
  }

  private sendChunk(transfer: SnapshotTransfer): void {
    const { state, transport, clock, tuning } = this.ctx;
    const { snapshot, offset } = transfer;
    const end = Math.min(snapshot.data.length, offset + tuning.snapshotChunkBytes);
    const isLast = end === snapshot.data.length;
    const sent = { sentAt: clock.now(), bytes: end - offset };
    const sequence = this.listener.nextSequence();
    this.outstanding = sent;
    transport
      .installSnapshot(this.member, {
        leader: state.self,
        term: this.term,
        lastIndex: snapshot.index,
        lastTerm: snapshot.term,
        membership: snapshot.membership,
        offset,
        chunk: snapshot.data.subarray(offset, end),
        isLast,
        toIncarnation: this.member.incarnation,
      })
      .then((res) => {
        if (this.outstanding === sent) this.outstanding = undefined;
        if (!this.accept(res, sent.sentAt, sequence)) return;
        // A late answer counts as long as the transfer has not moved on.
        if (this.transfer === transfer) this.onChunkAnswer(res, transfer, end);
      })
      .catch(() => {
        if (this.outstanding === sent) this.outstanding = undefined;
      });
  }

  private onChunkAnswer(
    res: InstallSnapshotResponse,
    transfer: SnapshotTransfer,
    end: number,
  ): void {
    const { snapshot } = transfer;
    if (!res.success) {
      this.transfer = undefined;
      return;
    }
    if (end === snapshot.data.length) {
      this.transfer = undefined;
      this.nextIndex = snapshot.index + 1;
      this.isProbing = false;
      this.raiseMatch(snapshot.index);
    } else {
      this.transfer = { snapshot, offset: end };
    }
    this.replicate();
  }

  /** Whether an answer counts. One of an older term comes from a member that rejected the message unprocessed. */
  private accept(res: { readonly term: number }, sentAt: number, sequence: number): boolean {
    if (this.isStopped) return false;
    if (res.term > this.term) {
      this.listener.onHigherTerm(res.term);
      return false;
    }
    if (res.term < this.term) return false;
    this.contactAt = this.ctx.clock.now();
    this.answeredSentAt = Math.max(this.answeredSentAt, sentAt);
    this.listener.onAnswer(this, sequence);
    return !this.isStopped;
  }

  private raiseMatch(matchIndex: number): void {
    if (matchIndex <= this.matched) return;
    this.matched = matchIndex;
    this.listener.onMatch();
  }
}
