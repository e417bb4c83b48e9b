import { randomUUID } from 'node:crypto';
import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises';
import { basename, dirname, join } from 'node:path';
import { Left, Right, type Either } from 'purify-ts';
import { createError } from '../../errors';
import type { Entry, HardState, Identity, InitialState, ReceivedSnapshot } from '../core/types';
import { diskFiles, replaceFile, type DurableFiles } from './files';
import { acquireFolderLock } from './folderLock';
import { openSegments, type LogContent, type LogRecord, type Segments } from './segments';
import { decodeSnapshot, encodeSnapshot, type Snapshot } from './snapshotFile';

/** The writes of one turn of the driver. None of them takes effect before it is synced. */
export interface StoreWrite {
  readonly identity?: Identity;
  readonly install?: ReceivedSnapshot;
  readonly hardState?: HardState;
  readonly entries: readonly Entry[];
}

/** The durable state of one group on one host. */
export interface Store {
  readonly initial: InitialState;
  /** The snapshot in the store at the time of opening. */
  readonly snapshot: Snapshot | undefined;
  /** Why the existing data was moved aside, if it was. */
  readonly damage: string | undefined;
  readonly write: (write: StoreWrite) => Promise<void>;
  readonly writeMarker: () => Promise<void>;
  /** Writes a snapshot and returns the size of its file in bytes. */
  readonly writeSnapshot: (snapshot: Snapshot) => Promise<number>;
  /** Reads a chunk of the newest snapshot file. Returns undefined if its index is not `index`. */
  readonly readChunk: (index: number, offset: number, size: number) => Promise<Buffer | undefined>;
  /** Removes log segments that are no longer needed up to an index. */
  readonly removeUpTo: (index: number) => Promise<void>;
  readonly close: () => Promise<void>;
}

/** Options for opening a store. */
export interface StoreOptions {
  readonly folder: string;
  /** Whether the group has no other host to catch up from. Opening damaged data throws then. */
  readonly isAlone: boolean;
  /** Whether a blank store may form a group with others. Default: true. */
  readonly canForm?: boolean;
  readonly files?: DurableFiles;
}

const IDENTITY_FILE = 'store.json';
const SNAPSHOT_FILE = 'snapshot';

interface LoadedStore {
  readonly identity: Identity;
  readonly snapshot: Snapshot | undefined;
  readonly snapshotSize: number;
  readonly content: LogContent;
  readonly segments: Segments;
}

const createIdentity = (canForm: boolean): Identity => ({
  store: randomUUID(),
  groupId: '',
  members: [],
  canForm,
});

const readIdentity = async (folder: string): Promise<Either<string, Identity | undefined>> => {
  const names = (await readdir(folder)).filter((name) => /^(store|log|snapshot)/.test(name));
  if (names.length === 0) return Right(undefined);
  if (!names.includes(IDENTITY_FILE)) return Left(`${IDENTITY_FILE} is missing`);
  try {
    return Right(JSON.parse(await readFile(join(folder, IDENTITY_FILE), 'utf8')) as Identity);
  } catch {
    return Left(`${IDENTITY_FILE} is damaged`);
  }
};

const readSnapshot = async (
  folder: string,
): Promise<Either<string, { readonly value: Snapshot; readonly size: number } | undefined>> => {
  const names = await readdir(folder);
  if (!names.includes(SNAPSHOT_FILE)) return Right(undefined);
  const file = await readFile(join(folder, SNAPSHOT_FILE));
  return decodeSnapshot(file).map((value) => ({ value, size: file.length }));
};

const removeTemporary = async (folder: string): Promise<void> => {
  const names = (await readdir(folder)).filter((name) => name.endsWith('.tmp'));
  for (const name of names) await rm(join(folder, name));
};

/**
 * Returns the entries above the snapshot. Returns no entries if the log does not match the last
 * entry of the snapshot, and a message if entries between snapshot and log are missing.
 */
export const listEntriesAbove = (
  entries: readonly Entry[],
  snapshot: Pick<Snapshot, 'index' | 'term'> | undefined,
): Either<string, readonly Entry[]> => {
  const index = snapshot?.index ?? 0;
  const first = entries[0]?.index ?? index + 1;
  if (first > index + 1) return Left(`entries ${index + 1} to ${first - 1} are missing`);
  const last = entries[index - first];
  const isContiguous = first === index + 1 || last?.term === snapshot?.term;
  return Right(isContiguous ? entries.slice(index + 1 - first) : []);
};

const openFolder = async (
  folder: string,
  files: DurableFiles,
  canForm: boolean,
): Promise<Either<string, LoadedStore>> => {
  await removeTemporary(folder);
  const found = await readIdentity(folder);
  if (found.isLeft()) return found;
  const identity = found.unsafeCoerce() ?? createIdentity(canForm);
  if (!found.unsafeCoerce()) {
    const path = join(folder, IDENTITY_FILE);
    await replaceFile(files, path, Buffer.from(JSON.stringify(identity)));
  }
  const snapshot = await readSnapshot(folder);
  if (snapshot.isLeft()) return snapshot;
  const opened = await openSegments(folder, files);
  if (opened.isLeft()) return opened;
  const { content, segments } = opened.unsafeCoerce();
  const loadedSnapshot = snapshot.unsafeCoerce();
  const above = listEntriesAbove(content.entries, loadedSnapshot?.value);
  if (above.isLeft()) {
    await segments.close();
    return above;
  }
  const entries = above.unsafeCoerce();
  // Entries that do not match the snapshot must not be read again at the next start.
  const hasDroppedEntries = entries.length === 0 && content.entries.length > 0;
  if (hasDroppedEntries) await segments.append({ reset: loadedSnapshot?.value.index ?? 0 });
  return Right({
    identity,
    snapshot: loadedSnapshot?.value,
    snapshotSize: loadedSnapshot?.size ?? 0,
    content: { ...content, entries },
    segments,
  });
};

