/** Counts the consensus messages of a control VM by kind, member and outcome. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import {
  ConsensusTransport,
  type AppendEntriesRequest,
  type AppendEntriesResponse,
  type InstallSnapshotRequest,
  type InstallSnapshotResponse,
  type Member,
  type RequestVoteRequest,
  type RequestVoteResponse,
} from '@marigoldbank/replicated-log';
import { consensusCallsTotal, openConsensusCalls } from '../metrics.js';

type CallKind = 'vote' | 'append' | 'snapshot';

const LOG_INTERVAL_MS = 5_000;

const US_PER_MS = 1_000;

export class MeteredTransport extends ConsensusTransport implements IDisposable {
  private readonly store = new DisposableStore();

  private sent = 0;

  private failed = 0;

  private readonly open = new Map<string, number>();

  private cpu = process.cpuUsage();

  public constructor(
    private readonly inner: ConsensusTransport,
    private readonly logger: Logger,
    clock: Clock,
  ) {
    super();
    this.store.add(setPeriodic(clock, () => this.logCalls(), LOG_INTERVAL_MS));
  }

  public dispose(): void {
    this.store.dispose();
  }

  public override requestVote(to: Member, req: RequestVoteRequest): Promise<RequestVoteResponse> {
    return this.count('vote', to, this.inner.requestVote(to, req));
  }

  public override appendEntries(
    to: Member,
    req: AppendEntriesRequest,
  ): Promise<AppendEntriesResponse> {
    return this.count('append', to, this.inner.appendEntries(to, req));
  }

  public override installSnapshot(
    to: Member,
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    return this.count('snapshot', to, this.inner.installSnapshot(to, req));
  }

  private async count<T>(kind: CallKind, { vm }: Member, call: Promise<T>): Promise<T> {
    this.sent += 1;
    this.addOpen(vm, 1);
    try {
      const res = await call;
      consensusCallsTotal.inc({ kind, member: vm, outcome: 'answered' });
      return res;
    } catch (err) {
      this.failed += 1;
      consensusCallsTotal.inc({ kind, member: vm, outcome: 'failed' });
      throw err;
    } finally {
      this.addOpen(vm, -1);
    }
  }

  private addOpen(vm: string, change: number): void {
    const open = (this.open.get(vm) ?? 0) + change;
    this.open.set(vm, open);
    openConsensusCalls.set({ member: vm }, open);
  }

  /** Members of the log that cannot be reached show as calls that fail or stay open, an overloaded process by its time. */
  private logCalls(): void {
    const { user, system } = process.cpuUsage(this.cpu);
    this.cpu = process.cpuUsage();
    const open = [...this.open.values()].reduce((sum, count) => sum + count, 0);
    const { sent, failed } = this;
    this.logger.info('calls to other log processes', {
      sent,
      failed,
      open,
      cpuMs: Math.round((user + system) / US_PER_MS),
    });
    this.sent = 0;
    this.failed = 0;
  }
}
