/**
 * The hubs as the log process of a control VM knows them from the hub of the VM. It tells entries which one to follow, so
 * that an entry opens its one stream where it will stay, and an answer costs neither a stream nor time of the hub.
 */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { HubCandidate } from '../sync/HubCandidate.js';

/** Time without a further hub after which no more are expected. All control VMs start within some tenths of a second. */
const SETTLE_MS = 300;

/** The same while members of the replicated log are missing among the hubs: they may be down. */
const SETTLE_WITH_MISSING_MS = 1_000;

/** An entry that was sent to a hub counts there until it does in what that hub says of itself. */
const ASSIGNMENT_MS = 2_000;

/** Without news of the hub of this VM for longer, entries are sent to others. It reports at least every 300 ms. */
const OWN_HUB_TIMEOUT_MS = 2_000;

/**
 * A hub has room for an entry of its data centre up to the mean and this many entries more. When many hubs are lost at once,
 * those that remain in a data centre would have streams to open for longer than the others.
 */
const ROOM = 4;

/**
 * Random part of the load of a hub, as a share of the mean: each log process knows only of the entries that it has sent
 * itself, and all would send those of a hub that was lost to the same one.
 */
const SPREAD = 0.4;

export interface HubDirectoryContext {
  readonly clock: Clock;
  readonly random: Random;
  /** Number of members of the replicated log, as far as this VM knows. Each of their VMs runs a hub. */
  readonly memberCount: () => number;
}

export interface HubList {
  /** All hubs, in the order in which the entry should try them. */
  readonly hubs: readonly HubCandidate[];
  /** Whether further hubs are unlikely to be found soon. */
  readonly isSettled: boolean;
}

interface RankedHub {
  readonly hub: HubCandidate;
  /** Entries that follow the hub or were sent to it a short time ago. */
  readonly load: number;
}

export class HubDirectory {
  private hubs: readonly HubCandidate[] = [];

  private reportedAt = -Infinity;

  /** Time at which a hub was last found that had not been known. */
  private foundAt = -Infinity;

  /** Times at which entries were sent to each hub. */
  private readonly assignments = new Map<string, number[]>();

  public constructor(private readonly ctx: HubDirectoryContext) {}

  /** Sets the hubs that the hub of this VM knows, itself first. */
  public setHubs(hubs: readonly HubCandidate[]): void {
    if (hubs.length === 0) return;
    const now = this.ctx.clock.now();
    const known = new Set(this.hubs.map(({ address }) => address));
    if (hubs.some(({ address }) => !known.has(address))) this.foundAt = now;
    this.hubs = hubs;
    this.reportedAt = now;
  }

  /** Returns the hubs for an entry, and counts it as one of those of the first hub. */
  public list(dataCentre: string): HubList {
    const hubs = this.rank(dataCentre);
    const [first] = hubs;
    if (first !== undefined && this.isSettled) this.noteAssignment(first.address);
    return { hubs, isSettled: this.isSettled };
  }

  private get isSettled(): boolean {
    if (this.hubs.length === 0) return false;
    const isMissing = this.hubs.length < this.ctx.memberCount();
    const waitMs = isMissing ? SETTLE_WITH_MISSING_MS : SETTLE_MS;
    return this.ctx.clock.now() - this.foundAt >= waitMs;
  }

  /** Hubs with room in the data centre of the entry come first, then those elsewhere, and last those of no use now. */
  private rank(dataCentre: string): HubCandidate[] {
    const reported = this.hubs.reduce((sum, { entries }) => sum + entries, 0);
    const spread = (SPREAD * reported) / Math.max(1, this.hubs.length);
    const ranked = this.hubs.map((hub) => ({
      hub,
      load: hub.entries + this.assignedTo(hub) + spread * this.ctx.random.float(),
    }));
    const usable = ranked.filter(({ hub }) => this.isUsable(hub));
    const total = usable.reduce((sum, { load }) => sum + load, 0);
    const limit = ROOM + total / Math.max(1, usable.length);
    const groupOf = ({ hub, load }: RankedHub): number => {
      if (!this.isUsable(hub)) return 3;
      if (load >= limit) return 2;
      return hub.dataCentre === dataCentre ? 0 : 1;
    };
    return ranked
      .map((item) => ({ ...item, group: groupOf(item) }))
      .sort((a, b) => a.group - b.group || a.load - b.load)
      .map(({ hub }) => hub);
  }

  private isUsable(hub: HubCandidate): boolean {
    if (hub.isSilent || hub.isLate) return false;
    const isOwn = hub === this.hubs[0];
    return !isOwn || this.ctx.clock.now() - this.reportedAt < OWN_HUB_TIMEOUT_MS;
  }

  private assignedTo({ address }: HubCandidate): number {
    const since = this.ctx.clock.now() - ASSIGNMENT_MS;
    const recent = (this.assignments.get(address) ?? []).filter((at) => at > since);
    this.assignments.set(address, recent);
    return recent.length;
  }

  private noteAssignment(address: string): void {
    const times = this.assignments.get(address) ?? [];
    times.push(this.ctx.clock.now());
    this.assignments.set(address, times);
  }
}
