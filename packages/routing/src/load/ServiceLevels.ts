/**
 * Decides at an entry whether a request is admitted, by the levels of the hub. Without a hub for some time, the entry goes by
 * what targets rejected of its own requests. Times are monotonic ms.
 */
import type { Random } from '@marigoldbank/base/random';
import { OPEN_LEVEL, type Level } from './LevelPolicy.js';
import { OwnLevel, type EndedAttempt } from './OwnLevel.js';

/** Time for which levels are valid after the last message of a hub. */
const VALID_MS = 3_000;

export interface LevelRequest {
  readonly service: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Empty for requests without a team. */
  readonly team: string;
}

export type LevelDecision =
  | { readonly kind: 'admitted' }
  /** `waitMs` is the expected time until there is room. */
  | { readonly kind: 'refused'; readonly waitMs: number; readonly decidedBy: 'hub' | 'entry' };

const ADMITTED: LevelDecision = { kind: 'admitted' };

export class ServiceLevels {
  private readonly levels = new Map<string, Level>();

  private readonly own = new Map<string, OwnLevel>();

  private heardAt = -Infinity;

  /** Services whose requests differ in rank or have teams. */
  private ranked: ReadonlySet<string> = new Set();

  public constructor(private readonly random: Random) {}

  public setRanked(services: ReadonlySet<string>): void {
    this.ranked = services;
  }

  /** Drops all levels: a new hub sends those that it knows. */
  public clear(): void {
    this.levels.clear();
  }

  public setLevel(service: string, level: Level): void {
    this.levels.set(service, level);
  }

  /** Notes a message of the hub. */
  public noteHub(now: number): void {
    this.heardAt = now;
  }

  /** Decides on a request, and counts it. */
  public decide({ service, rank, team }: LevelRequest, now: number): LevelDecision {
    if (!this.ranked.has(service)) return ADMITTED;
    const own = this.ownOf(service);
    own.noteOffered(rank, now);
    const hasHub = now - this.heardAt < VALID_MS;
    const { ranks, teams, waitMs } = hasHub ? this.levelOf(service) : own.level(now);
    const share = (ranks.get(rank) ?? 1) * (teams.get(team) ?? 1);
    if (share >= 1 || this.random.chance(share)) return ADMITTED;
    return { kind: 'refused', waitMs, decidedBy: hasHub ? 'hub' : 'entry' };
  }

  /** Notes an attempt, and returns whether the target rejected it for lack of room. */
  public noteEnded(service: string, attempt: EndedAttempt, now: number): boolean {
    return this.ranked.has(service) && this.ownOf(service).noteEnded(attempt, now);
  }

  private levelOf(service: string): Level {
    return this.levels.get(service) ?? OPEN_LEVEL;
  }

  private ownOf(service: string): OwnLevel {
    const known = this.own.get(service);
    if (known !== undefined) return known;
    const created = new OwnLevel();
    this.own.set(service, created);
    return created;
  }
}
