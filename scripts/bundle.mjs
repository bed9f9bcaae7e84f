/** Bundles the gateway's command line into target/, one chunk per role, so that a process loads only what it uses. */
import { rmSync } from 'node:fs';
import path from 'node:path';
import { build } from 'esbuild';

const OUT_DIR = 'target';

/** Resolves the workspace's packages to their sources, so that no compiled files are needed. */
const workspaceSources = {
  name: 'workspace-sources',
  setup(bundle) {
    bundle.onResolve({ filter: /^@marigoldbank\// }, ({ path: specifier }) => {
      const [, name, ...rest] = specifier.split('/');
      const file = rest.length === 0 ? 'api' : rest.join('/');
      return { path: path.resolve('packages', name, 'src', `${file}.ts`) };
    });
  },
};

rmSync(OUT_DIR, { recursive: true, force: true });
await build({
  entryPoints: { marigoldbank: 'platform/src/bin/marigoldbank.ts' },
  outdir: OUT_DIR,
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  minify: true,
  keepNames: true,
  // Bundled CommonJS packages call require for Node.js's own modules.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
  plugins: [workspaceSources],
  logLevel: 'warning',
});
