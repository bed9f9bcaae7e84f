/**
 * Token budgets of teams at one hub. The leader grants tokens to all entries; a hub that has lost its leader grants
 * tokens to the entries connected to it.
 */
import { Random } from '@marigoldbank/base/random';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import type { Team } from '@marigoldbank/routing/plan';
import {
  ISOLATED_RATE_FRACTION,
  TeamBuckets,
  type TeamMode,
  type TokenDecision,
  type TokenGrant,
  type TokenOrder,
} from '@marigoldbank/routing/TeamBuckets';
import type { TeamHistory } from '@marigoldbank/routing/TeamHistories';
import type { TeamTolerance } from '@marigoldbank/routing/teamTolerance';
import { teamTokensGrantedTotal } from '../metrics.js';

/** A leader without a message for this long counts as lost; hubs send a message every 400 ms. */
const LEADER_TIMEOUT_MS = 1_200;

/** Names of teams in one log line. */
const MAX_LOGGED_TEAMS = 5;

const MAX_SEED = 0x7fffffff;

/** State that the role of this hub depends on, and receivers of mode changes. */
export interface TeamBudgetsContext {
  readonly logger: Logger;
  readonly isLeader: () => boolean;
  /** Time (monotonic ms) of the last message of another hub that leads, -Infinity without one. */
  readonly leaderLastMessageAt: () => number;
  /** Numbers of entries. */
  readonly entries: (now: number) => {
    /** Entries connected to this hub. */
    readonly own: number;
    /** Entries connected to any hub. */
    readonly connected: number;
    /** Entries that may be serving: connected ones, and those lost a short time ago. */
    readonly expected: number;
  };
  /** What teams may have beyond their rates; undefined for nothing. */
  readonly tolerance?: () => TeamTolerance | undefined;
  /** Passes on what entries admitted, and what this hub granted. */
  readonly sendToLeader?: (
    histories: readonly TeamHistory[],
    granted: readonly TeamHistory[],
  ) => void;
  readonly sendToEntries: (modes: readonly TeamMode[]) => void;
  /** `holder` is the number of this holder. */
  readonly sendToHubs: (modes: readonly TeamMode[], holder: number) => void;
}

/** `whole`: the leader, which grants the whole budget. `substitute`: a hub without a leader, which grants a share. */
type Role = 'none' | 'whole' | 'substitute';

export class TeamBudgets {
  private readonly buckets = new TeamBuckets(new Random(Math.floor(Math.random() * MAX_SEED)));

  /** Whether teams are short of tokens, as last sent by the leader. */
  private readonly leaderModes = new Map<string, boolean>();

  private role: Role = 'none';

  /** Number of this hub as a holder, drawn anew each time that it begins to grant, and that of the leader; 0 if unknown. */
  private ownNumber = 0;

  private leaderNumber = 0;

  private share = 0;

  private teams: readonly Team[] = [];

  public constructor(private readonly ctx: TeamBudgetsContext) {}

  /** Number that stands for the holder of the budgets and changes with it, 0 if unknown. */
  public get holderNumber(): number {
    return this.isGranting ? this.ownNumber : this.leaderNumber;
  }

  /** Whether this hub grants tokens. */
  public get isGranting(): boolean {
    return this.role !== 'none';
  }

  public setTeams(teams: readonly Team[], now: number): void {
    this.teams = teams;
    this.configure(now);
  }

  /** Updates the role of this hub and publishes modes that changed. */
  public tick(now: number): void {
    this.updateRole(now);
    this.publishModeChanges(now);
  }

  /** Stores modes sent by the leader and forwards them unless this hub grants tokens itself. */
  public setLeaderModes(modes: readonly TeamMode[], holder: number): void {
    this.leaderNumber = holder;
    modes.forEach(({ team, isTight }) => this.leaderModes.set(team, isTight));
    if (this.role === 'none') this.ctx.sendToEntries(modes);
  }

  /** Modes for an entry that connects to this hub. */
  public modesForEntry(): TeamMode[] {
    if (this.isGranting) return this.buckets.modes();
    return [...this.leaderModes].map(([team, isTight]) => ({ team, isTight }));
  }

  /** Modes for the snapshot to another hub: only those of the leader apply there. */
  public modesForHub(): TeamMode[] {
    return this.role === 'whole' ? this.buckets.modes() : [];
  }

