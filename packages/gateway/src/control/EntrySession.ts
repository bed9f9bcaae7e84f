/** Sends the updates of this hub to one connected entry, in batches. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type {
  HubStatusSchema,
  HubUpdateSchema,
  RetryStateSchema,
  TargetSchema,
  TokenAnswerSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { isNewerVersion } from '@marigoldbank/routing/plan';
import type { SuspectStatement } from '@marigoldbank/routing/PoisonTable';
import type { AdvertisedEntry } from '../AddressBook.js';
import { sentPlanBytesTotal, sentPlansTotal } from '../metrics.js';
import { Batcher } from '../sync/Batcher.js';
import type { TargetLimitInit } from '../sync/limit-codec.js';
import { MessageQueue } from '../sync/MessageQueue.js';
import { toVersionField } from '../sync/plan-version.js';
import { toSuspectMessage } from '../sync/suspect-codec.js';
import { echoOf, type PeerTime } from '../sync/timeEcho.js';
import type { EntryIdentity } from './EntryRegistry.js';
import type { CommittedPlan } from './CommittedPlan.js';

/** Delay of changes of targets, token answers, plans and teams that become tight; `FLUSH_MS` is for all else. */
export const URGENT_FLUSH_MS = 1;
export const FLUSH_MS = 100;

/** Minimum interval between two plans for one entry, so that a series of changes is sent as one update. */
const PLAN_INTERVAL_MS = 150;

/** An entry that has not read more batches is disconnected; it reconnects and gets a snapshot. */
const MAX_UNREAD_BATCHES = 500;

/** Messages as plain objects, which can be extended by a copy. */
type Plain<T> = Exclude<T, { readonly $typeName: string }>;

export type HubUpdateInit = Plain<MessageInitShape<typeof HubUpdateSchema>>;

export type HubStatusInit = Plain<MessageInitShape<typeof HubStatusSchema>>;

/** State of the hub that a session reads when it flushes. */
export interface SessionSource {
  readonly clock: Clock;
  readonly currentPlan: () => CommittedPlan | undefined;
  readonly encodeChanges: (from: CommittedPlan | undefined, to: CommittedPlan) => Uint8Array;
  /** Entries that are advertised to callers, by address. */
  readonly advertised: () => ReadonlyMap<string, AdvertisedEntry>;
}

function isEmptyList(part: unknown): boolean {
  return Array.isArray(part) && part.length === 0;
}

export class EntrySession implements IDisposable {
  public readonly queue = new MessageQueue<HubUpdateInit>(() => this.takeEvidence());

  private reportedAt: number;

  private entryTime: PeerTime | undefined;

  /** Time in the last report that the entry knows to be handled. */
  private sentHandledMs = 0;

  private readonly targets = new Map<string, MessageInitShape<typeof TargetSchema>>();

  private readonly removedTargets = new Set<string>();

  private readonly limits = new Map<string, TargetLimitInit>();

  private readonly suspects = new Map<string, SuspectStatement>();

  private readonly tokenAnswers: MessageInitShape<typeof TokenAnswerSchema>[] = [];

  /** Encoded batches that the entry has not read. */
  private evidenceBatches: Uint8Array[] = [];

  private readonly teamModes = new Map<string, boolean>();

  private readonly retryStates = new Map<string, MessageInitShape<typeof RetryStateSchema>>();

  /** Advertised entries as last sent to this entry, undefined before the first update. */
  private sentAdvertised: ReadonlyMap<string, AdvertisedEntry> | undefined;

  private sentPlan: CommittedPlan | undefined;

  private planSentAt = -Infinity;

  private readonly batcher: Batcher;

  public constructor(
    public readonly identity: EntryIdentity,
    /** Number of the entry in evidence batches. */
    public readonly entryRef: number,
    private readonly source: SessionSource,
    /** Version of the plan that the entry held when it connected, undefined for none. */
    private readonly initialVersion?: number,
    /** That plan, if the hub has had it. */
    initialPlan?: CommittedPlan,
  ) {
    this.sentPlan = initialPlan;
    this.reportedAt = source.clock.now();
    this.batcher = new Batcher(source.clock, () => this.flush());
  }

  /** Monotonic ms of the last report. */
  public get lastReportAt(): number {
    return this.reportedAt;
  }

  /** Notes a report, which the entry sent at `sentAtMs` of its own clock; 0 if it is of an older release. */
  public noteReport(now: number, sentAtMs: number): void {
    this.reportedAt = now;
    if (sentAtMs <= 0) return;
    this.entryTime = { sentAtMs, handledAt: now };
    this.batcher.request(FLUSH_MS);
  }

  /** Whether the entry runs an older release, which sends no time and reads no snapshots. */
  public get isOlderRelease(): boolean {
    return this.entryTime === undefined;
  }

  /** Sends a status, whose ages refer to now, with the rest of its message. */
  public sendStatus(status: HubStatusInit, rest: HubUpdateInit): void {
    const { entryTime } = this;
    const echo = entryTime === undefined ? undefined : echoOf(entryTime, this.source.clock.now());
    this.send({ ...rest, status: { ...status, echo } });
  }

  /** Sends a message at once, bypassing the batch. */
  public send(update: HubUpdateInit): void {
    this.queue.push(this.withHandled(update));
  }

  /** Sends an encoded batch of evidence after all other messages, merged with those that the entry has not read. */
  public sendEvidence(batch: Uint8Array): void {
    this.evidenceBatches.push(batch);
    if (this.evidenceBatches.length > MAX_UNREAD_BATCHES) this.queue.end();
    this.queue.notify();
  }

