import test, { type ExecutionContext } from 'ava';
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  truncateSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, dirname, join } from 'node:path';
import type { Entry } from '../core';
import { diskFiles, openStore, type DurableFiles, type Store } from '../disk';

const createFolder = (t: ExecutionContext): string => {
  const root = mkdtempSync(join(tmpdir(), 'oleanderfront-store-'));
  t.teardown(() => rmSync(root, { recursive: true, force: true }));
  return join(root, 'config');
};

const createEntry = (index: number, term = 1): Entry => ({
  index,
  term,
  kind: 'command',
  id: `id-${index}`,
  base: 0,
  data: JSON.stringify(`value ${index}`),
});

const createEntries = (from: number, to: number, term = 1): readonly Entry[] =>
  Array.from({ length: to - from + 1 }, (_, offset) => createEntry(from + offset, term));

const openPlain = (folder: string, isAlone = false, files?: DurableFiles): Promise<Store> =>
  openStore({ folder, isAlone, files });

/** Writes three batches and a marker, like a process that becomes idle. */
const writeBatches = async (folder: string): Promise<string> => {
  const store = await openPlain(folder);
  await store.write({ hardState: { term: 1, vote: 'a' }, entries: createEntries(1, 3) });
  await store.write({ entries: createEntries(4, 6) });
  await store.write({ hardState: { term: 2, vote: 'b' }, entries: createEntries(7, 9, 2) });
  await store.writeMarker();
  await store.close();
  return store.initial.identity.store;
};

const MARKER_BYTES = 14;
const readLog = (folder: string): string => join(folder, 'log-00000001');
const countBytes = (folder: string): number => readFileSync(readLog(folder)).length;

const updateByte = (path: string, offset: number): void => {
  const bytes = readFileSync(path);
  bytes[offset] = bytes[offset]! + 1;
  writeFileSync(path, bytes);
};

test('synced writes are present at the next start', async (t) => {
  const folder = createFolder(t);
  const id = await writeBatches(folder);
  const store = await openPlain(folder);
  t.teardown(store.close);
  t.is(store.initial.identity.store, id);
  t.deepEqual(store.initial.hardState, { term: 2, vote: 'b' });
  t.deepEqual(store.initial.entries, [...createEntries(1, 6), ...createEntries(7, 9, 2)]);
});

test('appended entries replace all entries from their index on', async (t) => {
  const folder = createFolder(t);
  await writeBatches(folder);
  const store = await openPlain(folder);
  await store.write({ entries: createEntries(5, 5, 3) });
  await store.close();
  const again = await openPlain(folder);
  t.teardown(again.close);
  t.deepEqual(again.initial.entries, [...createEntries(1, 4), ...createEntries(5, 5, 3)]);
});

const TORN = [
  { title: 'the last batch lacks a few bytes', cut: MARKER_BYTES + 5, last: 6 },
  { title: 'the marker is incomplete', cut: 3, last: 9 },
  { title: 'the last batch has only part of its header', cut: undefined, last: 6 },
] as const;

for (const { title, cut, last } of TORN) {
  test(`a torn tail is truncated: ${title}`, async (t) => {
    const folder = createFolder(t);
    const id = await writeBatches(folder);
    const bytes = readFileSync(readLog(folder));
    const lastFrame = bytes.lastIndexOf(bytes.subarray(0, 4), bytes.length - MARKER_BYTES - 1);
    truncateSync(readLog(folder), cut === undefined ? lastFrame + 6 : bytes.length - cut);
    const store = await openPlain(folder);
    t.is(store.initial.identity.store, id);
    t.is(store.initial.entries.at(-1)?.index, last);
    await store.write({ entries: createEntries(last + 1, last + 1, 5) });
    await store.close();
    const again = await openPlain(folder);
    t.teardown(again.close);
    t.is(again.initial.entries.at(-1)?.term, 5);
  });
}

const DAMAGES: readonly {
  readonly title: string;
  readonly damage: (folder: string) => void;
  readonly reason: RegExp;
}[] = [
  {
    title: 'a changed byte in the first batch',
    damage: (folder) => updateByte(readLog(folder), 40),
    reason: /segment 1 is damaged at byte 0/,
  },
  {
    title: 'a changed byte in the last batch before the marker',
    damage: (folder) => updateByte(readLog(folder), countBytes(folder) - MARKER_BYTES - 9),
    reason: /segment 1 is damaged/,
  },
  {
    title: 'a missing identity file',
    damage: (folder) => rmSync(join(folder, 'store.json')),
    reason: /store.json is missing/,
  },
  {
    title: 'an identity file that is not JSON',
    damage: (folder) => writeFileSync(join(folder, 'store.json'), '{'),
    reason: /store.json is damaged/,
  },
  {
    title: 'a damaged snapshot',
    damage: (folder) => writeFileSync(join(folder, 'snapshot'), 'none'),
    reason: /snapshot is damaged/,
  },
];

for (const { title, damage, reason } of DAMAGES) {
  test(`damage before the tail is treated as a lost disk: ${title}`, async (t) => {
    const folder = createFolder(t);
    const id = await writeBatches(folder);
    damage(folder);
    await t.throwsAsync(openPlain(folder, true), { message: reason });
    const store = await openPlain(folder);
    t.teardown(store.close);
    t.regex(store.damage!, reason);
    t.not(store.initial.identity.store, id);
    t.is(store.initial.identity.canForm, false);
    t.deepEqual(store.initial.entries, []);
    const aside = readdirSync(join(folder, '..')).filter((name) => name.includes('.damaged-'));
    t.is(aside.length, 1);
  });
}

