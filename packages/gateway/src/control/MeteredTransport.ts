/** Counts the consensus messages of a control VM by kind, member and outcome. */
import { setPeriodic, type Clock } from '@marigoldbank/base/clock';
import { DisposableStore, type IDisposable } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import {
  ConsensusTransport,
  entryBytes,
  type AppendEntriesRequest,
  type AppendEntriesResponse,
  type InstallSnapshotRequest,
  type InstallSnapshotResponse,
  type Member,
  type RequestVoteRequest,
  type RequestVoteResponse,
} from '@marigoldbank/replicated-log';
import {
  appendBytesTotal,
  consensusCallSeconds,
  consensusCallsTotal,
  openConsensusCalls,
} from '../metrics.js';

type CallKind = 'vote' | 'append' | 'snapshot';

const LOG_INTERVAL_MS = 5_000;

const US_PER_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Counts since the last log line. */
const NO_CALLS = { sent: 0, failed: 0, appendBytes: 0, repeatedBytes: 0, slowestMs: 0 };

export class MeteredTransport extends ConsensusTransport implements IDisposable {
  private readonly store = new DisposableStore();

  private calls = { ...NO_CALLS };

  /** The last entry sent to each member, by its address. */
  private readonly sentTo = new Map<string, { readonly term: number; readonly index: number }>();

  private readonly open = new Map<string, number>();

  private cpu = process.cpuUsage();

  public constructor(
    private readonly inner: ConsensusTransport,
    private readonly logger: Logger,
    private readonly clock: Clock,
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
    this.countEntries(to, req);
    return this.count('append', to, this.inner.appendEntries(to, req));
  }

  public override installSnapshot(
    to: Member,
    req: InstallSnapshotRequest,
  ): Promise<InstallSnapshotResponse> {
    return this.count('snapshot', to, this.inner.installSnapshot(to, req));
  }

  /** Entries that are sent once more cost as much as new ones. */
  private countEntries({ vm, address }: Member, req: AppendEntriesRequest): void {
    const { term, entries } = req;
    const last = entries.at(-1);
    if (last === undefined) return;
    const sent = this.sentTo.get(address);
    const isRepeated = sent !== undefined && sent.term === term && sent.index >= last.index;
    if (!isRepeated) this.sentTo.set(address, { term, index: last.index });
    const bytes = entryBytes(entries);
    this.calls.appendBytes += bytes;
    if (isRepeated) this.calls.repeatedBytes += bytes;
    appendBytesTotal.inc({ member: vm, sending: isRepeated ? 'repeated' : 'first' }, bytes);
  }

  private async count<T>(kind: CallKind, { vm }: Member, call: Promise<T>): Promise<T> {
    const startedAt = this.clock.now();
    this.calls.sent += 1;
    this.addOpen(vm, 1);
    try {
      const res = await call;
      consensusCallsTotal.inc({ kind, member: vm, outcome: 'answered' });
      return res;
    } catch (err) {
      this.calls.failed += 1;
      consensusCallsTotal.inc({ kind, member: vm, outcome: 'failed' });
      throw err;
    } finally {
      const tookMs = this.clock.now() - startedAt;
      this.calls.slowestMs = Math.max(this.calls.slowestMs, Math.round(tookMs));
      consensusCallSeconds.observe({ kind }, tookMs / MS_PER_SECOND);
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
    this.logger.info('calls to other log processes', {
      ...this.calls,
      open,
      cpuMs: Math.round((user + system) / US_PER_MS),
    });
    this.calls = { ...NO_CALLS };
  }
}
