/** Slots of all targets by service and data centre, as the hub of this VM knows them. The log process knows only some targets. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ServiceSlotsSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { Announcement } from '../announcement.js';

/** Below this share of the slots of a service that remain, an order to evacuate is answered with a warning. */
const WARNING_SHARE = 0.5;

export interface ServiceSlots {
  readonly service: string;
  readonly dataCentre: string;
  readonly slots: number;
}

export type ServiceSlotsInit = MessageInitShape<typeof ServiceSlotsSchema>;

/** Adds up the slots of targets that are not about to end. */
export function sumSlots(targets: readonly Announcement[]): ServiceSlots[] {
  const sums = new Map<string, ServiceSlots>();
  targets
    .filter(({ isDraining }) => !isDraining)
    .forEach(({ service, dataCentre, slots }) => {
      const key = JSON.stringify([service, dataCentre]);
      const known = sums.get(key)?.slots ?? 0;
      sums.set(key, { service, dataCentre, slots: known + slots });
    });
  return [...sums.values()];
}

export class SlotTable {
  private items: readonly ServiceSlots[] = [];

  /** Replaces what is known. */
  public set(items: readonly ServiceSlots[]): void {
    this.items = items;
  }

  /** Data centres with targets. */
  public get dataCentres(): ReadonlySet<string> {
    return new Set(this.items.map(({ dataCentre }) => dataCentre));
  }

  /** A line for each service that has less than half of its slots left without the evacuated data centres. */
  public warnings(evacuated: readonly string[]): string[] {
    return [...new Set(this.items.map(({ service }) => service))].sort().flatMap((service) => {
      const all = this.items.filter((item) => item.service === service);
      const left = all.filter(({ dataCentre }) => !evacuated.includes(dataCentre));
      const total = SlotTable.total(all);
      const rest = SlotTable.total(left);
      return rest < WARNING_SHARE * total
        ? [`service ${service} has ${rest} of ${total} slots left`]
        : [];
    });
  }

  private static total(items: readonly ServiceSlots[]): number {
    return items.reduce((sum, { slots }) => sum + slots, 0);
  }
}
