/** A simulated fleet of entries and upstreams on virtual time, with faults that scenarios start and end. */
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
import { EntryModel, type FakeRequest, type EntryEnvironment, type Variant } from './EntryModel.js';
import { FakeTarget, type Fault } from './FakeTarget.js';
import { Measures } from './Measures.js';

export interface FleetOptions {
  readonly deployment: Deployment;
  readonly variant: Variant;
  readonly seed: number;
  readonly parameters?: Partial<ProfileParameters>;
}

interface EntryVm {
  readonly vm: string;
  readonly dataCentre: string;
  entry: EntryModel | undefined;
  coordinator: Coordinator | undefined;
}

export const FLOOR = 0.6;

const ANNOUNCE_INTERVAL_MS = 500;
const COORDINATORS = 5;
const SAMPLE_MS = 25;
const RESEND_DELAY_MS = 200;
const POISON_RESENDS = 40;

/** An ejection this soon after the end of a fault does not count as false. */
const FAULT_GRACE_MS = 3_000;

export class FleetModel implements EntryEnvironment {
  public readonly clock = new VirtualClock();

  public readonly measures = new Measures();

  public readonly deployment: Deployment;

  public readonly variant: Variant;

  public readonly floor = FLOOR;

  public readonly targets: FakeTarget[];

  public readonly entryVms: EntryVm[];

  /** Factor on the request rate, by team; 1 for a team that is missing. */
  public readonly rateFactors = new Map<string, number>();

  /** Share of all requests that go to the first entry. */
  public skew = 0;

  public readonly random: Random;

  private readonly ranking: EntryVm[];

  private readonly cuts = new Set<string>();

  private readonly targetsById: Map<string, FakeTarget>;

  /** Targets with a fault that must be detected and is not yet, with the start time of the fault. */
  private readonly undetectedSince = new Map<FakeTarget, number>();

  private readonly lastStatus = new Map<string, RotationStatus>();

