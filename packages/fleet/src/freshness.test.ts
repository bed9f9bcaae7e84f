/**
 * Runs entries and the control leader on virtual time with random faults: lost, delayed and duplicated messages,
 * network partitions, frozen and restarted entries, an unreachable leader and view changes. No entry may be current 2 s
 * after the acceptance of a change that it does not have in force.
 */
import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { AcceptanceTracker } from './AcceptanceTracker.js';
import type { FleetView } from './config.js';
import { FRESHNESS_MS } from './freshness-constants.js';
import { FreshnessTracker, type TrackedConfig } from './FreshnessTracker.js';

const RUN_MS = 20_000;
const POLL_MS = 300;

/** A safety mechanism that is switched off, to show that the test detects its absence. */
interface Variant {
  readonly changeTracker?: (tracker: FreshnessTracker) => void;
  readonly isAdoptionUnchecked?: boolean;
}

interface Entry {
  readonly vm: string;
  tracker: FreshnessTracker;
  config: TrackedConfig | undefined;
  run: number;
  lastControlContactAt: number;
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

/** A fleet under faults; the simulation records when each change was accepted. */
class FreshnessSimulation {
  private readonly clock = new VirtualClock();

  private readonly random: Random;

  private readonly acceptance = new AcceptanceTracker();

  /** Upper bound on the delay of slow messages. */
  private readonly slowMs: number;

  /** Probability that the leader can confirm its answer to a poll. */
  private readonly confirmationProbability: number;

  private readonly acceptedAt = new Map<number, number>();

  private readonly blockedLinks = new Set<string>();

  private readonly entries: Entry[];

  private configs: TrackedConfig[] = [];

  private controlDownUntil = 0;

  public violations = 0;

  public currentChecks = 0;

