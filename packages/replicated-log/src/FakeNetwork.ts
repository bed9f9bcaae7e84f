/** Network in memory with faults, for tests. */
import type { Clock } from '@marigoldbank/base/clock';
import type { Random } from '@marigoldbank/base/random';
import type { IReplicatedLog } from './types.js';

/** Receives the messages to one address. */
export type MessageHandler = Pick<
  IReplicatedLog,
  'handleRequestVote' | 'handleAppendEntries' | 'handleInstallSnapshot'
>;

/** Faults of all links. Different delays of two messages reorder them. */
export interface NetworkFaults {
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  readonly dropProbability: number;
  readonly duplicateProbability: number;
}

export const NO_FAULTS: NetworkFaults = {
  minDelayMs: 0,
  maxDelayMs: 1,
  dropProbability: 0,
  duplicateProbability: 0,
};

export type MessageCall<T> = (handler: MessageHandler) => Promise<T>;

/** Handles a message from an address when the process has time for it. */
export type MessageReceiver = (from: string, handle: () => void) => void;

/** Delivers messages between addresses after a random delay, unless they are lost. */
export class FakeNetwork {
  private faults: NetworkFaults = NO_FAULTS;

  private readonly handlers = new Map<string, MessageHandler>();

  private readonly blocked = new Set<string>();

  /** How processes handle the messages that they receive, by address; at once by default. */
  private readonly receivers = new Map<string, MessageReceiver>();

  /** Messages held for frozen processes, by address. */
  private readonly held = new Map<string, (() => void)[]>();

  public constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  public setFaults(faults: NetworkFaults): void {
    this.faults = faults;
  }

  public attach(address: string, handler: MessageHandler): void {
    this.handlers.set(address, handler);
  }

  /** Sets how the process at an address handles requests and answers. */
  public setReceiver(address: string, receiver: MessageReceiver): void {
    this.receivers.set(address, receiver);
  }

  public detach(address: string): void {
    this.handlers.delete(address);
    this.receivers.delete(address);
    this.held.delete(address);
  }

  /** Drops all messages in one direction. */
  public block(from: string, to: string): void {
    this.blocked.add(`${from}>${to}`);
  }

  public unblockAll(): void {
    this.blocked.clear();
  }

  /** Holds messages to a frozen process until `thaw`. */
  public freeze(address: string): void {
    if (!this.held.has(address)) this.held.set(address, []);
  }

  public thaw(address: string): void {
    const deliveries = this.held.get(address) ?? [];
    this.held.delete(address);
    deliveries.forEach((deliver) => deliver());
  }

  /** Sends a request and its answer with the configured faults. The promise stays pending if a message is lost. */
  public call<T>(from: string, to: string, call: MessageCall<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      const answer = (): void => {
        const handler = this.handlers.get(to);
        if (handler === undefined) {
          reject(new Error(`connection to ${to} refused`));
          return;
        }
        call(handler)
          .then((res) => this.send(to, from, () => resolve(res)))
          .catch((err: unknown) => this.send(to, from, () => reject(err)));
      };
      this.send(from, to, answer);
    });
  }

  private send(from: string, to: string, deliver: () => void): void {
    const { minDelayMs, maxDelayMs, dropProbability, duplicateProbability } = this.faults;
    if (this.random.chance(dropProbability)) return;
    const copies = this.random.chance(duplicateProbability) ? 2 : 1;
    Array.from({ length: copies }).forEach(() => {
      const delayMs = minDelayMs + this.random.float() * (maxDelayMs - minDelayMs);
      this.clock.setTimeout(() => this.arrive(from, to, deliver), delayMs);
    });
  }

  private arrive(from: string, to: string, deliver: () => void): void {
    if (this.blocked.has(`${from}>${to}`)) return;
    const held = this.held.get(to);
    const receiver = this.receivers.get(to);
    const handle = receiver === undefined ? deliver : (): void => receiver(from, deliver);
    if (held === undefined) {
      handle();
    } else {
      held.push(handle);
    }
  }
}
