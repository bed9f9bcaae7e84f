/** Replicated state machine that holds the configuration. */
import { Emitter, type Event } from '@marigoldbank/base/events';
import { StateMachine } from '@marigoldbank/replicated-log';
import { z } from 'zod';
import { applyChange, type Effect } from './apply-change.js';
import { AuditTrail } from './AuditTrail.js';
import {
  auditRecordSchema,
  changeResultSchema,
  changeSchema,
  type Change,
  type ChangeResult,
} from './changes.js';
import {
  EMPTY_CONFIG,
  fleetConfigSchema,
  viewSchema,
  type FleetConfig,
  type FleetView,
} from './config.js';
import { describeChange } from './describe-change.js';

/** Results kept for resent changes. At 16,000 changes a day this covers three days. */
const MAX_KEPT_RESULTS = 50_000;

/** Recorded changes kept for entries that are some revisions behind. */
const MAX_KEPT_CHANGES = 2_000;

/** List changes kept to explain conflicts. */
const MAX_KEPT_LIST_CHANGES = 1_000;

const listChangeSchema = z.object({
  revision: z.number().int(),
  operator: z.string(),
  summary: z.string(),
});

const snapshotSchema = z.object({
  config: fleetConfigSchema,
  results: z.array(z.tuple([z.string(), changeResultSchema])),
  listChanges: z.array(listChangeSchema),
  openViews: z.array(viewSchema),
  audit: z.array(auditRecordSchema),
});

type ListChange = z.infer<typeof listChangeSchema>;

interface RecordedChange {
  readonly revision: number;
  readonly change: Change;
}

function encode(value: unknown): Uint8Array {
  return new TextEncoder().encode(JSON.stringify(value));
}

function decode(data: Uint8Array): unknown {
  return JSON.parse(new TextDecoder().decode(data));
}

function tryDecodeChange(data: Uint8Array): Change | undefined {
  try {
    return changeSchema.safeParse(decode(data)).data;
  } catch {
    return undefined;
  }
}

/** Serialises a change for `propose`. */
export function encodeChange(change: Change): Uint8Array {
  return encode(change);
}

/** Parses a result returned by `propose`. */
export function decodeChangeResult(data: Uint8Array): ChangeResult {
  return changeResultSchema.parse(decode(data));
}

/** Applies changes to the configuration, keeps their results for resends and appends them to the audit trail. */
export class ConfigStateMachine extends StateMachine {
  private readonly changeEmitter = new Emitter<FleetConfig>();

  /** Fires for each new revision that `apply` creates, in order; not for `restore`. */
  public readonly onDidChange: Event<FleetConfig> = this.changeEmitter.event;

  private current: FleetConfig = EMPTY_CONFIG;

  /** Results by change id, oldest first. */
  private results = new Map<string, ChangeResult>();

  private listChanges: ListChange[] = [];

  private recorded: RecordedChange[] = [];

  private trail = new AuditTrail();

  private earlierViews: readonly FleetView[] = [];

  public get config(): FleetConfig {
    return this.current;
  }

  public get audit(): AuditTrail {
    return this.trail;
  }

  /** Views before the current one that have not been replaced by an accepted view, oldest first. */
  public get openViews(): readonly FleetView[] {
    return this.earlierViews;
  }

  /** The result of a change that was already applied. */
  public resultOf(changeId: string): ChangeResult | undefined {
    return this.results.get(changeId);
  }

  /** Changes after `revision` in order, or undefined if they are no longer kept. */
  public changesSince(revision: number): readonly Change[] | undefined {
    const first = this.recorded[0]?.revision;
    if (first === undefined || revision + 1 < first || revision > this.current.revision) {
      return undefined;
    }
    return this.recorded.slice(revision + 1 - first).map((item) => item.change);
  }

  public override apply(_index: number, data: Uint8Array): Uint8Array {
    const change = tryDecodeChange(data);
    if (change === undefined) {
      return encode({ kind: 'rejected', reasons: ['the change could not be read'] });
    }
    const known = this.results.get(change.changeId);
    if (known !== undefined) return encode(known);
    return encode(this.applyNew(change));
  }

  public override snapshot(): Uint8Array {
    return encode({
      config: this.current,
      results: [...this.results],
      listChanges: this.listChanges,
      openViews: this.earlierViews,
      audit: this.trail.records,
    });
  }

  public override restore(snapshot: Uint8Array): void {
    const state = snapshotSchema.parse(decode(snapshot));
    this.current = state.config;
    this.results = new Map(state.results);
    this.listChanges = state.listChanges;
    this.earlierViews = state.openViews;
    this.recorded = [];
    this.trail = new AuditTrail(state.audit);
  }

  private applyNew(change: Change): ChangeResult {
    const effect = applyChange(this.current, change);
    const summary = describeChange(change);
    if (change.kind === 'acceptView') this.dropReplacedViews(change.epoch);
    if (effect.kind === 'changed') this.adopt(change, effect, summary);
    const result = this.toResult(change, effect);
    this.rememberResult(change.changeId, result);
    this.trail.append({
      revision: this.current.revision,
      at: change.at,
      operator: change.operator,
      changeId: change.changeId,
      changeKind: change.kind,
      summary,
      result,
    });
    return result;
  }

  private adopt(
    change: Change,
    effect: Extract<Effect, { kind: 'changed' }>,
    summary: string,
  ): void {
    const before = this.current.view;
    this.current = effect.config;
    if (before.epoch !== effect.config.view.epoch) {
      this.earlierViews = [...this.earlierViews, before];
    }
    const { revision } = effect.config;
    this.recorded.push({ revision, change });
    if (this.recorded.length > MAX_KEPT_CHANGES) this.recorded.shift();
    this.changeEmitter.fire(effect.config);
    if (!effect.isListsChange) return;
    this.listChanges.push({ revision, operator: change.operator, summary });
    if (this.listChanges.length > MAX_KEPT_LIST_CHANGES) this.listChanges.shift();
  }

  /** Drops the views that an accepted view replaces, which are all earlier ones. */
  private dropReplacedViews(epoch: number): void {
    this.earlierViews = this.earlierViews.filter((view) => view.epoch >= epoch);
  }

  private toResult(change: Change, effect: Effect): ChangeResult {
    switch (effect.kind) {
      case 'changed':
        return { kind: 'recorded', revision: this.current.revision };
      case 'unchanged':
        return { kind: 'unchanged', revision: this.current.revision };
      case 'rejected':
        return { kind: 'rejected', reasons: [...effect.reasons] };
      default:
        return this.toConflict(change);
    }
  }

  private toConflict(change: Change): ChangeResult {
    const base = 'baseListsRevision' in change ? change.baseListsRevision : 0;
    return {
      kind: 'conflict',
      currentListsRevision: this.current.listsRevision,
      changedSince: this.listChanges.filter((item) => item.revision > base),
    };
  }

  private rememberResult(changeId: string, result: ChangeResult): void {
    this.results.set(changeId, result);
    if (this.results.size <= MAX_KEPT_RESULTS) return;
    const oldest = this.results.keys().next();
    if (!oldest.done) this.results.delete(oldest.value);
  }
}
