/** Puts configurations in force: compiles the lists, saves a copy to disk, and ignores older revisions. */
import { applyChange } from '@marigoldbank/fleet/apply-change';
import type { Change } from '@marigoldbank/fleet/changes';
import type { FleetConfig } from '@marigoldbank/fleet/config';
import type { Lists } from '@marigoldbank/lists/schema';
import type { ICompiledLists } from '@marigoldbank/lists/compiled';
import type { Blackboard } from '../Blackboard.js';
import type { ConfigCopy, LoadedCopy } from './ConfigCopy.js';

export interface ConfigControllerOptions {
  readonly blackboard: Blackboard;
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
    return this.options.blackboard.config.value?.config.revision ?? 0;
  }

  public get config(): FleetConfig | undefined {
    return this.options.blackboard.config.value?.config;
  }

  /** Loads the copy from disk, if there is one, and puts it in force. */
  public async restore(): Promise<LoadedCopy> {
    const loaded = (await this.options.copy?.load()) ?? { kind: 'absent' };
    if (loaded.kind === 'loaded') this.putInForce(loaded.config);
    return loaded;
  }

  /**
   * Puts a configuration in force, unless that revision or a newer one is in force already. Resolves once the
   * configuration is in force and its copy is synced to disk.
   */
  public adopt(config: FleetConfig): Promise<void> {
    return this.enqueue(config, []);
  }

  /** Applies changes to the configuration in force. Resolves to false if the result is not `revision`. */
  public async adoptChanges(changes: readonly Change[], revision: number): Promise<boolean> {
    const start = this.config;
    if (start === undefined) return false;
    const intermediates = changes.reduce<FleetConfig[]>((configs, change) => {
      const effect = applyChange(configs.at(-1) ?? start, change);
      return effect.kind === 'changed' ? [...configs, effect.config] : configs;
    }, []);
    const end = intermediates.at(-1);
    if (end?.revision !== revision) return false;
    await this.enqueue(end, intermediates.slice(0, -1));
    return true;
  }

  private enqueue(config: FleetConfig, intermediates: readonly FleetConfig[]): Promise<void> {
    this.adopting = this.adopting
      .catch(() => undefined)
      .then(() => this.adoptNow(config, intermediates));
    return this.adopting;
  }

  /** Puts each intermediate view in force as well, since claims are handed over from one view to the next. */
  private async adoptNow(
    config: FleetConfig,
    intermediates: readonly FleetConfig[],
  ): Promise<void> {
    if (this.config !== undefined && config.revision <= this.revision) return;
    // Saved first: once a revision has been reported as in force, it must survive a restart.
    await this.options.copy?.save(config);
    intermediates
      .filter(
        (intermediate) =>
          intermediate.view.epoch !== this.config?.view.epoch &&
          intermediate.revision > this.revision,
      )
      .forEach((intermediate) => this.putInForce(intermediate));
    this.putInForce(config);
  }

  private putInForce(config: FleetConfig): void {
    const { blackboard, compile } = this.options;
    const before = blackboard.config.value;
    const isSameLists = before?.config.lists === config.lists;
    const lists = before !== undefined && isSameLists ? before.lists : compile(config.lists);
    blackboard.config.set({ config, lists });
  }
}
