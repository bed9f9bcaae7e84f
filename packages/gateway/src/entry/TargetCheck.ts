/** Checks whether a target still accepts connections, after a request to it was lost. */
import { connect } from 'node:net';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';

export interface ITargetCheck {
  /** Resolves to whether the target at `ip:port` accepts a connection. */
  isAccepting(address: string): Promise<boolean>;
}

export class TargetCheck implements ITargetCheck {
  /** Checks in progress: several requests are lost when a target ends. */
  private readonly pending = new Map<string, Promise<boolean>>();

  public constructor(private readonly timeoutMs: number) {}

  public isAccepting(address: string): Promise<boolean> {
    const known = this.pending.get(address);
    if (known !== undefined) return known;
    const check = this.tryConnect(address).finally(() => this.pending.delete(address));
    this.pending.set(address, check);
    return check;
  }

  private tryConnect(address: string): Promise<boolean> {
    const { host, port } = parseAddress(address);
    return new Promise((resolve) => {
      const socket = connect({ host, port, timeout: this.timeoutMs });
      const settle = (isAccepting: boolean): void => {
        socket.destroy();
        resolve(isAccepting);
      };
      socket.once('connect', () => settle(true));
      socket.once('timeout', () => settle(false));
      socket.once('error', () => settle(false));
    });
  }
}
