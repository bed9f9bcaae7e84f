#!/usr/bin/env node
/** Entry point of the command line. */
import { runCli } from '../run-cli.js';

process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  writeStdout: (line) => console.log(line),
  writeStderr: (line) => console.error(line),
});
