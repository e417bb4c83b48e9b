import { configs, plugins } from 'eslint-config-airbnb-extended';
import functional from 'eslint-plugin-functional';
import jsdoc from 'eslint-plugin-jsdoc';
import prettier from 'eslint-config-prettier';
import { projectPlugin } from './scripts/eslint/plugin.mjs';

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'playground/data/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    plugins: { project: projectPlugin, jsdoc },
    rules: {
      'project/verb-first': 'error',
      'project/documented-export': 'error',
      'jsdoc/check-alignment': 'error',
      'jsdoc/no-blank-blocks': 'error',
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'error',
      'import-x/no-cycle': ['error', { ignoreExternal: true }],
      'import-x/extensions': 'off',
      // Loops over lists, awaited one step at a time, are the plain form for ordered work.
      'no-restricted-syntax': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-underscore-dangle': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'n/no-process-exit': 'off',
      // Files are read synchronously at start only; durable writes use file handles.
      'n/no-sync': 'off',
      // State machines and runs change their own tables in place.
      'no-param-reassign': [
        'error',
        {
          props: true,
          ignorePropertyModificationsFor: ['tables', 'state', 'run', 'exchange', 'response'],
        },
      ],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 120, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true } },
    plugins: { functional },
    rules: {
      'functional/prefer-property-signatures': 'error',
      'functional/type-declaration-immutability': 'off',
      'functional/readonly-type': ['error', 'keyword'],
    },
  },
  {
    // The platform's words stay in its folder.
    files: ['src/**/*.ts', 'bench/**/*.ts', 'playground/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['**/platform/*', '**/platform'],
              message: 'platform/ is imported by nothing.',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['**/types/*.ts', '**/types.ts'],
    rules: { 'functional/prefer-immutable-types': 'off' },
  },
  {
    files: ['**/__tests__/**', 'bench/**', 'scripts/**', 'playground/**', '*.config.*'],
    rules: {
      'no-console': 'off',
      'import-x/no-default-export': 'off',
      'project/documented-export': 'off',
      'max-lines-per-function': 'off',
    },
  },
];
