/** Commands for entry VMs. */
import { entryRecordSchema } from '@marigoldbank/fleet/config';
import {
  CHANGE_ARGS,
  createClientContext,
  defineCliCommand,
  type CommandFactory,
} from '../define-command.js';
import { submitChange } from '../submit-change.js';

const VM_ARG = { type: 'positional', required: true, description: 'Id of the VM' } as const;

export const entryAddCommand = defineCliCommand({
  name: 'add',
  description: 'Add an entry VM, such as one that was removed; new VMs join by themselves',
  examples: [
    'entry add vm-17 --data-centre muscat-a --caller-address 10.0.1.17:8080 --internal-address 10.0.1.17:9080',
  ],
  args: {
    vm: VM_ARG,
    'data-centre': { type: 'string', required: true, description: 'Data centre of the VM' },
    'caller-address': {
      type: 'string',
      required: true,
      description: 'Where callers connect',
      valueHint: 'ip:port',
    },
    'internal-address': {
      type: 'string',
      required: true,
      description: 'Where daemons connect',
      valueHint: 'ip:port',
    },
    ...CHANGE_ARGS,
  },
  run: (args, io) => {
    const entry = entryRecordSchema.parse({
      vm: args.vm,
      dataCentre: args['data-centre'],
      callerAddress: args['caller-address'],
      internalAddress: args['internal-address'],
    });
    return submitChange(createClientContext(args, io), { kind: 'addEntry', entry }, args, io);
  },
});

export const entryRemoveCommand = defineCliCommand({
  name: 'remove',
  description: 'Remove an entry VM from the fleet; it returns only by `entry add`',
  examples: ['entry remove vm-17'],
  args: { vm: VM_ARG, ...CHANGE_ARGS },
  run: (args, io) => {
    const body = { kind: 'removeEntry', vm: args.vm } as const;
    return submitChange(createClientContext(args, io), body, args, io);
  },
});

function defineDraining(name: string, description: string, isDraining: boolean): CommandFactory {
  return defineCliCommand({
    name,
    description,
    examples: [`${name} vm-17`],
    args: { vm: VM_ARG, ...CHANGE_ARGS },
    run: (args, io) => {
      const body = { kind: 'setEntryDraining', vm: args.vm, isDraining } as const;
      return submitChange(createClientContext(args, io), body, args, io);
    },
  });
}

export const drainCommand = defineDraining(
  'drain',
  'Take an entry VM out of the addresses given to callers',
  true,
);

export const undrainCommand = defineDraining(
  'undrain',
  'Give the address of an entry VM to callers again',
  false,
);