  public constructor(
    seed: number,
    private readonly variant: Variant,
  ) {
    this.random = new Random(seed);
    this.slowMs = seed % 2 === 0 ? 4_000 : 9_000;
    this.confirmationProbability = this.random.pick([0.02, 0.1, 0.5])!;
    const size = this.random.between(3, 7);
    this.entries = Array.from({ length: size }, (_, i) => ({
      vm: `vm-${i}`,
      tracker: this.buildTracker(`vm-${i}`),
      config: undefined,
      run: 1,
      lastControlContactAt: -Infinity,
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

  private buildTracker(vm: string): FreshnessTracker {
    const tracker = new FreshnessTracker(vm, this.clock);
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

  /** Counts entries that are current 2 s after the acceptance of a change that they do not have in force. */
  private check(): void {
    const now = this.clock.now();
    const accepted = this.acceptance.evaluate(now);
    accepted.forEach((revision) => this.acceptedAt.set(revision, now));
    const due = [...this.acceptedAt]
      .filter(([, at]) => at + FRESHNESS_MS <= now)
      .map(([revision]) => revision);
    const newestDue = Math.max(0, ...due);
    const current = this.entries.filter(
      (entry) => entry.frozenUntil <= now && entry.tracker.isCurrent(),
    );
    this.currentChecks += current.length;
    this.violations += current.filter((entry) => entry.tracker.revision < newestDue).length;
  }

  /** Sends a message that may be lost, delayed, duplicated, blocked in one direction or held for a frozen receiver. */
  private send(from: string, to: string, fn: () => void): void {
    const copies = this.random.chance(0.05) ? 2 : 1;
    Array.from({ length: copies }).forEach(() => {
      if (this.random.chance(0.05) || this.blockedLinks.has(`${from}>${to}`)) return;
      const delayMs = this.random.chance(0.08)
        ? this.random.int(this.slowMs)
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
    const { run, tracker, lastControlContactAt } = entry;
    const poll = tracker.beginControlPoll();
    const { revision } = tracker;
    this.send(entry.vm, 'control', () => {
      const isDown = this.clock.now() < this.controlDownUntil;
      if (isDown) return;
      const isConfirmed = this.random.chance(this.confirmationProbability);
      const receivedAt = this.clock.now();
      const incarnation = String(run);
      this.acceptance.report({
        vm: entry.vm,
        incarnation,
        revision,
        receivedAt,
        sentAfter: lastControlContactAt,
      });
      const config = this.newest;
      this.send('control', entry.vm, () => {
        if (entry.run !== run) return;
        Object.assign(entry, {
          lastControlContactAt: Math.max(entry.lastControlContactAt, receivedAt),
        });
        if (!isConfirmed) return;
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
            if (config !== undefined) tracker.offerCandidate(config);
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
      tracker.offerCandidate(config);
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
      () =>
        this.blockLink(
          entry.vm,
          this.random.pick([...this.entries.map(({ vm }) => vm), 'control'])!,
        ),
      () => this.blockLink(entry.vm, 'control'),
      () => this.blockedLinks.clear(),
      () => this.partition(),
      () => this.partition(),
      () => this.restartMany(),
      () => Object.assign(this, { controlDownUntil: now + this.random.int(6_000) }),
    ];
    this.random.pick(actions)!();
  }

  private blockLink(a: string, b: string): void {
    this.blockedLinks.add(this.random.chance(0.5) ? `${a}>${b}` : `${b}>${a}`);
  }

  /** Partitions the network into two random groups of entries, one of which includes control. */
  private partition(): void {
    const names = [...this.entries.map(({ vm }) => vm), 'control'];
    const group = names.filter(() => this.random.chance(0.5));
    const others = names.filter((name) => !group.includes(name));
    group.forEach((a) =>
      others.forEach((b) => {
        this.blockedLinks.add(`${a}>${b}`);
        this.blockedLinks.add(`${b}>${a}`);
      }),
    );
  }

  /** Unblocks all links and restarts several entries at once. */
  private restartMany(): void {
    this.blockedLinks.clear();
    this.entries.filter(() => this.random.chance(0.5)).forEach((entry) => this.restart(entry));
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

  /** Restarts an entry without a disk: it loses its configuration. */
  private restart(entry: Entry): void {
    const tracker = this.buildTracker(entry.vm);
    const run = entry.run + 1;
    Object.assign(entry, {
      tracker,
      run,
      config: undefined,
      lastControlContactAt: -Infinity,
      frozenUntil: 0,
    });
  }
}

/** Runs seeds until `count` are done or, for a variant, a violation is found. */
function runSeeds(count: number, variant: Variant, stopsAtViolation: boolean) {
  const total = { violations: 0, accepted: 0, checks: 0, seeds: 0 };
  while (total.seeds < count && !(stopsAtViolation && total.violations > 0)) {
    total.seeds += 1;
    const simulation = new FreshnessSimulation(total.seeds, variant);
    simulation.run();
    total.violations += simulation.violations;
    total.accepted += simulation.acceptedCount;
    total.checks += simulation.currentChecks;
  }
  return total;
}

function patch<T extends object>(target: T, methods: Partial<T>): void {
  Object.assign(target, methods);
}

const countEmptyEntries: Variant = {
  changeTracker: (tracker) => {
    const accept = tracker.acceptPeerAnswer.bind(tracker);
    patch(tracker, {
      acceptPeerAnswer: (round, vm, revision) => accept(round, vm, Math.max(1, revision)),
    });
  },
};

const countFromAnswer: Variant = {
  changeTracker: (tracker) => {
    const accept = tracker.acceptControlAnswer.bind(tracker);
    patch(tracker, {
      acceptControlAnswer: (_, revision) => accept(tracker.beginControlPoll(), revision),
    });
  },
};

describe('freshness under faults', () => {
  it('lets no entry be current 2 s after the acceptance of a change that it does not have in force', () => {
    const result = runSeeds(100, {}, false);
    expect(result.violations).toEqual(0);
    expect(result.accepted).toBeGreaterThan(100);
    expect(result.checks).toBeGreaterThan(10_000);
  });

  const variants: [string, Variant][] = [
    ['entries without a configuration are counted', countEmptyEntries],
    ['the time counts from the answer instead of the request', countFromAnswer],
    ['a restarted entry adopts the configuration of any peer', { isAdoptionUnchecked: true }],
  ];
  variants.forEach(([name, variant]) => {
    it(`finds a violation when ${name}`, () => {
      expect(runSeeds(1_000, variant, true).violations).toBeGreaterThan(0);
    });
  });
});

describe('AcceptanceTracker', () => {
  const report = (vm: string, revision: number, receivedAt: number, sentAfter: number) => ({
    vm,
    incarnation: '1',
    revision,
    receivedAt,
    sentAfter,
  });

  it('does not count reports of different times together, since an entry may restart in between', () => {
    const tracker = new AcceptanceTracker();
    tracker.commit(1, buildView(1, ['a', 'b', 'c']));
    tracker.report(report('a', 1, 10, 5));
    tracker.report(report('b', 1, 20, 15));
    tracker.report(report('b', 1, 40, 30));
    expect(tracker.evaluate(40)).toEqual([]);
    tracker.report(report('a', 1, 50, 20));
    expect(tracker.evaluate(50)).toEqual([1]);
  });

  it('accepts a change of the view only with the majorities of both views', () => {
    const tracker = new AcceptanceTracker();
    tracker.commit(1, buildView(1, ['a', 'b', 'c']));
    tracker.commit(2, buildView(2, ['c', 'd', 'e']));
    const inForce = (vm: string): void => tracker.report(report(vm, 2, 10, 10));
    ['c', 'd', 'e'].forEach(inForce);
    expect(tracker.evaluate(10)).toEqual([]);
    inForce('a');
    expect(tracker.evaluate(20)).toEqual([1, 2]);
  });
});

describe('FreshnessTracker', () => {
  it('does not count a round whose adoption changes the view', () => {
    const tracker = new FreshnessTracker('a', new VirtualClock());
    tracker.adopt({ revision: 1, view: buildView(1, ['a', 'b', 'c']) });
    const round = tracker.beginPeerRound()!;
    expect(tracker.acceptPeerAnswer(round, 'b', 2).kind).toEqual('behind');
    tracker.adopt({ revision: 2, view: buildView(2, ['a', 'b', 'c', 'd', 'e']) });
    expect(tracker.isCurrent()).toEqual(false);
    expect(tracker.acceptPeerAnswer(round, 'c', 2).kind).toEqual('void');
    const repeated = tracker.beginPeerRound()!;
    expect(tracker.acceptPeerAnswer(repeated, 'b', 2).kind).toEqual('open');
    expect(tracker.acceptPeerAnswer(repeated, 'c', 2).kind).toEqual('counted');
    expect(tracker.isCurrent()).toEqual(true);
  });
});
