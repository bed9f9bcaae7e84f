import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

/** Packages by layer; a package may import only from lower layers, the last one from all. */
const LAYERS = [
  ['base'],
  ['protocol', 'replicated-log', 'claims', 'budgets', 'admission', 'ejection', 'lists', 'routing'],
  ['fleet'],
  ['daemon', 'cli'],
  ['gateway'],
  ['bench'],
];

const rootDir = path.dirname(fileURLToPath(import.meta.url));

const dependencyRules = LAYERS.flat().flatMap((name) => {
  const packageDir = [rootDir, path.join(rootDir, 'packages', name)];
  return [
    {
      files: [`packages/${name}/**/*.ts`],
      rules: {
        'import-x/no-extraneous-dependencies': ['error', { devDependencies: false, packageDir }],
      },
    },
    {
      files: [`packages/${name}/**/*.test.ts`],
      rules: {
        'import-x/no-extraneous-dependencies': ['error', { devDependencies: true, packageDir }],
      },
    },
  ];
});

const layerRules = LAYERS.slice(0, -1).flatMap((names, layer) =>
  names.map((name) => ({
    files: [`packages/${name}/**/*.ts`],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: LAYERS.slice(layer)
                .flat()
                .filter((other) => other !== name)
                .flatMap((other) => [`@marigoldbank/${other}`, `@marigoldbank/${other}/*`]),
              message: 'A package imports only from lower layers.',
            },
          ],
        },
      ],
    },
  })),
);

const formatterRules = Object.fromEntries(
  Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((rule) => [
    `@stylistic/${rule}`,
    'off',
  ]),
);

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      'out/**',
      'target/**',
      'journal/**',
      'packages/protocol/src/gen/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: true,
        tsconfigRootDir: path.dirname(fileURLToPath(import.meta.url)),
      },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/explicit-member-accessibility': 'error',
      '@typescript-eslint/explicit-module-boundary-types': 'error',
    },
  },
  {
    rules: {
      // Prettier decides layout.
      ...formatterRules,
      // Modules export by name, so that a second export does not change every import.
      'import-x/prefer-default-export': 'off',
      // Node's ES modules need the extension.
      'import-x/extensions': 'off',
      // Loops that await are ordered on purpose: log writes, retries and timers.
      'no-await-in-loop': 'off',
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      'class-methods-use-this': 'off',
      // Implementations of an interface or an abstract method may need no state.
      '@typescript-eslint/class-methods-use-this': [
        'error',
        { ignoreOverrideMethods: true, ignoreClassesThatImplementAnInterface: true },
      ],
    },
  },
  {
    // Tools and command lines print, end with an exit code and read files synchronously.
    files: [
      'scripts/**',
      'packages/*/src/bin/**',
      'platform/src/bin/**',
      'packages/cli/**',
      'packages/bench/**',
      'platform/src/soak/**',
    ],
    rules: {
      'no-console': 'off',
      'n/no-process-exit': 'off',
      'n/no-sync': 'off',
      'n/hashbang': 'off',
    },
  },
  {
    // Compression beside the event loop takes several of its turns, which are late on a busy control VM.
    files: ['packages/gateway/src/control/command-codec.ts'],
    rules: { 'n/no-sync': ['error', { ignores: ['deflateRawSync', 'inflateRawSync'] }] },
  },
  {
    // node:test returns promises that the runner itself awaits.
    files: ['**/*.test.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': 'off',
      // The rule's table lags behind Node.js 20 for node:test.
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  ...dependencyRules,
  {
    files: ['platform/**/*.test.ts', 'scripts/**'],
    rules: {
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: true, packageDir: [rootDir, path.join(rootDir, 'platform')] },
      ],
    },
  },
  ...layerRules,
);
