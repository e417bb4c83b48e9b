import { execFileSync } from 'node:child_process';
import { mkdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

// The programs use only undici's dispatchers. Its index also loads fetch, WebSocket and mocks,
// which takes as long as the rest of the start-up.
const UNDICI_DISPATCHERS = `
const Dispatcher = require('undici/lib/dispatcher/dispatcher');
Object.assign(Dispatcher.prototype, require('undici/lib/api'));
exports.Dispatcher = Dispatcher;
exports.Client = require('undici/lib/dispatcher/client');
exports.Pool = require('undici/lib/dispatcher/pool');
exports.Agent = require('undici/lib/dispatcher/agent');
exports.buildConnector = require('undici/lib/core/connect');
`;

const undiciDispatchers = {
  name: 'undici-dispatchers',
  setup: ({ onResolve, onLoad }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: 'undici', namespace: 'dispatchers' }));
    onLoad({ filter: /.*/, namespace: 'dispatchers' }, () => ({
      contents: UNDICI_DISPATCHERS,
      resolveDir: ROOT,
    }));
  },
};

mkdirSync(new URL('../target/', import.meta.url), { recursive: true });
await build({
  absWorkingDir: ROOT,
  preserveSymlinks: true,
  entryPoints: { program: 'platform/main.ts', oleanderfront: 'platform/launch.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  plugins: [undiciDispatchers],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  logLevel: 'warning',
});

// Writes one code cache for each set of flags with which a role runs.
const deployFile = readFileSync(new URL('../deploy/system.toml', import.meta.url), 'utf8');
const commands = [...deployFile.matchAll(/^run = "node (.*)"$/gm)].map(([, flags]) => flags);
for (const flags of new Set(commands)) {
  execFileSync(process.execPath, [...flags.split(' '), '--write-code-cache'], { cwd: ROOT });
}
