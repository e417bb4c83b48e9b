import test, { type ExecutionContext } from 'ava';
import { mkdtempSync, readdirSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createRootLogger } from '../../log';
import { createRpcClient } from '../../rpc';
import { diskFiles, type DurableFiles } from '../disk';
import { createReplicationHost } from '..';
import { waitFor } from './controlHosts';

const SELF = { node: 'control-1', address: '127.0.0.1:0' };

const createCounter = () => {
  let sum = 0;
  return {
    apply: (_: number, value: number) => {
      sum += value;
      return sum;
    },
    snapshot: () => sum,
    restore: (state: unknown) => {
      sum = state as number;
    },
  };
};

const createHost = (data: string, files: DurableFiles, handleFailure: (cause: unknown) => void) =>
  createReplicationHost({
    node: SELF.node,
    peers: [SELF],
    data,
    rpc: createRpcClient({ secret: 'internal-secret' }),
    log: createRootLogger({ level: 'silent', node: SELF.node }),
    handleFailure,
    files,
  });

const createData = (t: ExecutionContext): string => {
  const data = mkdtempSync(join(tmpdir(), 'oleanderfront-replica-'));
  t.teardown(() => rmSync(data, { recursive: true, force: true }));
  return data;
};

test('the only host of a group keeps its state across snapshots and restarts', async (t) => {
  const data = createData(t);
  const first = createHost(data, diskFiles, (cause) => t.fail(String(cause)));
  const replica = await first.openGroup('config', createCounter());
  for (let round = 0; round < 25; round += 1) {
    const batch = Array.from({ length: 1_000 }, () => replica.propose(1));
    const answers = await Promise.all(batch);
    t.is(answers.at(-1)!.unsafeCoerce().result, (round + 1) * 1_000);
  }
  await first.stop();
  const second = createHost(data, diskFiles, (cause) => t.fail(String(cause)));
  t.teardown(second.stop);
  const again = await second.openGroup('config', createCounter());
  t.is((await again.propose(1)).unsafeCoerce().result, 25_001);
  t.true((await again.confirmRead()).unsafeCoerce().index > 25_000);
});

const createTextHolder = () => {
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

const computeFolderBytes = (folder: string): number =>
  readdirSync(folder)
    .map((name) => statSync(join(folder, name)).size)
    .reduce((sum, size) => sum + size, 0);

const LARGE_CHANGE_BYTES = 250_000;
/** An eighth of the disk of a control host of 128 MB. */
const MAX_GROUP_BYTES = 16_000_000;

// The log was compacted only after 10,000 entries of any size: hundreds of changes of a large
// configuration filled the disk and the memory of all control hosts.
test('hundreds of large changes do not fill the disk of a control host', async (t) => {
  const data = createData(t);
  const handleFailure = (cause: unknown) => t.fail(String(cause));
  const first = createHost(data, diskFiles, handleFailure);
  const replica = await first.openGroup('config', createTextHolder());
  for (let change = 0; change < 300; change += 1) {
    (await replica.propose(String(change).padEnd(LARGE_CHANGE_BYTES, 'x'))).unsafeCoerce();
  }
  await first.stop();
  const bytes = computeFolderBytes(join(data, 'config'));
  t.true(bytes < MAX_GROUP_BYTES, `${bytes} bytes on the disk`);
  const second = createHost(data, diskFiles, handleFailure);
  t.teardown(second.stop);
  const machine = createTextHolder();
  const again = await second.openGroup('config', machine);
  (await again.confirmRead()).unsafeCoerce();
  t.is(machine.snapshot(), '299'.padEnd(LARGE_CHANGE_BYTES, 'x'));
});

test('a failed sync calls the failure handler, and its command fails with outcome unknown', async (t) => {
  const failures: unknown[] = [];
  let isFaulty = false;
  const files: DurableFiles = {
    ...diskFiles,
    sync: (handle) =>
      isFaulty ? Promise.reject(new Error('EIO: sync failed')) : diskFiles.sync(handle),
  };
  const host = createHost(createData(t), files, (cause) => failures.push(cause));
  const replica = await host.openGroup('config', createCounter());
  (await replica.propose(1)).unsafeCoerce();
  isFaulty = true;
  const answer = replica.propose(2);
  await waitFor('the failure', () => failures[0]);
  t.regex(String(failures[0]), /EIO: sync failed/);
  await host.stop();
  t.is((await answer).swap().unsafeCoerce().outcome, 'unknown');
});
