#!/usr/bin/env node
/** Command line of the experiments. */
import { defineCommand, runMain } from 'citty';
import { controlCommand } from '../control/controlCommand.js';
import { entryCommand } from '../entry/entryCommand.js';
import { decisionsCommand } from '../experiments/decisions.js';
import { hubCommand } from '../hub/hubCommand.js';
import { pathCommand } from '../path/path.js';

const main = defineCommand({
  meta: { name: 'bench', description: 'Experiments and load tool' },
  subCommands: {
    decisions: decisionsCommand,
    path: pathCommand,
    control: controlCommand,
    hub: hubCommand,
    entry: entryCommand,
  },
});

await runMain(main);
