/** Bundles the gateway's command line into target/, one chunk per role, so that a process loads only what it uses. */
import { rmSync } from 'node:fs';
import path from 'node:path';
import { build } from 'esbuild';

/** Folder of the bundle, from the command line. */
const [OUT_DIR = 'target'] = process.argv.slice(2);

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

/** Parts of libraries that the gateway never uses, but that would be loaded at the start of each process. */
const UNUSED_PARTS = [
  /\/prom-client\/lib\/(?:cluster|defaultMetrics|pushgateway|summary)$/,
  /\/undici\/lib\/web\/fetch\/body\.js$/,
  /\/zod\/v4\/locales\/index\.js$/,
];

/** Replaces unused parts by empty modules, and the whole of undici by its connection pool. */
const trimmedLibraries = {
  name: 'trimmed-libraries',
  setup(bundle) {
    bundle.onResolve({ filter: /^\.\.?\// }, ({ path: specifier, resolveDir }) => {
      const file = path.join(resolveDir, specifier);
      return UNUSED_PARTS.some((part) => part.test(file))
        ? { path: file, namespace: 'unused-part' }
        : undefined;
    });
    bundle.onLoad({ filter: /./, namespace: 'unused-part' }, () => ({ contents: '' }));
    bundle.onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'undici-pool' }));
    bundle.onLoad({ filter: /./, namespace: 'undici-pool' }, () => ({
      contents: "exports.Pool = require('undici/lib/dispatcher/pool.js');",
      resolveDir: path.resolve('packages/daemon'),
    }));
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
  plugins: [workspaceSources, trimmedLibraries],
  logLevel: 'warning',
});
