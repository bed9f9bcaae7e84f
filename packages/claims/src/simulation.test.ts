/**
 * Runs the claim protocol on virtual time with random faults: lost, delayed and duplicated messages, one-way link
 * failures, frozen and restarted entries, and view changes. No idempotency key may be executed twice.
 */
import { describe, it } from 'node:test';
import type { Clock } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { expect } from 'earl';
import { ClaimRegistry } from './ClaimRegistry.js';
import { SHARD_COUNT } from './constants.js';
import { shardOf } from './sharding.js';
import type { ClaimTransport, ClaimView, OwnedClaim } from './types.js';

const RUN_MS = 10_000;

/** More seeds on request, for example SEEDS=100. */
const SEED_COUNT = Number(process.env.SEEDS ?? 6);

/** A safety mechanism that is switched off, to show that the test detects its absence. */
interface Variant {
  readonly changeRegistry?: (registry: ClaimRegistry) => void;
  /** Restarted holders serve at once, without recovering their shards. */
  readonly isRecoverySkipped?: boolean;
}

interface Entry {
  readonly vm: string;
  registry: ClaimRegistry;
  view: ClaimView;
  run: number;
  frozenUntil: number;
}

function buildView(epoch: number, vms: readonly string[]): ClaimView {
  return { epoch, entries: vms.map((vm) => ({ vm, dataCentre: `dc-${Number(vm.at(-1)) % 3}` })) };
}

/** Keys of a single shard, so that the faults affect its holders. */
function keysOfOneShard(count: number, seed: number): string[] {
  const shard = seed % SHARD_COUNT;
  const keys: string[] = [];
  for (let i = 0; keys.length < count; i += 1) {
    if (shardOf('team', `key-${i}`) === shard) keys.push(`key-${i}`);
  }
  return keys;
}

class ClaimSimulation {
  /** Number of requests dispatched for each key; more than one is a violation. */
  private readonly executionCounts = new Map<string, number>();

  public duplicateExecutions = 0;

  public executions = 0;

  private readonly clock = new VirtualClock();

  private readonly random: Random;

  private readonly entries: Entry[];

  private readonly keys: readonly string[];

  private readonly blockedLinks = new Set<string>();

  private views: ClaimView[];

  public constructor(
    seed: number,
    private readonly variant: Variant,
  ) {
    this.random = new Random(seed);
    this.keys = keysOfOneShard(40, seed);
    const size = this.random.between(5, 8);
    const vms = Array.from({ length: size }, (_, i) => `vm-${i}`);
    this.views = [buildView(1, vms.slice(0, this.random.between(4, size)))];
    this.entries = vms.map((vm) => ({
      vm,
      registry: this.buildRegistry(vm, 1),
      view: this.views[0]!,
      run: 1,
      frozenUntil: 0,
    }));
    this.entries.forEach((entry) => entry.registry.setView(entry.view));
  }

  public async run(): Promise<void> {
    this.entries.forEach((entry) => this.scheduleRequests(entry));
    this.scheduleFault();
    await this.clock.advanceAsync(RUN_MS);
    this.entries.forEach((entry) => entry.registry.dispose());
  }

  private find(vm: string): Entry | undefined {
    return this.entries?.find((entry) => entry.vm === vm);
  }

  private entryClock(vm: string, run: number): Clock {
    return {
      now: () => this.clock.now(),
      setTimeout: (fn, delayMs) => this.clock.setTimeout(() => this.runAt(vm, run, fn), delayMs),
    };
  }

  /** Timers and messages of a frozen entry are delayed until it resumes; those of an earlier run are dropped. */
  private runAt(vm: string, run: number, fn: () => void): void {
    const entry = this.find(vm);
    if (entry === undefined || entry.run !== run) return;
    const frozenMs = entry.frozenUntil - this.clock.now();
    if (frozenMs > 0) this.clock.setTimeout(() => this.runAt(vm, run, fn), frozenMs);
    else fn();
  }

