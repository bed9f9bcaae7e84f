/** Levels of hubs in the simulation: the code of hubs and entries, connected by messages with delays. */
import type { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { Random } from '@marigoldbank/base/random';
import type { EndedAttempt } from '../OwnLevel.js';
import { RankLevelPolicy } from '../RankLevelPolicy.js';
import { ServiceLevels, type LevelRequest } from '../ServiceLevels.js';
import { ServiceLoadTable } from '../ServiceLoadTable.js';
import { SERVICE, SimAdmission } from './SimAdmission.js';
import type { SimTargets } from './SimTargets.js';

const HUBS = 5;
const REPORT_MS = 200;
const LEVEL_MS = 500;
const RELAY_DELAY_MS = 50;
const SETTLE_MS = 2_000;
const RECONNECT_MS = 1_200;

interface SimHub {
  readonly table: ServiceLoadTable;
  readonly policy: RankLevelPolicy;
  readonly pending: Map<string, { rank: number; team: string; offered: number; refused: number }>;
  ended: number;
  unplaced: number;
  isLost: boolean;
}

export class HubLevels extends SimAdmission {
  protected readonly hubs: SimHub[];

  private readonly levels: ServiceLevels[];

  private readonly hubOf: number[];

  public constructor(
    private readonly clock: VirtualClock,
    private readonly targets: SimTargets,
    entries: number,
    seed: number,
  ) {
    super();
    const random = new Random(seed);
    this.hubs = Array.from({ length: HUBS }, () => ({
      table: new ServiceLoadTable(clock.now()),
      policy: new RankLevelPolicy(),
      pending: new Map(),
      ended: 0,
      unplaced: 0,
      isLost: false,
    }));
    this.levels = Array.from({ length: entries }, () => new ServiceLevels(random.fork()));
    this.levels.forEach((levels) => levels.setRanked(new Set([SERVICE])));
    this.hubOf = this.levels.map((_, i) => i % HUBS);
    const described = Array.from({ length: targets.count }, (_, i) => ({
      id: `${i}`,
      service: SERVICE,
      dataCentre: `dc-${i % 3}`,
      slots: targets.slots / targets.count,
    }));
    this.hubs.forEach(({ table }, i) => {
      table.setTargets(described);
      this.every(REPORT_MS, (i * REPORT_MS) / HUBS, () => this.report(this.hubs[i]!));
      this.every(LEVEL_MS, SETTLE_MS + (i * LEVEL_MS) / HUBS, () => this.update(i));
    });
  }

  public override decide(entry: number, request: LevelRequest, now: number): number | undefined {
    const decision = this.levels[entry]!.decide(request, now);
    const { rank, team } = request;
    const hub = this.hubs[this.hubOf[entry]!]!;
    const key = `${rank} ${team}`;
    const counts = hub.pending.get(key) ?? { rank, team, offered: 0, refused: 0 };
    hub.pending.set(key, counts);
    counts.offered += 1;
    if (decision.kind === 'admitted') return undefined;
    counts.refused += 1;
    return decision.waitMs;
  }

  public override noteEnded(entry: number, attempt: EndedAttempt, now: number): boolean {
    if (!attempt.isRejected) this.hubs[this.hubOf[entry]!]!.ended += 1;
    return this.levels[entry]!.noteEnded(SERVICE, attempt, now);
  }

  public override noteUnplaced(entry: number): void {
    this.hubs[this.hubOf[entry]!]!.unplaced += 1;
  }

  public override loseHub(): void {
    const lost = this.hubs[0]!;
    lost.isLost = true;
    this.clock.setTimeout(() => {
      const orphans = this.hubOf.flatMap((hub, entry) => (hub === 0 ? [entry] : []));
      orphans.forEach((entry, i) => {
        this.hubOf[entry] = 1 + (i % (HUBS - 1));
      });
    }, RECONNECT_MS);
  }

  private report(hub: SimHub): void {
    if (hub.isLost) return;
    const now = this.clock.now();
    const counts = [...hub.pending.values()];
    const { ended, unplaced } = hub;
    hub.pending.clear();
    Object.assign(hub, { ended: 0, unplaced: 0 });
    this.hubs.forEach((other) =>
      this.clock.setTimeout(
        () => {
          const at = this.clock.now();
          const key = { service: SERVICE, dataCentre: 'dc-0' };
          counts.forEach((count) => other.table.addDemand({ ...key, ...count }, at));
          other.table.addEnded(SERVICE, ended, at);
          other.table.addUnplaced(SERVICE, unplaced, at);
        },
        other === hub ? 0 : RELAY_DELAY_MS,
      ),
    );
    const heard = this.hubOf.filter((i) => !this.hubs[i]!.isLost).length / this.hubOf.length;
    const inFlight = (id: string): number =>
      Math.round(this.targets.inFlightAt(Number(id)) * heard);
    hub.table.sample(inFlight, heard, now);
  }

  private update(index: number): void {
    const { table, policy, isLost } = this.hubs[index]!;
    if (isLost) return;
    const now = this.clock.now();
    const input = { offered: table.offeredTo(SERVICE, now), ...table.usedRoomOf(SERVICE) };
    const level = policy.update(input, now);
    this.levels
      .filter((_, entry) => this.hubOf[entry] === index)
      .forEach((levels) => {
        levels.noteHub(now);
        levels.setLevel(SERVICE, level);
      });
  }

  private every(periodMs: number, offsetMs: number, fn: () => void): void {
    const again = (): void => {
      fn();
      this.clock.setTimeout(again, periodMs);
    };
    this.clock.setTimeout(again, offsetMs);
  }
}