  /** Charges requests that entries have already admitted; below 0 for more that were not run. */
  public charge(team: string, admitted: number, now: number): void {
    if (this.isGranting) this.buckets.charge(team, admitted, now);
  }

  /** Adds what entries admitted before they knew of this holder, or forwards it to the leader. */
  public addHistories(histories: readonly TeamHistory[], now: number): void {
    if (histories.length === 0) return;
    if (this.isGranting) histories.forEach((history) => this.buckets.addHistory(history, now));
    else this.ctx.sendToLeader?.(histories, []);
  }

  /** Adds what holders before this one granted, or forwards it to the leader. */
  public addGranted(granted: readonly TeamHistory[], now: number): void {
    if (granted.length === 0) return;
    if (this.isGranting) granted.forEach((history) => this.buckets.addGranted(history, now));
    else this.ctx.sendToLeader?.([], granted);
  }

  /** Notifies entries and hubs of teams that have become short of tokens or have enough again. */
  public publishModeChanges(now: number): void {
    if (!this.isGranting) return;
    const modes = this.buckets.takeModeChanges(now);
    if (modes.length === 0) return;
    this.logModes(modes);
    this.publish(modes);
  }

  /** Grants or refuses one token. */
  public take(team: string, now: number): TokenDecision {
    const decision = this.buckets.take(team, now);
    if (decision.kind === 'granted') this.countGranted(1);
    return decision;
  }

  /** Grants tokens that another hub has ordered. */
  public takeOrder(order: TokenOrder, now: number): TokenGrant {
    const grant = this.buckets.takeOrder(order, now);
    this.countGranted(grant.granted);
    return grant;
  }

  private countGranted(count: number): void {
    teamTokensGrantedTotal.inc({ role: this.role }, count);
  }

  /** One line for all teams, and their names if they are few: each change of role changes the modes of all. */
  private logModes(modes: readonly TeamMode[]): void {
    const tight = modes.filter(({ isTight }) => isTight).map(({ team }) => team);
    const relaxed = modes.filter(({ isTight }) => !isTight).map(({ team }) => team);
    const namesOf = (teams: readonly string[]): string =>
      teams.slice(0, MAX_LOGGED_TEAMS).join(',');
    this.ctx.logger.info('team budget modes', {
      role: this.role,
      tightCount: tight.length,
      tight: namesOf(tight),
      relaxedCount: relaxed.length,
      relaxed: namesOf(relaxed),
    });
  }

  private updateRole(now: number): void {
    const { ctx, role: before } = this;
    const isLeader = ctx.isLeader();
    const hasLeader = now - ctx.leaderLastMessageAt() < LEADER_TIMEOUT_MS;
    if (isLeader) this.role = 'whole';
    else this.role = hasLeader ? 'none' : 'substitute';
    const share = this.shareAt(now);
    const isSameRole = this.role === before;
    if (isSameRole && share === this.share) return;
    this.share = share;
    const granted = isSameRole ? [] : this.buckets.recentGrants(now);
    if (!isSameRole) {
      this.buckets.clear();
      this.ownNumber = 1 + Math.floor(Math.random() * MAX_SEED);
    }
    this.configure(now);
    if (isSameRole) return;
    this.addGranted(granted, now);
    ctx.logger.info('role in lending team budgets', { role: this.role, before });
    if (this.isGranting) this.publish(this.buckets.modes());
    else ctx.sendToEntries(this.modesForEntry());
  }

  /** Share of the budgets granted here. The leader withholds what entries that it cannot reach may use meanwhile. */
  private shareAt(now: number): number {
    const { own, connected, expected } = this.ctx.entries(now);
    const all = Math.max(1, expected);
    if (this.role === 'whole') return 1 - (ISOLATED_RATE_FRACTION * (all - connected)) / all;
    return this.role === 'substitute' ? (ISOLATED_RATE_FRACTION * own) / all : 0;
  }

  private configure(now: number): void {
    if (!this.isGranting) return;
    this.buckets.configure(this.teams, now, {
      rateFraction: this.share,
      isPart: this.role === 'substitute',
      wasTight: (team) => this.leaderModes.get(team),
      tolerance: this.ctx.tolerance?.(),
    });
  }

  private publish(modes: readonly TeamMode[]): void {
    this.ctx.sendToEntries(modes);
    if (this.role !== 'whole') return;
    modes.forEach(({ team, isTight }) => this.leaderModes.set(team, isTight));
    this.ctx.sendToHubs(modes, this.ownNumber);
  }
}
