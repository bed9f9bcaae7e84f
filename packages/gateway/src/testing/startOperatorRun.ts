import { FakeControlGroup } from './FakeControlGroup.js';
import { OperatorClient, type OperatorCallResult } from './OperatorClient.js';
import { GET_TARGET, PUT_TARGET } from './VersionAdapter.js';

const GIVE_UP_MS = 12_000;

/** Control VMs and an operator that may call any of them. */
export interface OperatorRun {
  readonly group: FakeControlGroup;
  readonly put: (version: number) => Promise<OperatorCallResult>;
  readonly read: () => Promise<OperatorCallResult>;
}

/** Starts control VMs in virtual time. The operator repeats each call for up to 12 s. */
export async function startOperatorRun(vms: number, seed: number): Promise<OperatorRun> {
  const group = await FakeControlGroup.start(vms, seed);
  const { clock, random } = group;
  const operator = new OperatorClient({
    clock,
    random,
    addresses: () => group.vms.map(({ address }) => address),
    send: (address, target, body) => group.send(address, target, body),
  });
  return {
    group,
    put: (version) => operator.call(PUT_TARGET, String(version), GIVE_UP_MS),
    read: () => operator.call(GET_TARGET, '', GIVE_UP_MS),
  };
}
