import { mkdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

mkdirSync(new URL('../target/', import.meta.url), { recursive: true });
await build({
  absWorkingDir: ROOT,
  preserveSymlinks: true,
  entryPoints: ['platform/main.ts'],
  outfile: 'target/oleanderfront.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  logLevel: 'warning',
});
