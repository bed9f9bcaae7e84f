/** A fleet of entries and fake upstreams on virtual time, with faults that scenarios switch on and off. */
import { setPeriodic } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { rankAcrossDataCentres } from '@marigoldbank/base/rendezvous';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import {
  Coordinator,
  type CoordinateRequest,
  type CoordinateResponse,
  type ProfileParameters,
  type RotationStatus,
} from '@marigoldbank/ejection';
import type { Deployment } from './deployments.js';
import { EntryModel, type FakeRequest, type Surroundings, type Variant } from './EntryModel.js';
import { FakeTarget, type Fault } from './FakeTarget.js';
import { Measures } from './Measures.js';

export interface FleetOptions {
  readonly deployment: Deployment;
  readonly variant: Variant;
  readonly seed: number;
  readonly parameters?: Partial<ProfileParameters>;
}

interface EntryPlace {
  readonly vm: string;
  readonly dataCentre: string;
  entry: EntryModel | undefined;
  coordinator: Coordinator | undefined;
}

export const FLOOR = 0.6;

const ANNOUNCE_INTERVAL_MS = 500;
const COORDINATORS = 5;
const SAMPLE_MS = 25;
const CALLER_RESEND_MS = 200;
const POISON_RESENDS = 40;

/** Late decisions about a fault that has just ended are not false. */
const FAULT_GRACE_MS = 3_000;

export class FleetModel implements Surroundings {
  public readonly clock = new VirtualClock();

  public readonly measures = new Measures();

  public readonly deployment: Deployment;

  public readonly variant: Variant;

  public readonly floor = FLOOR;

  public readonly targets: FakeTarget[];

  public readonly places: EntryPlace[];

  /** Factor on a team's rate. */
  public readonly greed = new Map<string, number>();

  /** Share of all requests that go to the first entry. */
  public skew = 0;

  public readonly random: Random;

  private readonly ranking: EntryPlace[];

  private readonly cuts = new Set<string>();

  private readonly targetsById: Map<string, FakeTarget>;

  /** Targets whose fault must be found, with the time at which it began. */
  private readonly awaited = new Map<FakeTarget, number>();

  private readonly lastStatus = new Map<string, RotationStatus>();

  private readonly lastAvoided = new Set<string>();

  private sequence = 0;

  public constructor(private readonly options: FleetOptions) {
    this.deployment = options.deployment;
    this.variant = options.variant;
    this.random = new Random(options.seed);
    const { entries, dataCentres, targets } = this.deployment;
    const dataCentreOf = (i: number): string => `dc-${i % dataCentres}`;
    this.targets = Array.from(
      { length: targets },
      (_, i) =>
        new FakeTarget(`t-${i}`, dataCentreOf(i), this.deployment, this.clock, this.random.fork()),
    );
    this.targetsById = new Map(this.targets.map((target) => [target.id, target]));
    this.places = Array.from({ length: entries }, (_, i) => ({
      vm: `entry-${i}`,
      dataCentre: dataCentreOf(i),
      entry: undefined,
      coordinator: undefined,
    }));
    this.ranking = rankAcrossDataCentres(this.deployment.name, this.places).slice(0, COORDINATORS);
    this.ranking.forEach((place) => this.startCoordinator(place));
    this.targets.forEach((target) => this.startAnnouncing(target));
    this.clock.advance(ANNOUNCE_INTERVAL_MS + 100);
    this.places.forEach((place) => this.startEntry(place));
    this.clock.advance(500);
    this.deployment.teams.forEach(({ team, rate }) => this.scheduleArrival(team, rate));
    setPeriodic(this.clock, () => this.sample(), SAMPLE_MS);
  }

  public readonly entryCount = (): number => this.places.length;

  /** Runs for some time and returns nothing; figures are in `measures`. */
  public run(durationMs: number): void {
    this.clock.advance(durationMs);
    this.measures.undetected += this.awaited.size;
  }

  public at(delayMs: number, fn: () => void): void {
    this.clock.setTimeout(fn, delayMs);
  }

  public startFault(target: FakeTarget, fault: Fault, isAwaited = true): void {
    Object.assign(target, { fault, faultyUntil: Number.POSITIVE_INFINITY });
    if (isAwaited) this.awaited.set(target, this.clock.now());
  }

  public endFault(target: FakeTarget): void {
    Object.assign(target, { fault: {}, faultyUntil: this.clock.now() + FAULT_GRACE_MS });
    if (this.awaited.delete(target)) this.measures.undetected += 1;
  }

  public cut(entry: number, target: FakeTarget): void {
    this.cuts.add(`${this.places[entry]!.vm} ${target.id}`);
  }

  public stopEntry(place: EntryPlace): void {
    place.entry?.dispose();
    Object.assign(place, { entry: undefined, coordinator: undefined });
  }

  public startEntry(place: EntryPlace): void {
    const entry = new EntryModel(place.vm, place.dataCentre, this, this.random.fork());
    Object.assign(place, { entry });
    if (this.ranking.includes(place) && place.coordinator === undefined) {
      this.startCoordinator(place);
    }
  }

  public leave(target: FakeTarget): void {
    Object.assign(target, { state: 'leaving', leavingAt: this.clock.now() + 3_000 });
    this.announce(target);
  }

  public sendPoison(): void {
    this.sequence += 1;
    this.send(
      { team: 'small-1', isIdempotent: true, isPoison: true, fingerprint: 'poison' },
      POISON_RESENDS,
    );
  }

  public targetOf(id: string): FakeTarget {
    return this.targetsById.get(id)!;
  }

