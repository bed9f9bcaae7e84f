/** The typed blackboard: sections with one writer each, read by every controller. */
import type { FleetConfig } from '@marigoldbank/fleet/config';
import type { ICompiledLists } from '@marigoldbank/lists/compiled';
import { Section } from './ObservableValue.js';

/** Adopted configuration, or none after a start without a copy. Written by ConfigController. */
export interface ConfigSection {
  readonly config: FleetConfig;
  readonly lists: ICompiledLists;
}

/** Written by CurrencyController. */
export interface CurrencySection {
  /** Monotonic ms until which this entry is current. */
  readonly currentUntil: number;
  readonly source: 'none' | 'control' | 'peers';
  readonly acceptedRevision: number;
}

/** Written by CurrencyController. */
export interface PeersSection {
  /** VMs of entries that are known to be current and not draining. */
  readonly current: readonly string[];
}

export type LifecycleState = 'starting' | 'serving' | 'leaving' | 'draining' | 'stopped';

/** All sections of one daemon. */
export class Blackboard {
  public readonly config = new Section<ConfigSection | undefined>(undefined);

  public readonly currency = new Section<CurrencySection>({
    currentUntil: -Infinity,
    source: 'none',
    acceptedRevision: 0,
  });

  public readonly peers = new Section<PeersSection>({ current: [] });

  public readonly lifecycle = new Section<LifecycleState>('starting');
}
