import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { AcceptanceTracker } from './AcceptanceTracker.js';
import type { FleetView } from './config.js';
import { CURRENCY_MS } from './currency-constants.js';
import { CurrencyTracker, type TrackedConfig } from './CurrencyTracker.js';

const RUN_MS = 30_000;
const POLL_MS = 300;

/** A safety mechanism that is switched off, to show that the check finds its absence. */
interface Variant {
  readonly changeTracker?: (tracker: CurrencyTracker) => void;
  readonly changeAcceptance?: (acceptance: AcceptanceTracker) => void;
  readonly isAdoptionUnchecked?: boolean;
}

interface Entry {
  readonly vm: string;
  tracker: CurrencyTracker;
  config: TrackedConfig | undefined;
  run: number;
  heardAt: number;
  frozenUntil: number;
}

function buildView(epoch: number, vms: readonly string[]): FleetView {
  const entries = vms.map((vm) => ({
    vm,
    dataCentre: 'dc',
    callerAddress: vm,
    internalAddress: vm,
  }));
  return { epoch, entries };
}

function adopt(entry: Entry, config: TrackedConfig): void {
  if (config.revision > entry.tracker.revision) Object.assign(entry, { config });
  entry.tracker.adopt(config);
}

/** A fleet under faults, with an omniscient list of when each change was accepted. */
class CurrencySimulation {
  private readonly clock = new VirtualClock();

  private readonly random: Random;

  private readonly acceptance = new AcceptanceTracker();

  /** Chance that a poll reaches the leader. */
  private readonly controlReach: number;

  private readonly acceptedAt = new Map<number, number>();

  private readonly cuts = new Set<string>();

  private readonly entries: Entry[];

  private configs: TrackedConfig[] = [];

  private controlAwayUntil = 0;

  public violations = 0;

  public currentChecks = 0;

  public constructor(
    seed: number,
    private readonly variant: Variant,
  ) {
    this.random = new Random(seed);
    variant.changeAcceptance?.(this.acceptance);
    this.controlReach = this.random.pick([0.05, 0.2, 0.6])!;
    const size = this.random.between(3, 7);
    this.entries = Array.from({ length: size }, (_, i) => ({
      vm: `vm-${i}`,
      tracker: this.buildTracker(`vm-${i}`),
      config: undefined,
      run: 1,
      heardAt: -Infinity,
      frozenUntil: 0,
    }));
    const vms = this.entries.map((entry) => entry.vm);
    this.commit(buildView(1, vms.slice(0, this.random.between(3, size))));
  }

  public get acceptedCount(): number {
    return this.acceptedAt.size;
  }

  public run(): void {
    this.entries.forEach((entry) => this.schedulePoll(entry));
    this.scheduleFault();
    Array.from({ length: RUN_MS / 10 }).forEach(() => {
      this.clock.advance(10);
      this.check();
    });
  }

  private buildTracker(vm: string): CurrencyTracker {
    const tracker = new CurrencyTracker(vm, this.clock);
    this.variant.changeTracker?.(tracker);
    return tracker;
  }

  private get newest(): TrackedConfig {
    return this.configs.at(-1)!;
  }

  private commit(view: FleetView): void {
    const revision = this.configs.length + 1;
    this.configs = [...this.configs, { revision, view }];
    this.acceptance.commit(revision, view);
  }

  /** No entry may be current 2 s after the acceptance of a change that it has not in force. */
  private check(): void {
    const now = this.clock.now();
    const accepted = this.acceptance.evaluate(now);
    accepted.forEach((revision) => this.acceptedAt.set(revision, now));
    const due = [...this.acceptedAt]
      .filter(([, at]) => at + CURRENCY_MS <= now)
      .map(([revision]) => revision);
    const newestDue = Math.max(0, ...due);
    const current = this.entries.filter(
      (entry) => entry.frozenUntil <= now && entry.tracker.isCurrent(),
    );
    this.currentChecks += current.length;
    this.violations += current.filter((entry) => entry.tracker.revision < newestDue).length;
  }

  /** Delivers a message with faults: lost, delayed, duplicated, one-way cuts, frozen receivers. */
  private send(from: string, to: string, fn: () => void): void {
    const copies = this.random.chance(0.05) ? 2 : 1;
    Array.from({ length: copies }).forEach(() => {
      if (this.random.chance(0.05) || this.cuts.has(`${from}>${to}`)) return;
      const delayMs = this.random.chance(0.08)
        ? this.random.int(4_000)
        : this.random.between(1, 40);
      this.clock.setTimeout(() => this.deliver(to, fn), delayMs);
    });
  }

  private deliver(to: string, fn: () => void): void {
    const frozenMs = (this.find(to)?.frozenUntil ?? 0) - this.clock.now();
    if (frozenMs > 0) this.clock.setTimeout(() => this.deliver(to, fn), frozenMs);
    else fn();
  }

  private find(vm: string): Entry | undefined {
    return this.entries.find((entry) => entry.vm === vm);
  }

