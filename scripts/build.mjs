import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';
import { build } from 'esbuild';
import { inject } from 'postject';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const ROOT = fileURLToPath(new URL('..', import.meta.url));
// `--out DIR` sets the output folder. The default is `dist`.
const { values } = parseArgs({ options: { out: { type: 'string' } } });
const OUT = resolve(values.out ?? join(ROOT, 'dist'));
const resolveOutput = (name) => join(OUT, name);

const runGit = (...args) =>
  execFileSync('git', args, {
    cwd: ROOT,
    encoding: 'utf8',
    stdio: ['ignore', 'pipe', 'ignore'],
  }).trim();

// Builds of the same commit are identical. The suffix marks a build with uncommitted changes.
const readCommit = () => {
  try {
    const commit = runGit('rev-parse', '--short=12', 'HEAD');
    const changes = runGit('status', '--porcelain', '--untracked-files=no');
    return changes === '' ? commit : `${commit}-dirty`;
  } catch {
    return 'unknown';
  }
};

const { version } = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8'));

mkdirSync(resolveOutput(''), { recursive: true });
await build({
  // Paths in the bundle are relative to the root, so that the output does not depend on the
  // location of the repository or on the working directory.
  absWorkingDir: ROOT,
  preserveSymlinks: true,
  entryPoints: ['src/node/main.ts'],
  outfile: resolveOutput('oleanderfront.cjs'),
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  mainFields: ['module', 'main'],
  define: {
    'process.env.OLEANDERFRONT_VERSION': JSON.stringify(version),
    'process.env.OLEANDERFRONT_COMMIT': JSON.stringify(readCommit()),
  },
  logLevel: 'warning',
});

const seaConfig = {
  main: 'oleanderfront.cjs',
  output: 'sea.blob',
  disableExperimentalSEAWarning: true,
};
writeFileSync(resolveOutput('sea.json'), JSON.stringify(seaConfig));
execFileSync(process.execPath, ['--experimental-sea-config', 'sea.json'], {
  cwd: resolveOutput(''),
  stdio: ['ignore', 'ignore', 'inherit'],
});
rmSync(resolveOutput('oleanderfront'), { force: true });
copyFileSync(process.execPath, resolveOutput('oleanderfront'));
chmodSync(resolveOutput('oleanderfront'), 0o755);
const stdoutWrite = process.stdout.write;
process.stdout.write = () => true;
await inject(
  resolveOutput('oleanderfront'),
  'NODE_SEA_BLOB',
  readFileSync(resolveOutput('sea.blob')),
  {
    sentinelFuse: FUSE,
  },
);
process.stdout.write = stdoutWrite;
rmSync(resolveOutput('sea.blob'));
rmSync(resolveOutput('sea.json'));