  private buildRegistry(vm: string, run: number): ClaimRegistry {
    const transport: ClaimTransport = {
      claim: (to, req) => this.call(vm, run, to, (registry) => registry.handleClaim(req)),
      resolve: (to, req) => this.call(vm, run, to, (registry) => registry.handleResolve(req)),
      recover: (to, req) => this.call(vm, run, to, (registry) => registry.handleRecover(req)),
    };
    const registry = new ClaimRegistry({
      self: vm,
      incarnation: run,
      clock: this.entryClock(vm, run),
      transport,
      seed: this.random.int(1e6),
      startsEmpty: run === 1 || this.variant.isRecoverySkipped === true,
    });
    this.variant.changeRegistry?.(registry);
    return registry;
  }

  private send(from: string, to: string, fn: () => void): void {
    const copies = this.random.chance(0.05) ? 2 : 1;
    Array.from({ length: copies }).forEach(() => {
      if (this.random.chance(0.05) || this.blockedLinks.has(`${from}>${to}`)) return;
      const delayMs = this.random.chance(0.15)
        ? this.random.int(1_500)
        : this.random.between(1, 30);
      this.clock.setTimeout(fn, delayMs);
    });
  }

  private call<T>(
    from: string,
    run: number,
    to: string,
    handle: (registry: ClaimRegistry) => T,
  ): Promise<T> {
    return new Promise((resolve) => {
      this.send(from, to, () => {
        const target = this.find(to)!;
        this.runAt(to, target.run, () => {
          const res = handle(target.registry);
          this.send(to, from, () => this.runAt(from, run, () => resolve(res)));
        });
      });
    });
  }

  private scheduleRequests(entry: Entry): void {
    this.clock.setTimeout(
      () => {
        this.runAt(entry.vm, entry.run, () => {
          this.request(entry).catch(() => undefined);
        });
        this.scheduleRequests(entry);
      },
      this.random.between(1, 500),
    );
  }

  private async request(entry: Entry): Promise<void> {
    const { run, registry } = entry;
    const key = this.random.pick(this.keys)!;
    const outcome = await registry.claim('team', key, key, this.random.between(100, 1_500));
    if (outcome.kind !== 'owned') return;
    const delayMs = this.random.chance(0.3) ? this.random.int(6_000) : 0;
    this.clock.setTimeout(
      () => this.runAt(entry.vm, run, () => this.dispatch(key, outcome.claim)),
      delayMs,
    );
  }

  private dispatch(key: string, claim: OwnedClaim): void {
    const isNotRun = this.random.chance(0.2);
    if (!claim.mayDispatch()) return;
    if (isNotRun) {
      claim.release().catch(() => undefined);
      return;
    }
    this.executions += 1;
    const count = (this.executionCounts.get(key) ?? 0) + 1;
    this.executionCounts.set(key, count);
    if (count > 1) this.duplicateExecutions += 1;
    const isAnswered = this.random.chance(0.7);
    if (isAnswered) claim.complete(new Uint8Array([1])).catch(() => undefined);
  }

  private scheduleFault(): void {
    this.clock.setTimeout(
      () => {
        this.injectFault();
        this.scheduleFault();
      },
      this.random.between(10, 700),
    );
  }

  private injectFault(): void {
    const entry = this.random.pick(this.entries)!;
    const actions = [
      () => this.restart(entry),
      () => this.restart(entry),
      () => Object.assign(entry, { frozenUntil: this.clock.now() + this.random.int(3_000) }),
      () => this.blockedLinks.add(`${entry.vm}>${this.random.pick(this.entries)!.vm}`),
      () => this.blockedLinks.clear(),
      () => this.changeView(),
      () => this.deliverNewestView(),
    ];
    this.random.pick(actions)!();
  }

