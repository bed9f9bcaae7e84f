/** Answers the datagrams of entries that ask which hubs there are, or what is committed. */
import { createSocket, type Socket } from 'node:dgram';
import { create, fromBinary, toBinary, type MessageInitShape } from '@bufbuild/protobuf';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import {
  ListHubsRequestSchema,
  ListHubsResponseSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { HubDirectory } from './HubDirectory.js';
import type { HeldState } from '../sync/HeldState.js';
import type { CommitHistory } from './CommitHistory.js';

type ListHubsResponseInit = Exclude<
  MessageInitShape<typeof ListHubsResponseSchema>,
  { readonly $typeName: string }
>;

export class DirectoryListener {
  private readonly socket: Socket = createSocket('udp4');

  public constructor(
    private readonly directory: Pick<HubDirectory, 'list'>,
    private readonly history: Pick<CommitHistory, 'stateFor'>,
    private readonly logger: Logger,
  ) {}

  /** Starts answering at `ip:port`. Rejects if the address is in use. */
  public listen(address: string): Promise<void> {
    const { host, port } = parseAddress(address);
    this.socket.on('message', (bytes, { address: ip, port: from }) => this.answer(bytes, ip, from));
    return new Promise((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, () => {
        this.socket.off('error', reject);
        this.socket.on('error', (err) =>
          this.logger.warn('datagrams cannot be received', { error: String(err) }),
        );
        resolve();
      });
    });
  }

  public close(): void {
    this.socket.close();
  }

  private answer(bytes: Uint8Array, ip: string, port: number): void {
    try {
      const { id, dataCentre, heldPlan, heldIndex } = fromBinary(ListHubsRequestSchema, bytes);
      const answer =
        heldPlan === undefined
          ? this.listHubs(dataCentre)
          : this.describeCommitted({ planVersion: Number(heldPlan), index: Number(heldIndex) });
      const res = create(ListHubsResponseSchema, { id, ...answer });
      this.socket.send(toBinary(ListHubsResponseSchema, res), port, ip);
    } catch (err) {
      this.logger.debug('unreadable datagram', { from: ip, error: String(err) });
    }
  }

  private listHubs(dataCentre: string): ListHubsResponseInit {
    const { hubs, isSettled } = this.directory.list(dataCentre);
    return { hubs: [...hubs], isSettled };
  }

  private describeCommitted(held: HeldState): ListHubsResponseInit {
    return { committed: this.history.stateFor(held) };
  }
}
