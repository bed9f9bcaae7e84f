/** Outgoing stream to another hub: relays the reports of the entries and targets of this hub, in batches. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import { delay, type Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type {
  HubRelaySchema,
  RelayedTokenAnswerSchema,
  RelayedTokenSchema,
  SyncService,
  TargetSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { SuspectStatement } from '@marigoldbank/routing/PoisonTable';
import type { TeamHistory } from '@marigoldbank/routing/TeamHistories';
import type { Pace } from '../sync/BatchPace.js';
import { Batcher } from '../sync/Batcher.js';
import { encodeEvidenceBatch } from '../sync/evidence-batch.js';
import type { TargetLimitInit } from '../sync/limit-codec.js';
import { MessageQueue } from '../sync/MessageQueue.js';
import { addServiceUse, type ServiceUseCounts } from '../sync/service-use.js';
import { toTeamHistoryMessage } from '../sync/team-history.js';
import { toTeamUse } from '../sync/team-use.js';
import { toSuspectMessage } from '../sync/suspect-codec.js';
import { URGENT_FLUSH_MS } from './EntrySession.js';
import { RelayEvidence } from './RelayEvidence.js';

const RECONNECT_MS = 300;

/** Reports are batched for this time. It is short because the leader charges team budgets by them. */
const FLUSH_MS = 40;

/** The same for counts that are summed up over seconds, to a peer in another data centre if such traffic has a price. */
const PRICED_FLUSH_MS = 200;

/** Minimum time between two batches, also of failures and token requests, which are sent without delay otherwise. */
const MIN_INTERVAL_MS = 20;

export type HubRelayInit = MessageInitShape<typeof HubRelaySchema>;

type HubRelayFields = Exclude<HubRelayInit, { readonly $typeName: string }>;

/** State of the hub that a link reads. */
export interface RelaySource {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly pace: Pace;
  /** Full state for the start of a stream. */
  readonly snapshot: () => HubRelayInit;
  /** Requests in flight at a target from the entries connected to this hub. */
  readonly ownInFlight: (target: string) => number;
  /** Number of a target, undefined if it was removed. */
  readonly refOf: (target: string) => number | undefined;
  /** Whether outcomes at a target can reach the peer later than usual. */
  readonly canWait?: (target: string) => boolean;
  /** Whether the peer is in another data centre and traffic between them has a price. */
  readonly isPriced?: () => boolean;
}

export class RelayLink implements IDisposable {
  private queue: MessageQueue<HubRelayInit> | undefined;

  private readonly evidence: RelayEvidence;

  private readonly targets = new Map<string, MessageInitShape<typeof TargetSchema>>();

  private readonly limits = new Map<string, TargetLimitInit>();

  private readonly suspects = new Map<string, SuspectStatement>();

  private readonly usesByService = new Map<string, ServiceUseCounts>();

  private readonly usedByTeam = new Map<string, number>();

  private readonly teamHistories: TeamHistory[] = [];

  private readonly teamGrants: TeamHistory[] = [];

  private readonly tokens: MessageInitShape<typeof RelayedTokenSchema>[] = [];

  private readonly tokenAnswers: MessageInitShape<typeof RelayedTokenAnswerSchema>[] = [];

  /** Numbers of targets that the peer knows from this stream. */
  private readonly sentRefs = new Set<number>();

  private readonly batcher: Batcher;

  private readonly abort = new AbortController();

  /** Whether the peer has sent a message since the last stream to it ended. */
  private hasPeerMessage = false;

  public constructor(
    public readonly address: string,
    private readonly client: Client<typeof SyncService>,
    private readonly source: RelaySource,
  ) {
    this.evidence = new RelayEvidence(() => source.clock.now());
    this.batcher = new Batcher(source.clock, () => this.flush(), MIN_INTERVAL_MS, source.pace);
  }

  /** Keeps a stream open and reconnects until disposed. */
  public async run(): Promise<void> {
    while (!this.abort.signal.aborted) {
      await this.stream();
      await delay(this.source.clock, RECONNECT_MS);
    }
  }

  /** Sends a message at once. Drops it if there is no stream; the next stream starts with a snapshot. */
  public send(message: HubRelayInit): void {
    this.queue?.push({ ...message, sentAtMs: this.source.clock.now() });
  }

  public addEvidence(id: string, succeeded: number, failed: number, suspect: number): void {
    const counts = { id, succeeded, failed, suspect };
    const isHeld = this.evidence.add(counts, this.source.canWait?.(id) === true);
    if (isHeld) this.requestHeld();
    else this.batcher.request(failed > 0 ? URGENT_FLUSH_MS : FLUSH_MS);
  }

  public setTarget(target: MessageInitShape<typeof TargetSchema> & { readonly id: string }): void {
    this.targets.set(target.id, target);
    this.batcher.request(FLUSH_MS);
  }

  public addUse({ service, ...counts }: ServiceUseCounts & { readonly service: string }): void {
    const known = this.usesByService.get(service);
    this.usesByService.set(service, known === undefined ? counts : addServiceUse(known, counts));
    this.batcher.request(this.source.isPriced?.() === true ? PRICED_FLUSH_MS : FLUSH_MS);
  }

  public setLimit(limit: TargetLimitInit): void {
    this.limits.set(limit.id, limit);
    this.batcher.request(URGENT_FLUSH_MS);
  }

