/** Bootstrap of a new group: the founders agree on each other's incarnations before any of them may vote. */
import { isDeepStrictEqual } from 'node:util';
import { toDisposable, type IDisposable } from '@marigoldbank/base/lifecycle';
import { setPeriodic } from '@marigoldbank/base/clock';
import type { ConsensusContext } from './context.js';
import type { InstallSnapshotRequest, InstallSnapshotResponse, Member } from './types.js';

/** Term of bootstrap messages, in which there is never a leader. */
export const BOOTSTRAP_TERM = 0;

const REFUSED: InstallSnapshotResponse = { term: BOOTSTRAP_TERM, success: false };

const ACCEPTED: InstallSnapshotResponse = { term: BOOTSTRAP_TERM, success: true };

function isComplete(founders: readonly Member[]): boolean {
  return founders.length > 0 && founders.every(({ incarnation }) => incarnation !== '');
}

/** Whether the sender knows that all founders hold the same complete list; bootstrap messages use `isLast` for this. */
function isKnownFounded(req: InstallSnapshotRequest): boolean {
  return req.isLast;
}

function incarnationOf(founders: readonly Member[], vm: string): string {
  return founders.find((founder) => founder.vm === vm)?.incarnation ?? '';
}

function haveSameVms(a: readonly Member[], b: readonly Member[]): boolean {
  return a.length === b.length && a.every(({ vm }) => b.some((other) => other.vm === vm));
}

/** Adds the incarnations to `own` that only `other` contains; undefined if the lists contradict each other. */
function mergeFounders(own: readonly Member[], other: readonly Member[]): Member[] | undefined {
  const isContradiction = own.some(({ vm, incarnation }) => {
    const theirs = incarnationOf(other, vm);
    return incarnation !== '' && theirs !== '' && incarnation !== theirs;
  });
  if (isContradiction) return undefined;
  return own.map((founder) => ({
    ...founder,
    incarnation: founder.incarnation || incarnationOf(other, founder.vm),
  }));
}

/**
 * Each founder keeps a durable list of the founders' incarnations in which an entry never changes once it is set. A
 * founder becomes a voter when every other founder has confirmed that it holds the same complete list. A founder whose
 * disk was wiped has a new incarnation, which contradicts the lists of the others, so it never becomes a voter.
 */
export class GroupBootstrap implements IDisposable {
  private readonly confirmedBy = new Set<string>();

  private timer: IDisposable = toDisposable(() => {});

  public constructor(private readonly ctx: ConsensusContext) {}

  /** Starts the exchange, unless the group exists already. */
  public start(): void {
    const { clock, tuning } = this.ctx;
    if (!this.isInProgress) return;
    this.timer = setPeriodic(clock, () => this.exchange(), tuning.bootstrapIntervalMs);
    this.exchange();
  }

  /** Records the sender's list and answers whether both lists are complete and the same. */
  public async handle(req: InstallSnapshotRequest): Promise<InstallSnapshotResponse> {
    const { state, writer } = this.ctx;
    const theirs = req.membership.voters;
    if (!haveSameVms(state.identity.founders, theirs)) return REFUSED;
    const merged = mergeFounders(state.identity.founders, theirs);
    if (merged === undefined) return REFUSED;
    if (this.hasNoState) this.record(merged);
    await writer.flush();
    if (!isComplete(theirs) || !isComplete(state.identity.founders)) return REFUSED;
    if (isKnownFounded(req)) {
      this.finish();
    } else if (state.identity.isFounded) {
      this.sendTo(req.leader.vm);
    }
    return ACCEPTED;
  }

  public dispose(): void {
    this.timer.dispose();
  }

  /** Informs a founder that may still be waiting for the confirmation of a founder that has been lost. */
  private sendTo(vm: string): void {
    const { founders } = this.ctx.state.identity;
    this.othersIn(founders)
      .filter((founder) => founder.vm === vm)
      .forEach((founder) => this.send(founder, founders));
  }

  private get isInProgress(): boolean {
    const { identity, log } = this.ctx.state;
    return identity.founders.length > 0 && !identity.isFounded && log.membershipIndex === 0;
  }

  /** Whether this member has taken part in no group yet; otherwise it must not help to bootstrap another one. */
  private get hasNoState(): boolean {
    const { term, log } = this.ctx.state;
    return term === 0 && log.lastIndex === 0;
  }

  private record(founders: readonly Member[]): void {
    const { state, writer } = this.ctx;
    if (isDeepStrictEqual(founders, state.identity.founders)) return;
    state.identity = { ...state.identity, founders };
    writer.markIdentity();
  }

  private exchange(): void {
    const { state, writer } = this.ctx;
    if (!this.isInProgress) {
      this.dispose();
      return;
    }
    const { founders } = state.identity;
    this.finishIfConfirmed();
    writer
      .flush()
      .then(() => this.othersIn(founders).forEach((founder) => this.send(founder, founders)))
      .catch(() => {
        // The writer reports its failure to the owner of the log.
      });
  }

  private send(to: Member, founders: readonly Member[]): void {
    const { state, transport } = this.ctx;
    transport
      .installSnapshot(to, {
        leader: state.self,
        term: BOOTSTRAP_TERM,
        lastIndex: 0,
        lastTerm: 0,
        membership: { voters: founders, learners: [] },
        offset: 0,
        chunk: new Uint8Array(),
        isLast: state.identity.isFounded,
        toIncarnation: to.incarnation,
      })
      .then((res) => {
        if (!res.success || !isComplete(founders)) return;
        this.confirmedBy.add(to.vm);
        this.finishIfConfirmed();
      })
      .catch(() => {
        // The next exchange sends the list again.
      });
  }

  private finishIfConfirmed(): void {
    const { founders } = this.ctx.state.identity;
    if (!isComplete(founders)) return;
    if (this.othersIn(founders).every(({ vm }) => this.confirmedBy.has(vm))) this.finish();
  }

  private finish(): void {
    const { state, writer } = this.ctx;
    const { founders } = state.identity;
    if (!this.isInProgress) return;
    state.identity = { ...state.identity, isFounded: true };
    state.log.setInitialMembership({ voters: founders, learners: [] });
    writer.markIdentity();
    this.dispose();
  }

  private othersIn(founders: readonly Member[]): Member[] {
    return founders.filter(({ vm }) => vm !== this.ctx.state.self.vm);
  }
}