  private schedulePoll(entry: Entry): void {
    this.clock.setTimeout(
      () => {
        this.deliver(entry.vm, () => {
          this.pollControl(entry);
          this.askPeers(entry);
        });
        this.schedulePoll(entry);
      },
      this.random.between(POLL_MS / 2, POLL_MS),
    );
  }

  private pollControl(entry: Entry): void {
    const { run, tracker, heardAt } = entry;
    const poll = tracker.beginControlPoll();
    const { revision } = tracker;
    this.send(entry.vm, 'control', () => {
      const isAway = this.clock.now() < this.controlAwayUntil;
      if (isAway || !this.random.chance(this.controlReach)) return;
      const receivedAt = this.clock.now();
      const incarnation = String(run);
      this.acceptance.report({
        vm: entry.vm,
        incarnation,
        revision,
        receivedAt,
        sentAfter: heardAt,
      });
      const config = this.newest;
      this.send('control', entry.vm, () => {
        if (entry.run !== run) return;
        Object.assign(entry, { heardAt: Math.max(entry.heardAt, receivedAt) });
        adopt(entry, config);
        tracker.acceptControlAnswer(poll, config.revision);
      });
    });
  }

  private askPeers(entry: Entry): void {
    const { run, tracker } = entry;
    const round = tracker.beginPeerRound();
    const others = this.entries.filter((other) => other !== entry);
    others.forEach((other) => {
      this.send(entry.vm, other.vm, () => {
        const { config } = other;
        this.send(other.vm, entry.vm, () => {
          if (entry.run !== run) return;
          if (round === undefined) {
            if (config !== undefined) tracker.propose(config);
            return;
          }
          const status = tracker.acceptPeerAnswer(round, other.vm, config?.revision ?? 0);
          if (config !== undefined) this.acceptFromPeer(entry, config, status.kind === 'behind');
        });
      });
    });
  }

  private acceptFromPeer(entry: Entry, config: TrackedConfig, isBehind: boolean): void {
    const { tracker } = entry;
    const isAllowed = this.variant.isAdoptionUnchecked ?? tracker.mayAdoptFromPeer(config);
    if (isAllowed && (isBehind || tracker.revision > 0 || this.variant.isAdoptionUnchecked)) {
      adopt(entry, config);
    } else {
      tracker.propose(config);
    }
  }

  private scheduleFault(): void {
    this.clock.setTimeout(
      () => {
        this.injectFault();
        this.scheduleFault();
      },
      this.random.between(50, 900),
    );
  }

  private injectFault(): void {
    const entry = this.random.pick(this.entries)!;
    const now = this.clock.now();
    const actions = [
      () => this.commit(this.newest.view),
      () => this.commit(this.newest.view),
      () => this.changeView(),
      () => this.restart(entry),
      () => this.restart(entry),
      () => this.changeView(),
      () => Object.assign(entry, { frozenUntil: now + this.random.int(5_000) }),
      () => this.cut(entry.vm, this.random.pick([...this.entries.map(({ vm }) => vm), 'control'])!),
      () => this.cut(entry.vm, 'control'),
      () => this.cuts.clear(),
      () => Object.assign(this, { controlAwayUntil: now + this.random.int(6_000) }),
    ];
    this.random.pick(actions)!();
  }

  private cut(a: string, b: string): void {
    this.cuts.add(this.random.chance(0.5) ? `${a}>${b}` : `${b}>${a}`);
  }

  private changeView(): void {
    const { view } = this.newest;
    const inView = view.entries.map((entry) => entry.vm);
    const outside = this.entries.map((entry) => entry.vm).filter((vm) => !inView.includes(vm));
    const added = this.random.pick(outside);
    const isRemoval = inView.length > 3 && (added === undefined || this.random.chance(0.5));
    if (isRemoval) {
      const removed = this.random.pick(inView);
      this.commit(
        buildView(
          view.epoch + 1,
          inView.filter((vm) => vm !== removed),
        ),
      );
    } else if (added !== undefined) {
      this.commit(buildView(view.epoch + 1, [...inView, added]));
    }
  }

  /** The entry loses its configuration: it has no disk. */
  private restart(entry: Entry): void {
    const tracker = this.buildTracker(entry.vm);
    const run = entry.run + 1;
    Object.assign(entry, { tracker, run, config: undefined, heardAt: -Infinity, frozenUntil: 0 });
  }
}

/** Runs seeds until `count` are done or, for a variant, a violation is found. */
function runSeeds(count: number, variant: Variant, isVariant: boolean) {
  const total = { violations: 0, accepted: 0, checks: 0, seeds: 0 };
  while (total.seeds < count && !(isVariant && total.violations > 0)) {
    total.seeds += 1;
    const simulation = new CurrencySimulation(total.seeds, variant);
    simulation.run();
    total.violations += simulation.violations;
    total.accepted += simulation.acceptedCount;
    total.checks += simulation.currentChecks;
  }
  return total;
}

describe('currency under faults', () => {
  it('lets no entry be current 2 s after the acceptance of a change that it misses', () => {
    const result = runSeeds(100, {}, false);
    expect(result.violations).toEqual(0);
    expect(result.accepted).toBeGreaterThan(100);
    expect(result.checks).toBeGreaterThan(10_000);
  });
});
