/**
 * Limits teams whose demand is above the max-min share and has grown more than that of the others. The second condition keeps
 * large teams with their usual demand from bearing a burst of all teams alone.
 */
import type { OfferedRate } from './ServiceLoadTable.js';
import { waterLevel, type Claim } from './water-level.js';

/** Usual demand is averaged over this time: much longer than a burst, short enough to follow the hours of the day. */
const USUAL_MEMORY_MS = 60_000;

/** Growth relative to the other teams that is left to the ranks. */
const TOLERATED_GROWTH = 1.15;

/** Usual demand of a team that had none, in requests a second, so that growth has a value. */
const MIN_USUAL = 0.01;

const NO_TEAM = '';

interface TeamDemand {
  readonly team: string;
  readonly demand: number;
  readonly arriving: number;
}

function byTeam(offered: readonly OfferedRate[]): TeamDemand[] {
  const sums = new Map<string, TeamDemand>();
  offered.forEach(({ team, perSecond, arriving }) => {
    const known = sums.get(team) ?? { team, demand: 0, arriving: 0 };
    sums.set(team, {
      team,
      demand: known.demand + perSecond,
      arriving: known.arriving + arriving,
    });
  });
  return [...sums.values()];
}

/** Median of the growth, weighted by the usual demand. */
function medianGrowth(claims: readonly Claim[]): number {
  const sorted = [...claims].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  const half = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2;
  let passed = 0;
  const median = sorted.find(({ weight }) => {
    passed += weight;
    return passed >= half;
  });
  return median === undefined ? 1 : median.demand / median.weight;
}

export class TeamCaps {
  /** Averages since the first update, each not yet divided by `seen`. */
  private readonly usual = new Map<string, number>();

  /** Share of the memory that has been filled. */
  private seen = 0;

  private updatedAt: number | undefined;

  private capped: ReadonlySet<string> = new Set();

  /** Admitted shares of the teams that are limited to keep the demand within the budget. */
  public update(
    offered: readonly OfferedRate[],
    budget: number,
    now: number,
  ): ReadonlyMap<string, number> {
    const teams = byTeam(offered);
    this.learn(teams, now);
    const total = teams.reduce((sum, { demand }) => sum + demand, 0);
    const caps = total <= budget ? new Map<string, number>() : this.caps(teams, budget);
    this.capped = new Set(caps.keys());
    return caps;
  }

  private caps(teams: readonly TeamDemand[], budget: number): ReadonlyMap<string, number> {
    const claims = teams.map(({ team, demand }) => ({ demand, weight: this.usualOf(team) }));
    const growth = Math.max(waterLevel(claims, budget), TOLERATED_GROWTH * medianGrowth(claims));
    const named = teams.filter(({ team }) => team !== NO_TEAM);
    const others = teams.filter(({ team }) => team === NO_TEAM);
    const left = others.reduce((rest, { demand }) => rest - demand, budget);
    const fair = waterLevel(
      named.map(({ demand }) => ({ demand, weight: 1 })),
      left,
    );
    return new Map(
      named.flatMap(({ team, demand, arriving }) => {
        const cap = Math.max(fair, growth * this.usualOf(team));
        return cap < demand ? [[team, cap / arriving] as const] : [];
      }),
    );
  }

  private usualOf(team: string): number {
    return Math.max(MIN_USUAL, (this.usual.get(team) ?? 0) / Math.max(this.seen, Number.EPSILON));
  }

  /** Averages the demand. That of a team that is limited does not count, or a long flood would become its usual demand. */
  private learn(teams: readonly TeamDemand[], now: number): void {
    const passedMs = this.updatedAt === undefined ? 1 : Math.max(0, now - this.updatedAt);
    this.updatedAt = now;
    const kept = Math.exp(-passedMs / USUAL_MEMORY_MS);
    const demands = new Map(teams.map(({ team, demand }) => [team, demand]));
    const all = new Set([...this.usual.keys(), ...demands.keys()]);
    all.forEach((team) => {
      const sample = this.capped.has(team) ? this.usualOf(team) : (demands.get(team) ?? 0);
      const average = (this.usual.get(team) ?? 0) * kept + sample * (1 - kept);
      this.usual.set(team, average);
    });
    this.seen = this.seen * kept + 1 - kept;
  }
}