  /** Passes on losses of a request, without delay if there are several: most requests are lost once at most. */
  public setSuspect(suspect: SuspectStatement): void {
    this.suspects.set(suspect.fingerprint, suspect);
    const isRepeated = suspect.losses.length > 1;
    this.batcher.request(isRepeated ? URGENT_FLUSH_MS : FLUSH_MS);
  }

  /** Forwards a token request of an entry. Dropped without a stream: the entry decides itself after a while. */
  public addTokenRequest(token: MessageInitShape<typeof RelayedTokenSchema>): void {
    this.tokens.push(token);
    this.batcher.request(URGENT_FLUSH_MS);
  }

  /** Sends the answer to a token request that the peer has forwarded. */
  public addTokenAnswer(answer: MessageInitShape<typeof RelayedTokenAnswerSchema>): void {
    this.tokenAnswers.push(answer);
    this.batcher.request(URGENT_FLUSH_MS);
  }

  /** Orders tokens in advance. Orders are few, and requests wait for them. */
  public sendTokenOrders(tokenOrders: HubRelayFields['tokenOrders']): void {
    this.send({ tokenOrders });
  }

  public sendTokenGrants(tokenGrants: HubRelayFields['tokenGrants']): void {
    this.send({ tokenGrants });
  }

  /** `used` is below 0 if more tokens are returned than used. */
  public addTeamUse(team: string, used: number): void {
    this.usedByTeam.set(team, (this.usedByTeam.get(team) ?? 0) + used);
    this.batcher.request(FLUSH_MS);
  }

  public addTeamHistories(
    histories: readonly TeamHistory[],
    granted: readonly TeamHistory[],
  ): void {
    this.teamHistories.push(...histories);
    this.teamGrants.push(...granted);
    this.batcher.request(FLUSH_MS);
  }

  public dispose(): void {
    this.abort.abort();
    this.batcher.dispose();
    this.queue?.end();
  }

  private async stream(): Promise<void> {
    const queue = new MessageQueue<HubRelayInit>();
    this.dropPending();
    this.queue = queue;
    this.sentRefs.clear();
    queue.push({ ...this.source.snapshot(), sentAtMs: this.source.clock.now() });
    try {
      await this.client.relay(queue, { signal: this.abort.signal });
    } catch (err) {
      // Not logged for a peer that has sent nothing since the last stream ended, such as a VM that is down.
      if (this.hasPeerMessage) {
        const context = { hub: this.address, error: String(err) };
        this.source.logger.warn('stream to another hub ended', context);
      }
    }
    this.hasPeerMessage = false;
    queue.end();
    if (this.queue === queue) this.queue = undefined;
  }

  /** Logs the first message of the peer since the last stream to it ended. */
  public notePeerMessage(): void {
    if (this.hasPeerMessage) return;
    this.hasPeerMessage = true;
    this.source.logger.info('receiving messages from another hub', { hub: this.address });
  }

  private flush(): void {
    if (this.queue === undefined) {
      this.dropPending();
      return;
    }
    const { clock } = this.source;
    this.send({
      targets: [...this.targets.values()],
      ...this.takeEvidence(),
      uses: [...this.usesByService].map(([service, counted]) => ({ service, ...counted })),
      teams: [...this.usedByTeam].map(([team, used]) => toTeamUse(team, used)),
      teamHistories: this.teamHistories.splice(0).map(toTeamHistoryMessage),
      teamGrants: this.teamGrants.splice(0).map(toTeamHistoryMessage),
      tokens: this.tokens.splice(0),
      answers: this.tokenAnswers.splice(0),
      limits: [...this.limits.values()],
      suspects: [...this.suspects.values()].map((s) => toSuspectMessage(s, clock.now())),
    });
    this.targets.clear();
    this.limits.clear();
    this.suspects.clear();
    this.usesByService.clear();
    this.usedByTeam.clear();
    // Another message may have taken the place of the one that was due.
    this.requestHeld();
  }

  private requestHeld(): void {
    const { heldForMs } = this.evidence;
    if (heldForMs !== undefined) this.batcher.request(Math.max(FLUSH_MS, heldForMs));
  }

  /** Evidence as numbers, which take a quarter of the bytes of messages with the ids of the targets. */
  private takeEvidence(): Pick<HubRelayInit, 'targetRefs' | 'evidenceBatch'> {
    const { ownInFlight, refOf } = this.source;
    const items = this.evidence.take(ownInFlight).flatMap(({ id, ...counts }) => {
      const ref = refOf(id);
      return ref === undefined ? [] : [{ id, ref, entryRef: 0, ...counts }];
    });
    if (items.length === 0) return {};
    const targetRefs = items
      .filter(({ ref }) => !this.sentRefs.has(ref))
      .map(({ id, ref }) => ({ id, ref }));
    targetRefs.forEach(({ ref }) => this.sentRefs.add(ref));
    return { targetRefs, evidenceBatch: encodeEvidenceBatch(items) };
  }

  /**
   * Drops pending data that the snapshot of the next stream contains or that is outdated by then. Counts of requests,
   * of retries and of uses of teams are kept: they count against the budgets even if the peer receives them late.
   */
  private dropPending(): void {
    this.evidence.clear();
    this.targets.clear();
    this.limits.clear();
    this.suspects.clear();
    this.tokens.length = 0;
    this.tokenAnswers.length = 0;
  }
}
