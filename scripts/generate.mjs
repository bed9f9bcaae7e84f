/** Generates the protocol package's code from its .proto files. */
import { spawnSync } from 'node:child_process';
import path from 'node:path';

const packageDir = path.resolve('packages/protocol');
const buf = path.resolve('node_modules/.bin/buf');
const { status } = spawnSync(buf, ['generate'], { cwd: packageDir, stdio: 'inherit' });
process.exit(status ?? 1);
