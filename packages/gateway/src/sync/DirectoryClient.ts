/** Asks control VMs by datagrams which hubs there are, what is committed, and whether they lead. */
import { randomInt } from 'node:crypto';
import { createSocket, type Socket } from 'node:dgram';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { Clock } from '@marigoldbank/base/clock';
import type { IDisposable } from '@marigoldbank/base/lifecycle';
import type { Logger } from '@marigoldbank/daemon/telemetry/Logger';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';
import {
  ListHubsRequestSchema,
  ListHubsResponseSchema,
  type ListHubsRequest,
  type ListHubsResponse,
  type ConfirmResponse,
  type CommittedState,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import type { HeldState } from './HeldState.js';

/** Ids are unsigned 32-bit numbers. */
const MAX_ID = 2 ** 32;

/** Index that a leader confirms, as in the answer to the call `Confirm`. */
export type LeadershipAnswer = Pick<ConfirmResponse, 'isLeader' | 'index'> | 'unsupported';

export interface IDirectoryClient {
  /** Resolves to the answer of one control VM, or to undefined if none arrives in time. */
  ask(
    address: string,
    dataCentre: string,
    timeoutMs: number,
  ): Promise<ListHubsResponse | undefined>;
}

export class DirectoryClient implements IDirectoryClient, IDisposable {
  private readonly socket: Socket = createSocket('udp4');

  private readonly waiting = new Map<number, (res: ListHubsResponse) => void>();

  /** Starts at random, so that a late answer to a former process at this port matches no question of this one. */
  private lastId = randomInt(MAX_ID);

  private isDisposed = false;

  public constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.socket.on('message', (bytes) => this.receive(bytes));
    this.socket.on('error', (err) =>
      logger.warn('datagrams cannot be received', { error: String(err) }),
    );
    // Alone it does not keep the process running.
    this.socket.unref();
  }

  public ask(
    address: string,
    dataCentre: string,
    timeoutMs: number,
  ): Promise<ListHubsResponse | undefined> {
    return this.send(address, create(ListHubsRequestSchema, { dataCentre }), timeoutMs);
  }

  /** Resolves to what is committed at one control VM, or to undefined if no answer arrives in time. */
  public async askCommitted(
    address: string,
    held: HeldState,
    timeoutMs: number,
  ): Promise<CommittedState | undefined> {
    const question = create(ListHubsRequestSchema, {
      heldPlan: BigInt(held.planVersion),
      heldIndex: BigInt(held.index),
    });
    const res = await this.send(address, question, timeoutMs);
    return res?.committed;
  }

  /** Resolves to the answer of a control VM, `unsupported` by one of an older release, or undefined if none arrives in time. */
  public async confirmLeadership(
    address: string,
    timeoutMs: number,
  ): Promise<LeadershipAnswer | undefined> {
    const question = create(ListHubsRequestSchema, { confirmsLeadership: true });
    const res = await this.send(address, question, timeoutMs);
    return res === undefined ? undefined : (res.confirmation ?? 'unsupported');
  }

  public dispose(): void {
    this.isDisposed = true;
    this.socket.close();
  }

  private send(
    address: string,
    question: ListHubsRequest,
    timeoutMs: number,
  ): Promise<ListHubsResponse | undefined> {
    if (this.isDisposed) return Promise.resolve(undefined);
    this.lastId = (this.lastId + 1) % MAX_ID;
    const id = this.lastId;
    const req = { ...question, id };
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      let timer: IDisposable | undefined;
      const settle = (res: ListHubsResponse | undefined): void => {
        timer?.dispose();
        this.waiting.delete(id);
        resolve(res);
      };
      timer = this.clock.setTimeout(() => settle(undefined), timeoutMs);
      this.waiting.set(id, settle);
      this.socket.send(toBinary(ListHubsRequestSchema, req), port, host, (err) => {
        if (err !== null) settle(undefined);
      });
    });
  }

  private receive(bytes: Uint8Array): void {
    try {
      const res = fromBinary(ListHubsResponseSchema, bytes);
      this.waiting.get(res.id)?.(res);
    } catch (err) {
      this.logger.debug('unreadable datagram', { error: String(err) });
    }
  }
}
