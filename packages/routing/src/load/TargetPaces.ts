/**
 * How fast the targets of a service are compared with each other, and which share of their slots they use. A hub learns it
 * from the outcomes that its entries report, and takes the mean with what other hubs say; an entry takes what its hub says.
 */
import type { Incarnation } from '../TargetNotices.js';
import { LearntPace, weightAfter, type PaceEvidence } from './LearntPace.js';

/** A pace without new evidence is forgotten after this time. */
export const PACE_MEMORY_MS = 10_000;

/**
 * Weight of the assumption that a target is like the others, in outcomes. Durations vary, and contain waits for slots that the
 * entry could not know of: with few outcomes, healthy targets would seem slow, get no requests, and keep that pace.
 */
const PRIOR_OUTCOMES = 4;

export interface TargetPace {
  /** Duration of a request as a multiple of the mean of the service. */
  readonly pace: number;
  /** Share of the slots that the target uses, in (0, 1]. */
  readonly room: number;
}

/** What a hub says of a target. Undefined values mean that nothing is known any more. */
export interface PaceStatement {
  readonly id: string;
  readonly born: number;
  readonly pace: TargetPace | undefined;
  /** Number of outcomes behind it, of which older ones count less. Infinite for a statement that is to be taken as it is. */
  readonly outcomes: number;
}

export const USUAL_PACE: TargetPace = { pace: 1, room: 1 };

export interface ITargetPaces {
  paceOf(target: Incarnation, now: number): TargetPace;
}

/** A target of which outcomes are known. */
export interface PacedTarget {
  readonly id: string;
  readonly born: number;
  readonly service: string;
  readonly slots: number;
}

interface ToldPace {
  readonly born: number;
  readonly pace: TargetPace;
  readonly outcomes: number;
  readonly at: number;
}

/** A mean by the entries of one hub. */
type WeighedPace = Pick<ToldPace, 'pace' | 'outcomes'>;

interface ServiceMean {
  durations: number;
  answered: number;
  at: number;
}

/** The mean by the numbers of outcomes, drawn to the usual pace if there are few. */
function merge(items: readonly WeighedPace[]): TargetPace {
  const sum = items.reduce((total, { outcomes }) => total + outcomes, 0);
  const total = sum + PRIOR_OUTCOMES;
  const shift = items.reduce((all, { pace, outcomes }) => all + (pace.pace - 1) * outcomes, 0);
  const room = items.reduce((all, { pace }) => all + pace.room, 0) / items.length;
  return { pace: 1 + shift / total, room };
}

export class TargetPaces implements ITargetPaces {
  private readonly learnt = new Map<string, { service: string; pace: LearntPace }>();

  /** What others said, by target and source. */
  private readonly told = new Map<string, Map<string, ToldPace>>();

  private readonly means = new Map<string, ServiceMean>();

  /** Learns from outcomes that entries reported to this hub. */
  public observe(target: PacedTarget, evidence: PaceEvidence, now: number): void {
    const { id, born, service, slots } = target;
    const known = this.learnt.get(id);
    const isKnown = known?.pace.born === born && now - known.pace.lastAt < PACE_MEMORY_MS;
    const pace = isKnown ? known.pace : new LearntPace(born, slots);
    if (!isKnown) this.learnt.set(id, { service, pace });
    pace.observe(evidence, now);
    const total = this.means.get(service) ?? { durations: 0, answered: 0, at: now };
    const weight = weightAfter(now - total.at);
    this.means.set(service, {
      durations: total.durations * weight + evidence.durations,
      answered: total.answered * weight + evidence.answered,
      at: now,
    });
  }

  /** Takes what another hub said of a target. */
  public note(source: string, { id, born, pace, outcomes }: PaceStatement, now: number): void {
    const bySource = this.told.get(id) ?? new Map<string, ToldPace>();
    if (pace === undefined) bySource.delete(source);
    else bySource.set(source, { born, pace, outcomes, at: now });
    if (bySource.size === 0) this.told.delete(id);
    else this.told.set(id, bySource);
  }

  public remove(id: string): void {
    this.learnt.delete(id);
    this.told.delete(id);
  }

  /** Forgets everything that others said. */
  public forgetTold(): void {
    this.told.clear();
  }

  /** Removes what has not been renewed. */
  public expire(now: number): void {
    [...this.learnt]
      .filter(([, { pace }]) => now - pace.lastAt >= PACE_MEMORY_MS)
      .forEach(([id]) => this.learnt.delete(id));
    this.told.forEach((bySource, id) => {
      [...bySource]
        .filter(([, { at }]) => now - at >= PACE_MEMORY_MS)
        .forEach(([source]) => bySource.delete(source));
      if (bySource.size === 0) this.told.delete(id);
    });
  }

  /** Targets of which anything is known. */
  public get known(): ReadonlySet<string> {
    return new Set([...this.learnt.keys(), ...this.told.keys()]);
  }

  public paceOf(target: Incarnation, now: number): TargetPace {
    const { id, born = 0 } = target;
    const bySource = this.told.get(id);
    const own = this.learnt.size === 0 ? undefined : this.learntPace(target, now);
    if (bySource === undefined) return own === undefined ? USUAL_PACE : merge([own]);
    const told = [...bySource.values()].filter(
      (item) => item.born === born && now - item.at < PACE_MEMORY_MS,
    );
    const known = told.find(({ outcomes }) => outcomes === Infinity);
    if (known !== undefined) return known.pace;
    const faded = told.map(({ pace, outcomes, at }) => ({
      pace,
      outcomes: outcomes * weightAfter(now - at),
    }));
    const all = own === undefined ? faded : [...faded, own];
    return all.length === 0 ? USUAL_PACE : merge(all);
  }

  /** What the entries of this hub showed, undefined if nothing. */
  public learntPace({ id, born = 0 }: Incarnation, now: number): WeighedPace | undefined {
    const known = this.learnt.get(id);
    if (known === undefined || known.pace.born !== born) return undefined;
    if (now - known.pace.lastAt >= PACE_MEMORY_MS) return undefined;
    const total = this.means.get(known.service);
    const usual =
      total === undefined || total.answered === 0 ? 1 : total.durations / total.answered;
    const { ratio, outcomes } = known.pace.meanRatio(now);
    const pace = outcomes === 0 ? 1 : ratio / usual;
    return { pace: { pace, room: known.pace.room }, outcomes };
  }

  /** Share of requests that the target rejects while it has free slots, 0 if nothing is known. */
  public steadyRejectionOf({ id, born = 0 }: Incarnation, now: number): number {
    const pace = this.learnt.get(id)?.pace;
    const isKnown = pace?.born === born && now - pace.lastAt < PACE_MEMORY_MS;
    return isKnown ? pace.steadyRejection : 0;
  }
}
