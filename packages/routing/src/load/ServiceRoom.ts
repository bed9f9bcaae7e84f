/**
 * Room of one service. The typical duration of a request at a target follows from the slots in use and the requests that end:
 * a target with a queue uses all of its slots, so that time in its queue does not count. Requests that a target rejects take
 * no slot, and failures that do take one count like successes, so that only a lack of slots lowers the room.
 */
import { DecayedMean } from './DecayedMean.js';
import { DecayedRate } from './DecayedRate.js';
import type { Room } from './types.js';

/** Short enough to follow targets that become slow for seconds, long enough for a mean over hundreds of requests. */
const MEMORY_MS = 2_000;

/** With all slots in use on average, some targets have a queue while others have free slots. */
const UNEVEN_LOAD = 1.25;

const BUSY_MEMORY_MS = 1_000;

/**
 * Number of samples, one each 200 ms, by which ended requests become known later than the slots that they use. Without the
 * delay, targets would seem to be slow while demand rises.
 */
const DELAY_SAMPLES = 2;

/** Duration that is assumed before any request has ended. */
const INITIAL_DURATION_S = 0.2;

/** With fewer requests a second that end, the last known duration is kept. */
const MIN_ENDED_PER_SECOND = 2;

/**
 * A target without a request for this long does not count while all others are in use: it cannot be reached, or is not to be
 * used.
 */
const UNUSED_MS = 2_000;

/** Samples cover at most this time; a hub that was suspended did not see what happened meanwhile. */
const MAX_SAMPLE_MS = 400;

/** How long a target takes relative to others of its service, and the share of its slots that it uses. */
export interface PaceOfTarget {
  readonly pace: number;
  readonly room: number;
}

/** Room of the targets that are in use. */
export interface UsedRoom {
  /** Requests a second. */
  readonly room: number;
  /** Mean share of their slots that is in use. */
  readonly busyShare: number;
  /** Requests that wait in the queues of targets, beyond those that an uneven distribution causes. */
  readonly queued: number;
}

export interface LoadedTarget {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
}

interface Counts {
  slots: number;
  /** Slots, each divided by the pace of its target. */
  pacedSlots: number;
  inFlight: number;
}

export class ServiceRoom {
  private readonly ended: DecayedRate;

  /** Slots in use when the requests that have ended were running, averaged over the same time. */
  private readonly busyBefore = new DecayedMean(MEMORY_MS);

  /** Slots in use lately. */
  private readonly busyNow = new DecayedMean(BUSY_MEMORY_MS);

  /** Slots in use at the last samples, the newest last. */
  private samples: readonly number[] = [];

  private sampledAt: number;

  private durationS = INITIAL_DURATION_S;

  private readonly usedAt = new Map<string, number>();

  /** Slots of the targets in use, each divided by the pace of its target and not. */
  private used = { slots: 0, pacedSlots: 0, inFlight: 0 };

  private counts: ReadonlyMap<string, Counts> = new Map();

  public constructor(startedAt: number) {
    this.ended = new DecayedRate(MEMORY_MS, startedAt);
    this.sampledAt = startedAt;
  }

  /** Counts requests that targets have processed, whatever the result. */
  public addEnded(count: number, now: number): void {
    this.ended.add(count, now);
  }

  /** Notes the requests in flight. `heardShare` is the share of the entries whose requests they include. */
  public sample(
    targets: readonly LoadedTarget[],
    inFlightOf: (target: string) => number,
    paceOf: (target: string) => PaceOfTarget,
    heardShare: number,
    now: number,
  ): void {
    const counts = new Map<string, Counts>();
    const used = { slots: 0, pacedSlots: 0, inFlight: 0 };
    let busySlots = 0;
    targets.forEach(({ id, dataCentre, slots }) => {
      const { pace, room } = paceOf(id);
      const usable = slots * room * heardShare;
      const inFlight = inFlightOf(id);
      busySlots += Math.min(inFlight, usable);
      const sum = counts.get(dataCentre) ?? { slots: 0, pacedSlots: 0, inFlight: 0 };
      sum.slots += usable;
      sum.pacedSlots += usable / pace;
      sum.inFlight += inFlight;
      counts.set(dataCentre, sum);
      if (inFlight > 0) this.usedAt.set(id, now);
      if (now - (this.usedAt.get(id) ?? -Infinity) > UNUSED_MS) return;
      used.slots += usable;
      used.pacedSlots += usable / pace;
      used.inFlight += inFlight;
    });
    if (this.usedAt.size > targets.length) this.forgetOthers(targets);
    this.used = used;
    const passedMs = Math.min(MAX_SAMPLE_MS, now - this.sampledAt);
    this.samples = [...this.samples, busySlots].slice(-1 - DELAY_SAMPLES);
    this.busyBefore.add(this.samples[0]!, passedMs);
    this.busyNow.add(busySlots, passedMs);
    this.counts = counts;
    this.sampledAt = now;
    const ended = this.ended.perSecond(now);
    if (ended >= MIN_ENDED_PER_SECOND * heardShare && busySlots > 0) {
      this.durationS = this.busyBefore.value / ended;
    }
  }

  public usedRoom(): UsedRoom {
    const { slots, pacedSlots, inFlight } = this.used;
    const busyShare = slots === 0 ? 0 : this.busyNow.value / slots;
    const queued = Math.max(0, inFlight - UNEVEN_LOAD * slots);
    return { room: pacedSlots / this.durationS, busyShare, queued };
  }

  public rooms(): Room[] {
    return [...this.counts].map(([dataCentre, { slots, pacedSlots, inFlight }]) => ({
      dataCentre,
      perSecond: pacedSlots / this.durationS,
      slots,
      inFlight,
    }));
  }

  private forgetOthers(targets: readonly LoadedTarget[]): void {
    const ids = new Set(targets.map(({ id }) => id));
    [...this.usedAt.keys()].filter((id) => !ids.has(id)).forEach((id) => this.usedAt.delete(id));
  }
}
