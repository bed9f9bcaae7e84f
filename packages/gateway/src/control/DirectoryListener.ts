/** Answers the datagrams of entries that ask which hubs there are, or what is committed, and those of other control VMs. */
import { createSocket, type Socket } from 'node:dgram';
import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import {
  ListHubsRequestSchema,
  ListHubsResponseSchema,
  type ListHubsRequest,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { toConfirmResponse } from './log-routes.js';
import { DatagramMeter, type DatagramKind } from './DatagramMeter.js';
import type { HubDirectory } from './HubDirectory.js';
import type { HeldState } from '../sync/HeldState.js';
import type { CommitHistory } from './CommitHistory.js';
import type { StateConfirmation } from './StateConfirmation.js';

type ListHubsResponseInit = Exclude<
  MessageInitShape<typeof ListHubsResponseSchema>,
  { readonly $typeName: string }
>;

/** Parts of a control VM that answer. */
export interface DirectoryParts {
  readonly directory: Pick<HubDirectory, 'list'>;
  readonly history: Pick<CommitHistory, 'stateFor'>;
  readonly confirmation: Pick<StateConfirmation, 'confirmLeadership'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

function kindOf({ confirmsLeadership, heldPlan }: ListHubsRequest): DatagramKind {
  if (confirmsLeadership) return 'leadership';
  return heldPlan === undefined ? 'hubs' : 'plan';
}

export class DirectoryListener {
  private readonly socket: Socket = createSocket('udp4');

  private readonly meter: DatagramMeter;

  public constructor(private readonly parts: DirectoryParts) {
    this.meter = new DatagramMeter(parts.clock, parts.logger);
  }

  /** Starts answering at `ip:port`. Rejects if the address is in use. */
  public listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    this.socket.on('message', (bytes, { address: ip, port: from }) => {
      this.answer(bytes, ip, from).catch((err: unknown) => {
        this.parts.logger.debug('datagram was not answered', { from: ip, error: String(err) });
      });
    });
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, () => {
        this.socket.off('error', reject);
        this.socket.on('error', (err) =>
          this.parts.logger.warn('datagrams cannot be received', { error: String(err) }),
        );
        resolve();
      });
    });
  }

  public close(): void {
    this.meter.dispose();
    this.socket.close();
  }

  private async answer(bytes: Uint8Array, ip: string, port: number): Promise<void> {
    const { clock } = this.parts;
    const arrivedAt = clock.now();
    const req = fromBinary(ListHubsRequestSchema, bytes);
    const answer = req.confirmsLeadership ? await this.confirm() : this.describe(req);
    const res = create(ListHubsResponseSchema, { id: req.id, ...answer });
    this.socket.send(toBinary(ListHubsResponseSchema, res), port, ip);
    this.meter.note(kindOf(req), clock.now() - arrivedAt);
  }

  private describe({ dataCentre, heldPlan, heldIndex }: ListHubsRequest): ListHubsResponseInit {
    return heldPlan === undefined
      ? this.listHubs(dataCentre)
      : this.describeCommitted({ planVersion: Number(heldPlan), index: Number(heldIndex) });
  }

  private async confirm(): Promise<ListHubsResponseInit> {
    return { confirmation: toConfirmResponse(await this.parts.confirmation.confirmLeadership()) };
  }

  private listHubs(dataCentre: string): ListHubsResponseInit {
    const { hubs, isSettled } = this.parts.directory.list(dataCentre);
    return { hubs: [...hubs], isSettled };
  }

  private describeCommitted(held: HeldState): ListHubsResponseInit {
    return { committed: this.parts.history.stateFor(held) };
  }
}