  public isCut(entry: EntryModel, target: FakeTarget): boolean {
    return this.cuts.has(`${entry.vm} ${target.id}`);
  }

  public poll(
    from: EntryModel,
    rank: number,
    req: CoordinateRequest,
    onAnswer: (res: CoordinateResponse) => void,
  ): void {
    const place = this.ranking[rank]!;
    const isLocal = place.dataCentre === from.dataCentre;
    const oneWayMs = isLocal ? 0.2 : this.deployment.interDataCentreMs;
    this.clock.setTimeout(() => {
      const res = place.coordinator?.handleCoordinate(req);
      if (res === undefined) return;
      this.noteDecisions(place.vm, res);
      this.clock.setTimeout(() => onAnswer(res), oneWayMs);
    }, oneWayMs);
  }

  private startCoordinator(place: EntryPlace): void {
    const { clock, deployment } = this;
    const coordinator = new Coordinator({ clock, parameters: this.options.parameters });
    coordinator.setServices([
      { service: deployment.name, profile: deployment.profile, floor: this.floor },
    ]);
    Object.assign(place, { coordinator });
  }

  private startAnnouncing(target: FakeTarget): void {
    this.clock.setTimeout(() => {
      this.announce(target);
      setPeriodic(this.clock, () => this.announce(target), ANNOUNCE_INTERVAL_MS);
    }, this.random.float() * ANNOUNCE_INTERVAL_MS);
  }

  private announce(target: FakeTarget): void {
    if (!target.isRunning) return;
    const announcement = target.announce();
    this.clock.setTimeout(() => {
      this.ranking.forEach(({ coordinator }) => coordinator?.handleAnnouncements([announcement]));
    }, this.deployment.interDataCentreMs);
  }

  private scheduleArrival(team: string, rate: number): void {
    const factor = this.greed.get(team) ?? 1;
    this.clock.setTimeout(
      () => {
        this.scheduleArrival(team, rate);
        this.sequence += 1;
        const isIdempotent = this.random.chance(this.deployment.idempotentShare);
        this.send({ team, isIdempotent, isPoison: false, fingerprint: `r-${this.sequence}` }, 1);
      },
      this.random.exponential(1_000 / (rate * factor)),
    );
  }

  /** A caller sends a request to some entry, and sends it again when its answer was lost. */
  private send(
    req: Omit<FakeRequest, 'arrivedAt' | 'deadlineAt'>,
    resends: number,
    sentAt = this.clock.now(),
  ): void {
    const { clientMs, deadlineMs } = this.deployment;
    this.clock.setTimeout(() => {
      const entry = this.chooseEntry();
      const arrivedAt = this.clock.now();
      const timed = { ...req, arrivedAt, deadlineAt: arrivedAt + deadlineMs };
      entry?.handle(timed, (end, addedMs) => {
        if (end === 'lost' && resends > 0) {
          const again = (): void => this.send(req, resends - 1, sentAt);
          this.clock.setTimeout(again, CALLER_RESEND_MS);
          return;
        }
        if (req.isPoison) this.measures.poisonRefused += end === 'quarantined' ? 1 : 0;
        else if (end === 'quarantined') this.measures.innocentsQuarantined += 1;
        if (req.isPoison) return;
        const latencyMs = this.clock.now() + clientMs - sentAt;
        this.measures.record(req.team, end === 'lost' ? 'failed' : end, latencyMs, addedMs);
      });
    }, clientMs);
  }

  /** Callers use any entry that serves; they notice within the address ttl that one does not. */
  private chooseEntry(): EntryModel | undefined {
    const [first] = this.places;
    if (this.skew > 0 && this.random.chance(this.skew) && first?.entry?.isDraining === false) {
      return first.entry;
    }
    for (let i = 0; i < this.places.length; i += 1) {
      const { entry } = this.random.pick(this.places)!;
      if (entry?.isDraining === false && this.random.chance(entry.callerShare)) return entry;
    }
    return undefined;
  }

  private noteDecisions(
    coordinator: string,
    { targets, suspectedReporters }: CoordinateResponse,
  ): void {
    if (suspectedReporters.length > 0) this.measures.suspectedMs ??= this.clock.now();
    targets.forEach(({ announcement: { target }, status }) => {
      const key = `${coordinator} ${target}`;
      const before = this.lastStatus.get(key);
      this.lastStatus.set(key, status);
      if (status !== 'ejected' || before === 'ejected') return;
      if (!this.targetOf(target).isFaulty) this.measures.falseEjections += 1;
    });
  }

  private sample(): void {
    const entries = this.places.flatMap(({ entry }) => (entry === undefined ? [] : [entry]));
    this.awaited.forEach((since, target) => {
      if (!entries.every((entry) => entry.hasOut(target.id))) return;
      this.awaited.delete(target);
      this.measures.detectionMs.push(this.clock.now() - since);
    });
    if (this.variant.pool === 'naive') this.sampleNaive(entries);
  }

  /** Ejections of healthy targets by single entries. */
  private sampleNaive(entries: readonly EntryModel[]): void {
    entries.forEach((entry) => {
      this.targets.forEach((target) => {
        const key = `${entry.vm} ${target.id}`;
        if (!entry.hasOut(target.id)) this.lastAvoided.delete(key);
        else if (!this.lastAvoided.has(key)) {
          this.lastAvoided.add(key);
          if (!target.isFaulty && !this.cuts.has(key)) this.measures.falseAvoidances += 1;
        }
      });
    });
  }
}
