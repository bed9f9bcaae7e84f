/** Team budgets at one hub: lent by the leader to all entries, or by a hub without a leader to its own. */
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { Team } from '@marigoldbank/routing/plan';
import {
  ISOLATED_RATE_FRACTION,
  TeamBuckets,
  type TeamMode,
  type TokenDecision,
} from '@marigoldbank/routing/TeamBuckets';

/** Hubs say something every 400 ms; a leader that was not heard for this long lends nothing here any more. */
const LEADER_SILENCE_MS = 1_200;

/** What the lending depends on, and where its modes go. */
export interface TeamBudgetsContext {
  readonly logger: Logger;
  readonly isLeader: () => boolean;
  /** Monotonic ms at which the leader was last heard, -Infinity without one. */
  readonly leaderHeardAt: () => number;
  /** Entries that follow this hub, that follow any hub, and that may be serving. */
  readonly entries: (now: number) => {
    readonly own: number;
    readonly followed: number;
    readonly expected: number;
  };
  readonly tellEntries: (modes: readonly TeamMode[]) => void;
  readonly tellHubs: (modes: readonly TeamMode[]) => void;
}

/** `whole` is the leader's role, `substitute` that of a hub without a leader. */
type Role = 'none' | 'whole' | 'substitute';

export class TeamBudgets {
  private readonly buckets = new TeamBuckets();

  /** Whether teams are short of tokens, as the leader said last. */
  private readonly leaderModes = new Map<string, boolean>();

  private role: Role = 'none';

  private part = 0;

  private teams: readonly Team[] = [];

  public constructor(private readonly ctx: TeamBudgetsContext) {}

  /** Whether tokens are decided here. */
  public get isLending(): boolean {
    return this.role !== 'none';
  }

  public setTeams(teams: readonly Team[], now: number): void {
    this.teams = teams;
    this.configure(now);
  }

  /** Takes over or gives up lending, and tells modes that changed. */
  public tick(now: number): void {
    this.adoptRole(now);
    this.tell(now);
  }

  /** Learns modes from the leader. */
  public adoptModes(modes: readonly TeamMode[]): void {
    modes.forEach(({ team, isTight }) => this.leaderModes.set(team, isTight));
    if (this.role === 'none') this.ctx.tellEntries(modes);
  }

  /** Modes for an entry that begins to follow this hub. */
  public modesForEntry(): TeamMode[] {
    if (this.isLending) return this.buckets.modes();
    return [...this.leaderModes].map(([team, isTight]) => ({ team, isTight }));
  }

  /** Modes for a hub that begins to listen: only the leader's count there. */
  public modesForHub(): TeamMode[] {
    return this.role === 'whole' ? this.buckets.modes() : [];
  }

  /** Charges requests that were admitted already. */
  public report(team: string, admitted: number, now: number): void {
    if (this.isLending) this.buckets.charge(team, admitted, now);
  }

  /** Tells entries and hubs which teams have become short of tokens or have enough again. */
  public tell(now: number): void {
    if (!this.isLending) return;
    const modes = this.buckets.takeModeChanges(now);
    if (modes.length === 0) return;
    modes.forEach((mode) => this.ctx.logger.info('team budget mode', { ...mode, role: this.role }));
    this.spread(modes);
  }

  /** Decides on one token. */
  public take(team: string, now: number): TokenDecision {
    return this.buckets.take(team, now);
  }

  private adoptRole(now: number): void {
    const { ctx, role: before } = this;
    const isLeader = ctx.isLeader();
    const hasLeader = now - ctx.leaderHeardAt() < LEADER_SILENCE_MS;
    if (isLeader) this.role = 'whole';
    else this.role = hasLeader ? 'none' : 'substitute';
    const part = this.partOf(now);
    const isSame = this.role === before;
    if (isSame && part === this.part) return;
    this.part = part;
    if (!isSame) this.buckets.clear();
    this.configure(now);
    if (isSame) return;
    ctx.logger.info('role in lending team budgets', { role: this.role, before });
    if (this.isLending) this.spread(this.buckets.modes());
    else ctx.tellEntries(this.modesForEntry());
  }

  /** The leader keeps back what entries that it misses may use by themselves. */
  private partOf(now: number): number {
    const { own, followed, expected } = this.ctx.entries(now);
    const all = Math.max(1, expected);
    if (this.role === 'whole') return 1 - (ISOLATED_RATE_FRACTION * (all - followed)) / all;
    return this.role === 'substitute' ? (ISOLATED_RATE_FRACTION * own) / all : 0;
  }

  private configure(now: number): void {
    if (!this.isLending) return;
    this.buckets.configure(this.teams, now, {
      rateFraction: this.part,
      wasTight: (team) => this.leaderModes.get(team),
    });
  }

  private spread(modes: readonly TeamMode[]): void {
    this.ctx.tellEntries(modes);
    if (this.role !== 'whole') return;
    modes.forEach(({ team, isTight }) => this.leaderModes.set(team, isTight));
    this.ctx.tellHubs(modes);
  }
}
