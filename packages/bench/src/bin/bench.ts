#!/usr/bin/env node
/** Command line of the experiments. */
import { defineCommand, runMain } from 'citty';
import { decisionsCommand } from '../experiments/decisions.js';
import { pathCommand } from '../path/path.js';

const main = defineCommand({
  meta: { name: 'bench', description: 'Experiments and load tool' },
  subCommands: { decisions: decisionsCommand, path: pathCommand },
});

await runMain(main);
