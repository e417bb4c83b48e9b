// Measures what a control host keeps after many changes of a configuration of one size, and how long
// it takes to start with it: `npm run bench:log-growth`.
import { mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { createRootLogger } from '../src/node/log';
import { createReplicationHost } from '../src/node/replication';
import { createRpcClient } from '../src/node/rpc';

const SELF = { node: 'control-1', address: '127.0.0.1:0' };
const CHANGE_COUNTS = [10, 100, 1_000, 10_000] as const;
const CHANGE_BYTES = [2_000, 520_000] as const;
/** Largest run, in bytes of all its changes together. */
const MAX_WRITTEN_BYTES = 1_000_000_000;
const MB = 1_000_000;

const createHolder = () => {
  let text = '';
  return {
    apply: (_: number, value: string) => {
      text = value;
      return text.length;
    },
    snapshot: () => text,
    restore: (state: unknown) => {
      text = state as string;
    },
  };
};

const openHost = (data: string) =>
  createReplicationHost({
    node: SELF.node,
    peers: [SELF],
    data,
    rpc: createRpcClient({ secret: 'internal-secret' }),
    log: createRootLogger({ level: 'silent', node: SELF.node }),
    handleFailure: (cause) => {
      throw cause;
    },
  });

const computeFolderBytes = (folder: string): number =>
  readdirSync(folder)
    .map((name) => statSync(join(folder, name)).size)
    .reduce((sum, size) => sum + size, 0);

const runCase = async (changes: number, bytes: number): Promise<void> => {
  const data = mkdtempSync(join(tmpdir(), 'oleanderfront-growth-'));
  try {
    const first = openHost(data);
    const replica = await first.openGroup('config', createHolder());
    for (let change = 0; change < changes; change += 1) {
      (await replica.propose(String(change).padEnd(bytes, 'x'))).unsafeCoerce();
    }
    await first.stop();
    const disk = computeFolderBytes(join(data, 'config')) / MB;
    const startedAt = performance.now();
    const second = openHost(data);
    const again = await second.openGroup('config', createHolder());
    (await again.confirmRead()).unsafeCoerce();
    const startMs = performance.now() - startedAt;
    await second.stop();
    console.log(`| ${changes} | ${bytes} | ${disk.toFixed(1)} | ${startMs.toFixed(0)} |`);
  } finally {
    rmSync(data, { recursive: true, force: true });
  }
};

console.log('| changes | bytes a change | MB on disk | ms to start |\n| - | - | - | - |');
for (const bytes of CHANGE_BYTES) {
  for (const changes of CHANGE_COUNTS) {
    if (changes * bytes <= MAX_WRITTEN_BYTES) await runCase(changes, bytes);
  }
}
