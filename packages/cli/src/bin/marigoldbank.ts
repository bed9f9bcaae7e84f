#!/usr/bin/env node
/** Entry point of the command line. */
import { runCli } from '../run-cli.js';

process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  print: (line) => console.log(line),
  note: (line) => console.error(line),
});
