/** Creates and looks up the target pool, the request queue and the retry budget of each service. */
import { FairQueue } from '@marigoldbank/admission';
import type { Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type { Random } from '@marigoldbank/base/random';
import { RetryBudget, TargetPool } from '@marigoldbank/ejection';
import type { Blackboard } from '../Blackboard.js';
import type { ServiceRouter, TargetPermit } from '../entry/types.js';

const MAX_WAITING = 2_000;

const MAX_WAITING_PER_TEAM = 500;

const DEFAULT_FLOOR = 0.6;

const NO_TARGETS: ReadonlySet<string> = new Set();

export interface ServiceDirectoryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly vm: string;
  readonly dataCentre: string;
  readonly blackboard: Blackboard;
}

interface ServiceComponents extends ServiceRouter {
  readonly pool: TargetPool;
  readonly lifetime: DisposableStore;
}

export class ServiceDirectory extends DisposableStore {
  private readonly services = new Map<string, ServiceComponents>();

  public constructor(private readonly options: ServiceDirectoryOptions) {
    super();
    this.add(
      options.blackboard.config.onDidChange((section) => {
        this.disposeAllExcept(new Set(Object.keys(section?.config.lists.services ?? {})));
      }),
    );
  }

  /** Returns the components of a service, or undefined if the lists in force do not define it. */
  public find(service: string): ServiceRouter | undefined {
    const lists = this.options.blackboard.config.value?.lists;
    return lists?.service(service) === undefined ? undefined : this.componentsOf(service);
  }

  public poolOf(service: string): TargetPool {
    return this.componentsOf(service).pool;
  }

  /** Whether a coordinator suspects this entry's network links. */
  public get isSuspectedReporter(): boolean {
    return [...this.services.values()].some(({ pool }) => pool.isSuspectedReporter);
  }

  public override dispose(): void {
    this.disposeAllExcept(new Set());
    super.dispose();
  }

  private componentsOf(service: string): ServiceComponents {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const components = this.createComponents(service);
    this.services.set(service, components);
    return components;
  }

  private createComponents(service: string): ServiceComponents {
    const { clock, random, vm, dataCentre, blackboard } = this.options;
    const lifetime = new DisposableStore();
    const pool = lifetime.add(
      new TargetPool({
        clock,
        random: random.fork(),
        entry: vm,
        dataCentre,
        floor: () => blackboard.config.value?.lists.service(service)?.floor ?? DEFAULT_FLOOR,
        entryCount: () => blackboard.config.value?.config.view.entries.length ?? 1,
      }),
    );
    const queue: FairQueue<TargetPermit> = lifetime.add(
      new FairQueue<TargetPermit>({
        clock,
        maxWaiting: MAX_WAITING,
        maxWaitingPerTeam: MAX_WAITING_PER_TEAM,
        tryAcquire: ({ isIdempotent }) => {
          const lease = pool.tryChoose({ isIdempotent, exclude: NO_TARGETS });
          return lease === undefined ? undefined : { lease, dispose: () => queue.wake() };
        },
      }),
    );
    lifetime.add(pool.onCapacity(() => queue.wake()));
    return { pool, queue, retries: new RetryBudget(), lifetime };
  }

  private disposeAllExcept(services: ReadonlySet<string>): void {
    [...this.services]
      .filter(([service]) => !services.has(service))
      .forEach(([service, components]) => {
        components.lifetime.dispose();
        this.services.delete(service);
      });
  }
}
