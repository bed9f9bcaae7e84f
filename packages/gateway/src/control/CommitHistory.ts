/**
 * Tells entries what was committed in the log and they may not have: the plan, with the changes since the one that they hold,
 * targets that leave, and evacuations. Their hubs send them all of it; an entry asks when its hub has not confirmed its state for a
 * while, since the hub may be cut off, late or lost.
 */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type {
  CommittedStateSchema,
  LogMemberSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { PlanUpdateSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { IReplicatedLog, Member } from '@marigoldbank/replicated-log';
import type { HeldState } from '../sync/HeldState.js';
import { toVersionField } from '../sync/plan-version.js';
import { PlanEncoder } from './PlanEncoder.js';
import { RecentPlans } from './RecentPlans.js';
import { StoredCommands } from './StoredCommands.js';
import type { PlanStateMachine } from './PlanStateMachine.js';
import type { StateConfirmation } from './StateConfirmation.js';

/** Targets that leave end within seconds. An entry that was without any control VM for longer gets them from its next hub. */
const LEAVING_MS = 60_000;

/**
 * Bytes of the changes in an answer. A change of a few routes takes 1 to 2 kB, so that the datagram may take several packets. It is
 * lost more often then, which costs less than a call by each entry of the fleet while the log processes are saturated.
 */
const MAX_DATAGRAM_CHANGES = 4_000;

/** Without changes an answer fits into one packet. */
const MAX_DATAGRAM_LEAVING = 16;
const MAX_RESTORED = 4;

/** Age of the confirmation above which an entry is told what is stored here. Entries count a younger one. */
const MAX_CONFIRMED_MS = 1_000;

export interface CommitHistoryContext {
  readonly clock: Clock;
  readonly stateMachine: Pick<
    PlanStateMachine,
    | 'current'
    | 'evacuations'
    | 'leavingMark'
    | 'onDidChangePlan'
    | 'onDidMarkLeaving'
    | 'onDidApply'
  >;
  readonly confirmation: Pick<StateConfirmation, 'confirmedAgeMs'>;
  readonly log: Pick<IReplicatedLog, 'status' | 'storedAfter'>;
  readonly logger: Logger;
}

interface Leaving {
  readonly id: string;
  readonly born: number;
  /** Undefined for a mark of a snapshot, until the next command: it may be of any index up to that. */
  readonly index: number | undefined;
  /** Monotonic ms. */
  readonly at: number;
}

type CommittedStateInit = Exclude<
  MessageInitShape<typeof CommittedStateSchema>,
  { readonly $typeName: string }
>;

type LogMemberInit = Exclude<
  MessageInitShape<typeof LogMemberSchema>,
  { readonly $typeName: string }
>;

export class CommitHistory {
  private readonly plans: RecentPlans;

  private leaving: readonly Leaving[] = [];

  /** Versions between which changes were logged as left out. */
  private loggedLeftOut = '';

  private readonly encoder = new PlanEncoder();

  private readonly storedEncoder = new PlanEncoder();

  private readonly stored: StoredCommands;

  public constructor(private readonly ctx: CommitHistoryContext) {
    this.stored = new StoredCommands(ctx.log, ctx.stateMachine);
    this.plans = new RecentPlans(ctx.stateMachine);
    ctx.stateMachine.onDidMarkLeaving((id) => this.addLeaving(id));
    ctx.stateMachine.onDidApply(({ index }) => this.setIndex(index));
  }

  /** What is committed, for a datagram, and what is stored if that is not confirmed. Undefined before the first plan. */
  public stateFor(held: HeldState): CommittedStateInit | undefined {
    const ageMs = this.ctx.confirmation.confirmedAgeMs();
    const committed = this.committedFor(held, ageMs);
    if (ageMs <= MAX_CONFIRMED_MS) return committed;
    const room = MAX_DATAGRAM_CHANGES - (committed?.changes?.length ?? 0);
    const stored = this.storedFor(held, room);
    if (stored === undefined) return committed;
    const { evacuated, leaving: storedLeaving } = this.stored.read();
    const leaving = storedLeaving
      .slice(-MAX_DATAGRAM_LEAVING)
      .map(({ id, born }) => ({ id, born: BigInt(born) }));
    // Each of these targets has said that it leaves, whether the mark is committed or not.
    return {
      index: BigInt(held.index),
      ...committed,
      leaving: [...(committed?.leaving ?? []), ...leaving].slice(0, MAX_DATAGRAM_LEAVING),
      // An order that was acknowledged is stored at a majority, and in force before a leader commits it again.
      evacuations: [
        ...this.ctx.stateMachine.evacuations.messages(),
        ...evacuated.map((dataCentre) => ({ dataCentre, isEvacuated: true, index: 0n })),
      ],
      stored,
    };
  }

  private storedFor(held: HeldState, room: number): CommittedStateInit['stored'] {
    const { membership, self } = this.ctx.log.status();
    const { lastTerm, lastIndex, plan } = this.stored.read();
    const toMember = ({ incarnation, address }: Member): LogMemberInit => ({
      incarnation,
      address,
    });
    if (plan === undefined) return undefined;
    const { version } = plan.plan;
    const base = this.plans.planOf(held.planVersion) ?? this.stored.planOf(held.planVersion);
    const changes =
      version > held.planVersion && base !== undefined
        ? this.storedEncoder.encode(base, plan)
        : undefined;
    return {
      member: toMember(self),
      lastTerm: BigInt(lastTerm),
      lastIndex: BigInt(lastIndex),
      voters: membership.voters.map(toMember),
      version: BigInt(version),
      ...(changes !== undefined && changes.length <= room ? { changes } : {}),
    };
  }

  private committedFor(held: HeldState, ageMs: number): CommittedStateInit | undefined {
    const { current } = this.plans;
    if (current === undefined) return undefined;
    const { version } = current.plan;
    const isNewer = version > held.planVersion;
    const base = this.plans.planOf(held.planVersion);
    const changes = isNewer && base !== undefined ? this.encoder.encode(base, current) : undefined;
    const doesFit = (changes?.length ?? 0) <= MAX_DATAGRAM_CHANGES;
    const isLeftOut = isNewer && (changes === undefined || !doesFit);
    if (isLeftOut) this.logLeftOut(held.planVersion, version, changes);
    return {
      version: BigInt(version),
      ...(Number.isFinite(ageMs) ? { confirmedAgeMs: Math.ceil(Math.max(0, ageMs)) } : {}),
      ...(isNewer && !isLeftOut ? { changes } : {}),
      isPlanLeftOut: isLeftOut,
      evacuations: this.ctx.stateMachine.evacuations.messages(),
      ...this.leavingAfter(held.index),
    };
  }

  /** Each entry that holds that plan has to fetch the changes, which costs much more than a datagram. */
  private logLeftOut(from: number, to: number, changes: Uint8Array | undefined): void {
    const key = `${from} ${to}`;
    if (key === this.loggedLeftOut) return;
    this.loggedLeftOut = key;
    this.ctx.logger.info('changes of the plan are left out of datagrams', {
      from,
      version: to,
      bytes: changes?.length ?? 0,
      isBaseKnown: changes !== undefined,
    });
  }

  /** The changes from a version to the current plan, or the complete plan. Undefined before the first plan. */
  public updateFrom(
    heldVersion: number | undefined,
    isStored = false,
  ): MessageInitShape<typeof PlanUpdateSchema> | undefined {
    const current = isStored ? this.stored.read().plan : this.plans.current;
    if (current === undefined) return undefined;
    const storedBase = isStored ? this.stored.planOf(heldVersion) : undefined;
    const base = this.plans.planOf(heldVersion) ?? storedBase;
    const encoder = isStored ? this.storedEncoder : this.encoder;
    return {
      fromVersion: toVersionField(base?.plan.version),
      version: BigInt(current.plan.version),
      changes: encoder.encode(base, current),
    };
  }

  private addLeaving(id: string): void {
    const { clock, stateMachine } = this.ctx;
    const mark = stateMachine.leavingMark(id, 0);
    if (mark === undefined) return;
    const now = clock.now();
    const recent = this.leaving.filter(({ at }) => now - at < LEAVING_MS);
    this.leaving = [...recent, { id, born: mark.born, index: undefined, at: now }];
  }

  /** Sets the index of marks that were added since the command before. */
  private setIndex(index: number): void {
    if (this.leaving.at(-1)?.index !== undefined) return;
    this.leaving = this.leaving.map((mark) => ({ ...mark, index: mark.index ?? index }));
  }

  /** As many targets as fit into a datagram, with the newest of a snapshot, whose index is not known. */
  private leavingAfter(
    held: number,
  ): Pick<CommittedStateInit, 'leaving' | 'index' | 'hasMoreLeaving'> {
    const now = this.ctx.clock.now();
    const recent = this.leaving.filter(({ at }) => now - at < LEAVING_MS);
    const restored = recent.filter(({ index }) => index === undefined).slice(-MAX_RESTORED);
    const later = recent.filter(({ index }) => index !== undefined && index > held);
    const sent = later.slice(0, MAX_DATAGRAM_LEAVING);
    return {
      leaving: [...sent, ...restored].map(({ id, born }) => ({ id, born: BigInt(born) })),
      index: BigInt(sent.at(-1)?.index ?? held),
      hasMoreLeaving: later.length > sent.length,
    };
  }
}