const DAMAGED_INFIX = '.damaged-';

/** Moves the files of a damaged folder to a sibling folder. Only the latest such folder is kept. */
const replaceDamaged = async (folder: string): Promise<void> => {
  const parent = dirname(folder);
  const prefix = `${basename(folder)}${DAMAGED_INFIX}`;
  const older = (await readdir(parent)).filter((name) => name.startsWith(prefix));
  for (const name of older) await rm(join(parent, name), { recursive: true });
  const target = join(parent, `${prefix}${Date.now()}`);
  await mkdir(target);
  const names = (await readdir(folder)).filter((name) => /^(store|log|snapshot)/.test(name));
  for (const name of names) await rename(join(folder, name), join(target, name));
};

const openOrReplace = async (
  options: StoreOptions,
  files: DurableFiles,
): Promise<{ readonly loaded: LoadedStore; readonly damage: string | undefined }> => {
  const { folder, isAlone } = options;
  const loaded = await openFolder(folder, files, options.canForm !== false);
  if (loaded.isRight()) return { loaded: loaded.unsafeCoerce(), damage: undefined };
  const damage = loaded.extract() as string;
  if (isAlone) {
    throw createError({
      type: 'internal',
      message: `the data in '${folder}' is damaged: ${damage}`,
      step: 'replication.open',
    });
  }
  await replaceDamaged(folder);
  const blank = await openFolder(folder, files, false);
  return { loaded: blank.unsafeCoerce(), damage };
};

const createStore = (
  folder: string,
  files: DurableFiles,
  loaded: LoadedStore,
  damage: string | undefined,
  release: () => void,
): Store => {
  const { identity, snapshot, content, segments } = loaded;
  let snapshotIndex = snapshot?.index ?? 0;
  let writing: Promise<void> = Promise.resolve();

  const writeSnapshotFile = (index: number, file: Buffer): Promise<void> => {
    writing = writing.then(async () => {
      if (index <= snapshotIndex) return;
      await replaceFile(files, join(folder, SNAPSHOT_FILE), file);
      snapshotIndex = index;
    });
    return writing;
  };

  const write = async (item: StoreWrite): Promise<void> => {
    if (item.identity) {
      const bytes = Buffer.from(JSON.stringify(item.identity));
      await replaceFile(files, join(folder, IDENTITY_FILE), bytes);
    }
    const record: { -readonly [K in keyof LogRecord]: LogRecord[K] } = {};
    if (item.install) {
      await writeSnapshotFile(item.install.index, item.install.file);
      record.reset = item.install.index;
    }
    if (item.hardState) record.state = item.hardState;
    if (item.entries.length > 0) record.entries = item.entries;
    if (Object.keys(record).length > 0) await segments.append(record);
  };

  const readChunk: Store['readChunk'] = async (index, offset, size) => {
    if (index !== snapshotIndex) return undefined;
    const handle = await open(join(folder, SNAPSHOT_FILE), 'r');
    try {
      const { bytesRead, buffer } = await handle.read(Buffer.alloc(size), 0, size, offset);
      return index === snapshotIndex ? buffer.subarray(0, bytesRead) : undefined;
    } finally {
      await handle.close();
    }
  };

  return {
    initial: {
      identity,
      hardState: content.hardState,
      snapshot: {
        index: snapshot?.index ?? 0,
        term: snapshot?.term ?? 0,
        members: snapshot?.members ?? [],
        size: loaded.snapshotSize,
      },
      entries: content.entries,
    },
    snapshot,
    damage,
    write,
    writeMarker: segments.appendMarker,
    writeSnapshot: async (taken) => {
      const file = encodeSnapshot(taken);
      await writeSnapshotFile(taken.index, file);
      return file.length;
    },
    readChunk,
    removeUpTo: segments.removeUpTo,
    close: async () => {
      await writing;
      await segments.close();
      release();
    },
  };
};

/**
 * Opens the durable state of one group and locks its folder. A torn tail is truncated. If data
 * before the tail is damaged, it is moved aside and the host joins its group with a blank store.
 * The only host of a group throws an error instead.
 */
export const openStore = async (options: StoreOptions): Promise<Store> => {
  const { folder } = options;
  const files = options.files ?? diskFiles;
  await mkdir(folder, { recursive: true });
  const lock = acquireFolderLock(folder);
  try {
    const { loaded, damage } = await openOrReplace(options, files);
    return createStore(folder, files, loaded, damage, lock.release);
  } catch (cause) {
    lock.release();
    throw cause;
  }
};
