import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { build } from 'esbuild';
import { inject } from 'postject';

const FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';
const resolveOutput = (name) => new URL(`../dist/${name}`, import.meta.url).pathname;

const readCommit = () => {
  try {
    return execFileSync('git', ['rev-parse', '--short=12', 'HEAD'], {
      encoding: 'utf8',
      stdio: ['ignore', 'pipe', 'ignore'],
    }).trim();
  } catch {
    return 'unknown';
  }
};

const { version } = JSON.parse(readFileSync(new URL('../package.json', import.meta.url), 'utf8'));

mkdirSync(resolveOutput(''), { recursive: true });
await build({
  entryPoints: [new URL('../src/node/main.ts', import.meta.url).pathname],
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
  main: resolveOutput('oleanderfront.cjs'),
  output: resolveOutput('sea.blob'),
  disableExperimentalSEAWarning: true,
};
writeFileSync(resolveOutput('sea.json'), JSON.stringify(seaConfig));
execFileSync(process.execPath, ['--experimental-sea-config', resolveOutput('sea.json')], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
rmSync(resolveOutput('oleanderfront'), { force: true });
copyFileSync(process.execPath, resolveOutput('oleanderfront'));
chmodSync(resolveOutput('oleanderfront'), 0o755);
const stderrWrite = process.stdout.write;
process.stdout.write = () => true;
await inject(
  resolveOutput('oleanderfront'),
  'NODE_SEA_BLOB',
  readFileSync(resolveOutput('sea.blob')),
  {
    sentinelFuse: FUSE,
  },
);
process.stdout.write = stderrWrite;
rmSync(resolveOutput('sea.blob'));
rmSync(resolveOutput('sea.json'));
