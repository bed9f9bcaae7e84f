/** The operators' orders to evacuate data centres, as committed in the replicated log. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { EvacuationSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { Command, EvacuationState } from './commands.js';

export type EvacuationOrder = Extract<Command, { kind: 'orderEvacuation' }>;

export type EvacuationInit = Exclude<
  MessageInitShape<typeof EvacuationSchema>,
  { readonly $typeName: string }
>;

export class EvacuationTable {
  private readonly states: Map<string, EvacuationState>;

  public constructor(initial: Readonly<Record<string, EvacuationState>> = {}) {
    this.states = new Map(Object.entries(initial));
  }

  public get(dataCentre: string): EvacuationState | undefined {
    return this.states.get(dataCentre);
  }

  /** Data centres that are evacuated. */
  public get evacuated(): string[] {
    return [...this.states].filter(([, { isEvacuated }]) => isEvacuated).map(([name]) => name);
  }

  /** Whether an order on this base can have no further effect: it, or another one on the same base, was applied. */
  public isDecided({ dataCentre, base }: Pick<EvacuationOrder, 'dataCentre' | 'base'>): boolean {
    return (this.states.get(dataCentre)?.orders ?? 0) > base;
  }

  /**
   * Applies an order of an index in the log. Returns false if it has no effect, since its sender did not know an order that was
   * applied before. An order that changes nothing counts as well, so that it rules out earlier ones that are still under way.
   */
  public apply(index: number, { dataCentre, isEvacuated, base, id }: EvacuationOrder): boolean {
    const known = this.states.get(dataCentre);
    if ((known?.orders ?? 0) !== base) return false;
    const hasChanged = (known?.isEvacuated ?? false) !== isEvacuated;
    this.states.set(dataCentre, {
      isEvacuated,
      orders: base + 1,
      index: hasChanged ? index : (known?.index ?? 0),
      lastOrder: id,
    });
    return true;
  }

  /** Adds the state of a snapshot, which may be older. Returns the data centres for which it is newer. */
  public merge(states: Readonly<Record<string, EvacuationState>>): string[] {
    const newer = Object.entries(states).filter(
      ([name, { orders }]) => orders > (this.states.get(name)?.orders ?? 0),
    );
    newer.forEach(([name, state]) => this.states.set(name, state));
    return newer.map(([name]) => name);
  }

  public toRecord(): Record<string, EvacuationState> {
    return Object.fromEntries(this.states);
  }

  /** The data centres that are or were evacuated, for entries. */
  public messages(): EvacuationInit[] {
    return [...this.states]
      .filter(([, { index }]) => index > 0)
      .map(([dataCentre, { isEvacuated, index }]) => ({
        dataCentre,
        isEvacuated,
        index: BigInt(index),
      }));
  }
}
