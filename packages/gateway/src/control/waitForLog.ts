/**
 * Lets the log process of a VM start before its hub loads what it needs. Both share a part of a core, so that side by side each
 * takes twice as long: the log would have its votes late, and no leader, until the hub has started. One after the other the
 * hub is ready no later, since the sum is the same.
 */
import { connect } from 'node:net';
import { delay, type Clock } from '@marigoldbank/base/clock';
import { consensusAddress, portOf, type GatewaySettings } from '../settings.js';

/** Longest wait for the log process: it may be down, while the hub is of use to other hubs and to address lookups. */
const LOG_WAIT_MS = 1_500;

/** Longest wait for the election of a log process that has started. It serves operators after 1.2 s without a leader. */
export const ELECTION_WAIT_MS = 1_300;

const CHECK_MS = 40;

const CONNECT_TIMEOUT_MS = 500;

/** Resolves with whether something accepts connections at `ip:port`. */
function isListening(address: string): Promise<boolean> {
  const { hostname, port } = new URL(`tcp://${address}`);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port), timeout: CONNECT_TIMEOUT_MS });
    const settle = (isAccepted: boolean): void => {
      socket.destroy();
      resolve(isAccepted);
    };
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(false));
    socket.once('error', () => settle(false));
  });
}

type IsAccepting = (address: string) => Promise<boolean>;

/** Resolves once something accepts connections, or when the time is over. Returns whether something does. */
async function waitForPort(
  address: string,
  clock: Clock,
  isAccepting: IsAccepting,
  limitMs: number,
): Promise<boolean> {
  const until = clock.now() + limitMs;
  let isOpen = await isAccepting(address);
  while (!isOpen && clock.now() < until) {
    await delay(clock, CHECK_MS);
    isOpen = await isAccepting(address);
  }
  return isOpen;
}

/**
 * Resolves once the log process of this VM has started and serves operators, which it does when it knows a leader or has waited
 * for one. Without it, resolves after 1.5 s; without an election after 1.3 s more. Resolves at once if the hub alone has
 * restarted. That the log process has started says nothing of an election: the two may start a second apart.
 */
export async function waitForLog(
  settings: GatewaySettings,
  clock: Clock,
  isAccepting: IsAccepting = isListening,
): Promise<void> {
  const address = consensusAddress(settings, settings.ip);
  if (!(await waitForPort(address, clock, isAccepting, LOG_WAIT_MS))) return;
  const [seed] = settings.seeds;
  if (seed === undefined) return;
  // Control VMs serve operators on the same port everywhere; the settings of a hub name it for the seeds only.
  const operatorAddress = `${settings.ip}:${portOf(seed)}`;
  await waitForPort(operatorAddress, clock, isAccepting, ELECTION_WAIT_MS);
}
