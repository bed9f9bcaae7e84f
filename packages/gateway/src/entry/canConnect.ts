/** Whether something still listens at a target's address. */
import { connect } from 'node:net';
import { parseAddress } from '@marigoldbank/daemon/transport/InternalServer';

/** Opens a connection and closes it again. Resolves to false when that fails or takes longer than `timeoutMs`. */
export function canConnect(address: string, timeoutMs: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(parseAddress(address));
    const settle = (isConnected: boolean): void => {
      socket.destroy();
      resolve(isConnected);
    };
    socket.setTimeout(timeoutMs, () => settle(false));
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
  });
}