  /** Keys of an entry and a target that it avoided at the last sample. */
  private readonly avoidedLinks = new Set<string>();

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
    this.entryVms = Array.from({ length: entries }, (_, i) => ({
      vm: `entry-${i}`,
      dataCentre: dataCentreOf(i),
      entry: undefined,
      coordinator: undefined,
    }));
    this.ranking = rankAcrossDataCentres(this.deployment.name, this.entryVms).slice(
      0,
      COORDINATORS,
    );
    this.ranking.forEach((entryVm) => this.startCoordinator(entryVm));
    this.targets.forEach((target) => this.startAnnouncing(target));
    this.clock.advance(ANNOUNCE_INTERVAL_MS + 100);
    this.entryVms.forEach((entryVm) => this.startEntry(entryVm));
    this.clock.advance(500);
    this.deployment.teams.forEach(({ team, rate }) => this.scheduleArrival(team, rate));
    setPeriodic(this.clock, () => this.sample(), SAMPLE_MS);
  }

  public readonly entryCount = (): number => this.entryVms.length;

  /** Advances the simulation. The figures are in `measures`. */
  public run(durationMs: number): void {
    this.clock.advance(durationMs);
    this.measures.undetected += this.undetectedSince.size;
  }

  public at(delayMs: number, fn: () => void): void {
    this.clock.setTimeout(fn, delayMs);
  }

  public startFault(target: FakeTarget, fault: Fault, mustBeDetected = true): void {
    Object.assign(target, { fault, faultyUntil: Number.POSITIVE_INFINITY });
    if (mustBeDetected) this.undetectedSince.set(target, this.clock.now());
  }

  public endFault(target: FakeTarget): void {
    Object.assign(target, { fault: {}, faultyUntil: this.clock.now() + FAULT_GRACE_MS });
    if (this.undetectedSince.delete(target)) this.measures.undetected += 1;
  }

  public cut(entry: number, target: FakeTarget): void {
    this.cuts.add(`${this.entryVms[entry]!.vm} ${target.id}`);
  }

  public stopEntry(entryVm: EntryVm): void {
    entryVm.entry?.dispose();
    Object.assign(entryVm, { entry: undefined, coordinator: undefined });
  }

  public startEntry(entryVm: EntryVm): void {
    const entry = new EntryModel(entryVm.vm, entryVm.dataCentre, this, this.random.fork());
    Object.assign(entryVm, { entry });
    if (this.ranking.includes(entryVm) && entryVm.coordinator === undefined) {
      this.startCoordinator(entryVm);
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
    const entryVm = this.ranking[rank]!;
    const isLocal = entryVm.dataCentre === from.dataCentre;
    const oneWayMs = isLocal ? 0.2 : this.deployment.interDataCentreMs;
    this.clock.setTimeout(() => {
      const res = entryVm.coordinator?.handleCoordinate(req);
      if (res === undefined) return;
      this.recordDecisions(entryVm.vm, res);
      this.clock.setTimeout(() => onAnswer(res), oneWayMs);
    }, oneWayMs);
  }

  private startCoordinator(entryVm: EntryVm): void {
    const { clock, deployment } = this;
    const coordinator = new Coordinator({ clock, parameters: this.options.parameters });
    coordinator.setServices([
      { service: deployment.name, profile: deployment.profile, floor: this.floor },
    ]);
    Object.assign(entryVm, { coordinator });
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
    const factor = this.rateFactors.get(team) ?? 1;
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

  /** Sends a caller's request to an entry, and resends it when the answer was lost. */
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
      entry?.handle(timed, (outcome, addedMs) => {
        if (outcome === 'lost' && resends > 0) {
          const again = (): void => this.send(req, resends - 1, sentAt);
          this.clock.setTimeout(again, RESEND_DELAY_MS);
          return;
        }
        if (req.isPoison) this.measures.poisonRefused += outcome === 'quarantined' ? 1 : 0;
        else if (outcome === 'quarantined') this.measures.innocentsQuarantined += 1;
        if (req.isPoison) return;
        const latencyMs = this.clock.now() + clientMs - sentAt;
        this.measures.record(req.team, outcome === 'lost' ? 'failed' : outcome, latencyMs, addedMs);
      });
    }, clientMs);
  }

  /** Chooses an entry that is not draining. A suspected entry loses its callers within the address TTL. */
  private chooseEntry(): EntryModel | undefined {
    const [first] = this.entryVms;
    if (this.skew > 0 && this.random.chance(this.skew) && first?.entry?.isDraining === false) {
      return first.entry;
    }
    for (let i = 0; i < this.entryVms.length; i += 1) {
      const { entry } = this.random.pick(this.entryVms)!;
      if (entry?.isDraining === false && this.random.chance(entry.callerShare)) return entry;
    }
    return undefined;
  }

  private recordDecisions(
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
    const entries = this.entryVms.flatMap(({ entry }) => (entry === undefined ? [] : [entry]));
    this.undetectedSince.forEach((since, target) => {
      if (!entries.every((entry) => entry.isAvoiding(target.id))) return;
      this.undetectedSince.delete(target);
      this.measures.detectionMs.push(this.clock.now() - since);
    });
    if (this.variant.pool === 'naive') this.sampleNaive(entries);
  }

  /** Counts ejections of healthy targets by single entries in runs with the naive pool. */
  private sampleNaive(entries: readonly EntryModel[]): void {
    entries.forEach((entry) => {
      this.targets.forEach((target) => {
        const key = `${entry.vm} ${target.id}`;
        if (!entry.isAvoiding(target.id)) this.avoidedLinks.delete(key);
        else if (!this.avoidedLinks.has(key)) {
          this.avoidedLinks.add(key);
          if (!target.isFaulty && !this.cuts.has(key)) this.measures.falseAvoidances += 1;
        }
      });
    });
  }
}
