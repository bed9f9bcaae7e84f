/** Adds up demand by service, rank, team and data centre until it is sent. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { ServiceDemandSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';

export type ServiceDemandInit = Exclude<
  MessageInitShape<typeof ServiceDemandSchema>,
  { readonly $typeName: string }
>;

/** What is counted, with the counts since the last message. */
export interface DemandCount {
  readonly service: string;
  readonly rank: number;
  readonly team: string;
  readonly dataCentre: string;
  readonly offered: number;
  readonly refused: number;
  readonly ended: number;
  readonly unplaced: number;
}

export class DemandCounts {
  private readonly counts = new Map<string, DemandCount>();

  public add(count: DemandCount): void {
    const { service, rank, team, dataCentre, offered, refused, ended, unplaced } = count;
    const key = `${rank} ${dataCentre} ${service} ${team}`;
    const known = this.counts.get(key);
    this.counts.set(
      key,
      known === undefined
        ? count
        : {
            ...known,
            offered: known.offered + offered,
            refused: known.refused + refused,
            ended: known.ended + ended,
            unplaced: known.unplaced + unplaced,
          },
    );
  }

  public take(): ServiceDemandInit[] {
    const taken = [...this.counts.values()];
    this.counts.clear();
    return taken;
  }
}
