import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { basename, join } from 'node:path';
import type { FileHandle } from 'node:fs/promises';
import test from 'ava';
import type { Entry } from '../core';
import { diskFiles, openStore, type DurableFiles } from '../disk';

const LOG_FILE = 'log-00000001';

/** A write since the last sync of the log. */
interface UnsyncedWrite {
  readonly position: number;
  readonly bytes: Buffer;
}

/** What is left of a write after a power failure. */
const REMAINS: Readonly<Record<string, (bytes: Buffer) => Buffer>> = {
  present: (bytes) => bytes,
  missing: () => Buffer.alloc(0),
  torn: (bytes) => bytes.subarray(0, Math.floor(bytes.length / 2)),
};

/** Lists all lists of `length` choices. */
const listChoices = (length: number): readonly (readonly string[])[] =>
  length === 0
    ? [[]]
    : listChoices(length - 1).flatMap((rest) =>
        Object.keys(REMAINS).map((name) => [...rest, name]),
      );

/** Files that record the states in which a power failure at any write or sync may leave the log. */
const createFiles = (folder: string) => {
  let synced: Buffer = Buffer.alloc(0);
  let unsynced: UnsyncedWrite[] = [];
  const states: Buffer[] = [];

  const recordStates = (): void =>
    listChoices(unsynced.length).forEach((choices) => {
      let bytes: Buffer = synced;
      unsynced.forEach(({ position, bytes: written }, index) => {
        const left = REMAINS[choices[index]!]!(written);
        if (left.length === 0) return;
        const grown = Buffer.alloc(Math.max(bytes.length, position + left.length));
        bytes.copy(grown);
        left.copy(grown, position);
        bytes = grown;
      });
      states.push(bytes);
    });

  const files: DurableFiles = {
    ...diskFiles,
    write: async (handle: FileHandle, bytes, position) => {
      await diskFiles.write(handle, bytes, position);
      if (!readdirSync(folder).includes(LOG_FILE)) return;
      unsynced.push({ position, bytes: Buffer.from(bytes) });
      recordStates();
    },
    sync: async (handle: FileHandle) => {
      await diskFiles.sync(handle);
      if (!readdirSync(folder).includes(LOG_FILE)) return;
      synced = readFileSync(join(folder, LOG_FILE));
      unsynced = [];
    },
  };
  return { files, states };
};

const createEntry = (index: number): Entry => ({
  index,
  term: 1,
  kind: 'command',
  id: `id-${index}`,
  base: 0,
  data: `"value ${index}"`,
});

// The marker behind a synced record is not synced. If it was lost and the next record was not, sound
// data counted as damaged, and the host moved it aside.
test('a power failure at any write of the log leaves all synced entries and no damage', async (t) => {
  const root = mkdtempSync(join(tmpdir(), 'oleanderfront-power-'));
  t.teardown(() => rmSync(root, { recursive: true, force: true }));
  const folder = join(root, 'config');
  const { files, states } = createFiles(folder);
  const store = await openStore({ folder, isAlone: false, files });
  const counts: number[] = [];
  for (let index = 1; index <= 4; index += 1) {
    await store.write({ entries: [createEntry(index)] });
    while (counts.length < states.length) counts.push(index - 1);
    await store.writeMarker();
    while (counts.length < states.length) counts.push(index);
  }
  await store.close();
  t.true(states.length >= 20);
  for (const [number, bytes] of states.entries()) {
    const copy = join(root, `state-${number}`);
    mkdirSync(copy);
    readdirSync(folder)
      .filter((name) => name !== 'lock' && name !== LOG_FILE)
      .forEach((name) => copyFileSync(join(folder, name), join(copy, basename(name))));
    writeFileSync(join(copy, LOG_FILE), bytes);
    const again = await openStore({ folder: copy, isAlone: false });
    t.is(again.damage, undefined);
    t.true(again.initial.entries.length >= counts[number]!);
    await again.close();
  }
});
