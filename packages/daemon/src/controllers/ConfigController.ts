/** Adopts configurations: compiles them, keeps the durable copy, and never goes back to an older revision. */
import { applyChange } from '@marigoldbank/fleet/apply-change';
import type { Change } from '@marigoldbank/fleet/changes';
import type { FleetConfig } from '@marigoldbank/fleet/config';
import type { Lists } from '@marigoldbank/lists/schema';
import type { ICompiledLists } from '@marigoldbank/lists/compiled';
import type { SharedState } from '../SharedState.js';
import type { ConfigCopy, LoadedCopy } from './ConfigCopy.js';

export interface ConfigControllerOptions {
  readonly sharedState: SharedState;
  readonly compile: (lists: Lists) => ICompiledLists;
  /** Absent on a VM without a disk. */
  readonly copy: ConfigCopy | undefined;
}

export class ConfigController {
  /** Serialises adoptions, since saving the copy is asynchronous. */
  private adopting: Promise<void> = Promise.resolve();

  public constructor(private readonly options: ConfigControllerOptions) {}

  /** Revision in force here, 0 without configuration. */
  public get revision(): number {
    return this.options.sharedState.config.value?.config.revision ?? 0;
  }

  public get config(): FleetConfig | undefined {
    return this.options.sharedState.config.value?.config;
  }

  /** Reads the durable copy, if there is one. */
  public async restore(): Promise<LoadedCopy> {
    const loaded = (await this.options.copy?.load()) ?? { kind: 'absent' };
    if (loaded.kind === 'loaded') this.putInForce(loaded.config);
    return loaded;
  }

  /** Puts a configuration in force unless a newer one is. Resolves once it is in force and its copy is synced. */
  public adopt(config: FleetConfig): Promise<void> {
    return this.enqueue(config, []);
  }

  /** Follows changes from the revision in force. False if they do not lead to `revision`. */
  public async adoptChanges(changes: readonly Change[], revision: number): Promise<boolean> {
    const start = this.config;
    if (start === undefined) return false;
    const steps = changes.reduce<FleetConfig[]>((configs, change) => {
      const effect = applyChange(configs.at(-1) ?? start, change);
      return effect.kind === 'changed' ? [...configs, effect.config] : configs;
    }, []);
    const end = steps.at(-1);
    if (end?.revision !== revision) return false;
    await this.enqueue(end, steps.slice(0, -1));
    return true;
  }

  private enqueue(config: FleetConfig, steps: readonly FleetConfig[]): Promise<void> {
    this.adopting = this.adopting.catch(() => undefined).then(() => this.adoptNow(config, steps));
    return this.adopting;
  }

  /** Views between the old one and the new one are passed through: claims are handed from view to view. */
  private async adoptNow(config: FleetConfig, steps: readonly FleetConfig[]): Promise<void> {
    if (this.config !== undefined && config.revision <= this.revision) return;
    // The copy comes first: a revision that was reported in force must survive a restart.
    await this.options.copy?.save(config);
    steps
      .filter(
        (step) => step.view.epoch !== this.config?.view.epoch && step.revision > this.revision,
      )
      .forEach((step) => this.putInForce(step));
    this.putInForce(config);
  }

  private putInForce(config: FleetConfig): void {
    const { sharedState, compile } = this.options;
    const before = sharedState.config.value;
    const isSameLists = before?.config.lists === config.lists;
    const lists = before !== undefined && isSameLists ? before.lists : compile(config.lists);
    sharedState.config.set({ config, lists });
  }
}