test('a snapshot replaces the log below it, and a crash before the log is trimmed loses nothing', async (t) => {
  const folder = createFolder(t);
  await writeBatches(folder);
  const store = await openPlain(folder);
  const snapshot = { index: 8, term: 2, members: [], state: { applied: 8 } };
  await store.writeSnapshot(snapshot);
  await store.close();
  const again = await openPlain(folder);
  t.teardown(again.close);
  t.deepEqual(again.snapshot, snapshot);
  t.deepEqual(again.initial.entries, createEntries(9, 9, 2));
});

test('a snapshot drops log entries that do not match it', async (t) => {
  const folder = createFolder(t);
  await writeBatches(folder);
  const store = await openPlain(folder);
  await store.writeSnapshot({ index: 20, term: 4, members: [], state: {} });
  await store.close();
  const again = await openPlain(folder);
  t.deepEqual(again.initial.entries, []);
  await again.write({ entries: createEntries(21, 22, 4) });
  await again.close();
  const third = await openPlain(folder);
  t.teardown(third.close);
  t.deepEqual(third.initial.entries, createEntries(21, 22, 4));
});

/** Files whose removal is lost in a power failure until the folder is synced. */
const createUnsyncedRemovals = (root: string) => {
  let removed: readonly string[] = [];
  const states: string[] = [];

  /** Copies the folder as it may be after a power failure, with one removed file back. */
  const recordPowerFailures = (folder: string): void =>
    removed.forEach((name) => {
      const copy = join(root, `state-${states.length}`);
      mkdirSync(copy);
      readdirSync(folder)
        .filter((kept) => kept !== 'lock')
        .forEach((kept) => copyFileSync(join(folder, kept), join(copy, kept)));
      copyFileSync(join(root, name), join(copy, name));
      states.push(copy);
    });

  const files: DurableFiles = {
    ...diskFiles,
    removeFile: async (path) => {
      copyFileSync(path, join(root, basename(path)));
      await diskFiles.removeFile(path);
      removed = [...removed, basename(path)];
      recordPowerFailures(dirname(path));
    },
    syncFolder: async (folder) => {
      await diskFiles.syncFolder(folder);
      removed = [];
    },
  };
  return { files, states };
};

// Removed segments could come back in any combination: an earlier one without a later one looked like
// a missing segment, and the host moved its data aside.
test('a power failure while the log is trimmed leaves no gap between segments', async (t) => {
  const folder = createFolder(t);
  const { files, states } = createUnsyncedRemovals(dirname(folder));
  const store = await openPlain(folder, false, files);
  const large = createEntries(1, 16).map((entry) => ({ ...entry, data: 'x'.repeat(3_000_000) }));
  for (const entry of large) await store.write({ entries: [entry] });
  await store.writeSnapshot({ index: 16, term: 1, members: [], state: {} });
  await store.removeUpTo(16);
  await store.close();
  t.true(states.length >= 4);
  for (const state of states) {
    const again = await openPlain(state);
    t.is(again.damage, undefined);
    await again.close();
  }
});

const createFault = (code: string): Error => Object.assign(new Error(code), { code });

const WRITE_FAULTS: readonly { readonly title: string; readonly files: DurableFiles }[] = [
  {
    title: 'a failed sync',
    files: { ...diskFiles, sync: () => Promise.reject(createFault('EIO')) },
  },
  {
    title: 'a full disk',
    files: { ...diskFiles, write: () => Promise.reject(createFault('ENOSPC')) },
  },
];

for (const { title, files } of WRITE_FAULTS) {
  test(`${title} fails the write, and a new process reads the entries synced before`, async (t) => {
    const folder = createFolder(t);
    await writeBatches(folder);
    let isFaulty = false;
    const store = await openPlain(folder, false, {
      ...diskFiles,
      write: (...call) => (isFaulty ? files.write(...call) : diskFiles.write(...call)),
      sync: (...call) => (isFaulty ? files.sync(...call) : diskFiles.sync(...call)),
    });
    isFaulty = true;
    await t.throwsAsync(store.write({ entries: createEntries(10, 10, 2) }));
    await store.close();
    const again = await openPlain(folder);
    t.teardown(again.close);
    t.true(again.initial.entries.length >= 9);
  });
}

const readStartTime = (pid: number): string => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  return stat.slice(stat.lastIndexOf(')') + 2).split(' ')[19]!;
};

test('two processes cannot open the same folder', async (t) => {
  const folder = createFolder(t);
  const store = await openPlain(folder);
  await t.throwsAsync(openPlain(folder), { message: /is in use by process/ });
  await store.close();
  // Process 1 is always running, but it has another start time, so this lock is stale.
  writeFileSync(join(folder, 'lock'), `1 ${Number(readStartTime(1)) + 1}`);
  const again = await openPlain(folder);
  await again.close();
  writeFileSync(join(folder, 'lock'), `1 ${readStartTime(1)}`);
  await t.throwsAsync(openPlain(folder), { message: /is in use by process 1/ });
});