  private restart(entry: Entry): void {
    entry.registry.dispose();
    const run = entry.run + 1;
    Object.assign(entry, { run, frozenUntil: 0 });
    Object.assign(entry, { registry: this.buildRegistry(entry.vm, run) });
    // A restarted entry may start with an older view than it had before.
    const views = this.views.slice(-this.random.between(1, 3));
    const view = this.random.pick(views)!;
    Object.assign(entry, { view });
    entry.registry.setView(view);
  }

  private changeView(): void {
    const newest = this.views.at(-1)!;
    const inView = newest.entries.map(({ vm }) => vm);
    const outside = this.entries.map(({ vm }) => vm).filter((vm) => !inView.includes(vm));
    const removed = this.random.pick(inView);
    const kept = inView.filter((vm) => inView.length <= 3 || vm !== removed);
    const added = this.random.chance(0.7) ? this.random.pick(outside) : undefined;
    const vms = added === undefined ? kept : [...kept, added];
    this.views = [...this.views, buildView(newest.epoch + 1, vms)];
    this.deliverNewestView();
  }

  /** Delivers the newest view to the entries at different times, to some of them late or never. */
  private deliverNewestView(): void {
    const newest = this.views.at(-1)!;
    this.entries.forEach((entry) => {
      const { run } = entry;
      if (this.random.chance(0.1)) return;
      const delayMs = this.random.chance(0.2) ? this.random.int(3_000) : this.random.int(100);
      this.clock.setTimeout(
        () =>
          this.runAt(entry.vm, run, () => {
            entry.registry.setView(newest);
            if (entry.view.epoch < newest.epoch) Object.assign(entry, { view: newest });
          }),
        delayMs,
      );
    });
  }
}

async function runSeeds(
  firstSeed: number,
  count: number,
  variant: Variant,
  stopsAtViolation: boolean,
) {
  const total = { duplicateExecutions: 0, executions: 0, seeds: 0 };
  while (total.seeds < count && !(stopsAtViolation && total.duplicateExecutions > 0)) {
    const simulation = new ClaimSimulation(firstSeed + total.seeds, variant);
    total.seeds += 1;
    await simulation.run();
    total.duplicateExecutions += simulation.duplicateExecutions;
    total.executions += simulation.executions;
  }
  return total;
}

function patch<T extends object>(target: T, methods: Partial<T>): void {
  Object.assign(target, methods);
}

const grantInSealedEpochs: Variant = {
  changeRegistry: (registry) => {
    const handleRecover = registry.handleRecover.bind(registry);
    const handleClaim = registry.handleClaim.bind(registry);
    let sealedEpoch = 0;
    patch(registry, {
      handleRecover: (req) => {
        const res = handleRecover(req);
        sealedEpoch = Math.max(sealedEpoch, req.viewEpoch);
        return res;
      },
      handleClaim: (req) => {
        const res = handleClaim(req);
        const isSealed = res.result !== 'granted' && req.viewEpoch < sealedEpoch;
        return isSealed && res.existing === undefined ? { ...res, result: 'granted' } : res;
      },
    });
  },
};

describe('claims under faults', () => {
  it('execute no key twice', async () => {
    const total = await runSeeds(1, SEED_COUNT, {}, false);
    expect(total.duplicateExecutions).toEqual(0);
    expect(total.executions).toBeGreaterThan(5 * SEED_COUNT);
  });

  // The first seed of each variant is close to one that finds the violation, which keeps the test short.
  const variants: [string, number, Variant][] = [
    ['restarted holders do not recover', 2, { isRecoverySkipped: true }],
    ['claims are still granted in sealed epochs', 1, grantInSealedEpochs],
  ];
  variants.forEach(([name, firstSeed, variant]) => {
    it(`are found to execute a key twice when ${name}`, async () => {
      const total = await runSeeds(firstSeed, 6, variant, true);
      expect(total.duplicateExecutions).toBeGreaterThan(0);
    });
  });
});