  public setTarget(target: MessageInitShape<typeof TargetSchema> & { readonly id: string }): void {
    this.removedTargets.delete(target.id);
    this.targets.set(target.id, target);
    this.batcher.request(URGENT_FLUSH_MS);
  }

  public removeTarget(id: string): void {
    this.targets.delete(id);
    this.removedTargets.add(id);
    this.batcher.request(URGENT_FLUSH_MS);
  }

  public setLimit(limit: TargetLimitInit): void {
    this.limits.set(limit.id, limit);
    this.batcher.request(URGENT_FLUSH_MS);
  }

  public setSuspect(suspect: SuspectStatement): void {
    this.suspects.set(suspect.fingerprint, suspect);
    this.batcher.request(URGENT_FLUSH_MS);
  }

  public answerToken(answer: MessageInitShape<typeof TokenAnswerSchema>): void {
    this.tokenAnswers.push(answer);
    this.batcher.request(URGENT_FLUSH_MS);
  }

  public setTeamMode(team: string, isTight: boolean): void {
    this.teamModes.set(team, isTight);
    this.batcher.request(isTight ? URGENT_FLUSH_MS : FLUSH_MS);
  }

  public setRetryUse(service: string, usedPermille: number): void {
    this.retryStates.set(service, { service, usedPermille });
    this.batcher.request(FLUSH_MS);
  }

  /** Sends the changes of the advertised entries with the next batch. */
  public advertisedChanged(): void {
    this.batcher.request(FLUSH_MS);
  }

  /** Schedules the current plan if the entry does not have it. */
  public planChanged(): void {
    if (this.nextPlan() === undefined) return;
    const wait = this.planSentAt + PLAN_INTERVAL_MS - this.source.clock.now();
    this.batcher.request(Math.max(URGENT_FLUSH_MS, wait));
  }

  public dispose(): void {
    this.batcher.dispose();
    this.queue.end();
  }

  /** Lists of encoded messages are concatenated by concatenating the messages. */
  private takeEvidence(): HubUpdateInit | undefined {
    const batches = this.evidenceBatches;
    if (batches.length === 0) return undefined;
    this.evidenceBatches = [];
    const evidenceBatch = batches.length === 1 ? batches[0]! : Buffer.concat(batches);
    return this.withHandled({ evidenceBatch });
  }

  private withHandled(update: HubUpdateInit): HubUpdateInit {
    const handledReportMs = this.entryTime?.sentAtMs ?? 0;
    this.sentHandledMs = handledReportMs;
    return { ...update, handledReportMs };
  }

  private flush(): void {
    const { clock } = this.source;
    const update: HubUpdateInit = {
      plan: this.takePlan(),
      targets: [...this.targets.values()],
      removedTargets: [...this.removedTargets],
      teams: [...this.teamModes].map(([team, isTight]) => ({ team, isTight })),
      tokens: this.tokenAnswers.splice(0),
      retries: [...this.retryStates.values()],
      limits: [...this.limits.values()],
      suspects: [...this.suspects.values()].map((s) => toSuspectMessage(s, clock.now())),
      fleet: this.takeFleetUpdate(),
    };
    this.targets.clear();
    this.removedTargets.clear();
    this.teamModes.clear();
    this.limits.clear();
    this.suspects.clear();
    this.retryStates.clear();
    const isHandledSent = this.sentHandledMs === (this.entryTime?.sentAtMs ?? 0);
    const isEmpty = Object.values(update).every((part) => part === undefined || isEmptyList(part));
    if (!isEmpty || !isHandledSent) this.send(update);
  }

  private takeFleetUpdate(): HubUpdateInit['fleet'] {
    const advertised = this.source.advertised();
    const sent = this.sentAdvertised;
    if (advertised === sent) return undefined;
    this.sentAdvertised = advertised;
    return {
      isWhole: sent === undefined,
      named: [...advertised.values()].filter(({ address }) => !sent?.has(address)),
      dropped: [...(sent?.keys() ?? [])].filter((address) => !advertised.has(address)),
    };
  }

  /**
   * Returns the plan to send; undefined if there is none, if the entry already has it, or if it connected with a newer
   * one. An entry that connected with the same version is recorded as having the plan.
   */
  private nextPlan(): CommittedPlan | undefined {
    const current = this.source.currentPlan();
    if (current === undefined || current === this.sentPlan) return undefined;
    if (this.sentPlan !== undefined) return current;
    if (current.plan.version === this.initialVersion) this.sentPlan = current;
    return isNewerVersion(current.plan.version, this.initialVersion) ? current : undefined;
  }

  private takePlan(): HubUpdateInit['plan'] {
    const current = this.nextPlan();
    if (current === undefined) return undefined;
    const now = this.source.clock.now();
    if (now < this.planSentAt + PLAN_INTERVAL_MS) {
      this.batcher.request(this.planSentAt + PLAN_INTERVAL_MS - now);
      return undefined;
    }
    // An entry of the release before ignores version 0, and takes changes from it for a complete plan.
    const from = this.sentPlan?.plan.version === 0 ? undefined : this.sentPlan;
    this.sentPlan = current;
    this.planSentAt = now;
    const changes = this.source.encodeChanges(from, current);
    const form = from === undefined ? 'whole' : 'changes';
    sentPlansTotal.inc({ form });
    sentPlanBytesTotal.inc({ form }, changes.length);
    return {
      fromVersion: toVersionField(from?.plan.version),
      version: BigInt(current.plan.version),
      changes,
    };
  }
}
