import { describe, it } from 'node:test';
import type { ServiceImpl } from '@connectrpc/connect';
import { decodeChangeResult, ConfigStateMachine } from '@marigoldbank/fleet/ConfigStateMachine';
import { EMPTY_LISTS } from '@marigoldbank/lists/schema';
import { createLists } from '@marigoldbank/lists/testing';
import type { OperatorService } from '@marigoldbank/protocol/gen/marigoldbank/v1/operator_pb';
import { expect } from 'earl';
import { startFakeControl, toJson } from './testing-operator.js';
import { CliTestFolder } from './testing-cli.js';

/** Operator service with the real state machine and without a replicated log: every change is in force at once. */
function createOperatorMethods(
  machine: ConfigStateMachine,
): Partial<ServiceImpl<typeof OperatorService>> {
  let index = 0;
  return {
    propose: ({ change }) => {
      index += 1;
      const result = decodeChangeResult(machine.apply(index, change));
      const value = { result: toJson(result), revision: BigInt(machine.config.revision) };
      return { result: { case: 'recorded', value } };
    },
    changeStatus: () => ({ result: { case: 'progress', value: { isAccepted: true } } }),
    getLists: () => {
      const { lists, keys, listsRevision, revision } = machine.config;
      const content = toJson({ lists, keyIds: Object.keys(keys) });
      const value = {
        listsRevision: BigInt(listsRevision),
        revision: BigInt(revision),
        content,
      };
      return { result: { case: 'lists', value } };
    },
    backup: () => ({
      result: { case: 'backup', value: { content: machine.snapshot(), revision: 1n } },
    }),
  };
}

describe('backup and restore', () => {
  it('restores lists and keys into a new fleet, and rejects a fleet with other teams', async () => {
    const testFolder = new CliTestFolder();
    const machines = [new ConfigStateMachine(), new ConfigStateMachine()] as const;
    const controls = await Promise.all(
      machines.map((machine) => startFakeControl(createOperatorMethods(machine))),
    );
    const [first, second] = controls.map(({ address }) => [address]);
    const file = testFolder.file('backup.json');
    try {
      testFolder.writeSettings(first ?? []);
      testFolder.writeLists(createLists({ teams: { hotel: { plan: 'basic', keys: [] } } }));
      expect((await testFolder.run(['apply', '--base', '0'], true)).exitCode).toEqual(0);
      expect(
        (await testFolder.run(['key', 'issue', 'hotel', '--key-id', 'hotel01'])).exitCode,
      ).toEqual(0);
      expect((await testFolder.run(['backup', file])).exitCode).toEqual(0);

      testFolder.writeSettings(second ?? []);
      expect(machines[1].config.lists).toEqual(EMPTY_LISTS);
      expect((await testFolder.run(['restore', file])).json.keys).toEqual(1);
      expect(machines[1].config.lists).toEqual(machines[0].config.lists);
      expect(machines[1].config.keys.hotel01?.hash).toEqual(machines[0].config.keys.hotel01?.hash);

      testFolder.writeLists(createLists({ teams: { cafe: { plan: 'basic', keys: [] } } }));
      const base = String(machines[1].config.listsRevision);
      expect((await testFolder.run(['apply', '--base', base], true)).exitCode).toEqual(0);
      expect((await testFolder.run(['restore', file])).exitCode).toEqual(7);
      expect(Object.keys(machines[1].config.lists.teams)).toEqual(['cafe']);
    } finally {
      await Promise.all(controls.map((control) => control.close()));
      testFolder.remove();
    }
  });
});
