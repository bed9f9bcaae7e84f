/** Blackboard of one daemon: state that its controllers share. Each value has one writer and any number of readers. */
import type { FleetConfig } from '@marigoldbank/fleet/config';
import type { ICompiledLists } from '@marigoldbank/lists/compiled';
import { ObservableValue } from './ObservableValue.js';

/**
 * Configuration in force, with its lists compiled for lookups. Undefined after a start without a copy on disk. Written
 * by ConfigController.
 */
export interface ConfigSection {
  readonly config: FleetConfig;
  readonly lists: ICompiledLists;
}

/** Until when this entry is current, and by whose confirmation. Written by FreshnessController. */
export interface FreshnessSection {
  /** Monotonic ms until which this entry is current. */
  readonly currentUntil: number;
  readonly source: 'none' | 'control' | 'peers';
  readonly acceptedRevision: number;
}

/** Written by FreshnessController. */
export interface PeersSection {
  /** VMs of entries that are known to be current and not draining. */
  readonly current: readonly string[];
}

export type LifecycleState = 'starting' | 'serving' | 'leaving' | 'draining' | 'stopped';

/** All shared state of one daemon. */
export class Blackboard {
  public readonly config = new ObservableValue<ConfigSection | undefined>(undefined);

  public readonly freshness = new ObservableValue<FreshnessSection>({
    currentUntil: -Infinity,
    source: 'none',
    acceptedRevision: 0,
  });

  public readonly peers = new ObservableValue<PeersSection>({ current: [] });

  public readonly lifecycle = new ObservableValue<LifecycleState>('starting');
}
