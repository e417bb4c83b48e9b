import type { Entry, HardState, Identity, InitialState, Ready } from '../core';
import { listEntriesAbove, decodeSnapshot } from '../disk';

/** The synced content of a simulated disk. */
export interface SimulatedDisk {
  readonly identity: Identity;
  readonly hardState: HardState;
  readonly entries: readonly Entry[];
  readonly snapshotFile: Buffer | undefined;
}

/**
 * How much of a write is on the disk after a crash. The log record is either complete or absent.
 */
export type WrittenPart = 'nothing' | 'identity' | 'snapshot' | 'all';

export const WRITTEN_PARTS: readonly WrittenPart[] = ['nothing', 'identity', 'snapshot', 'all'];

export const createDisk = (store: string): SimulatedDisk => ({
  identity: { store, groupId: '', members: [], canForm: true },
  hardState: { term: 0, vote: '' },
  entries: [],
  snapshotFile: undefined,
});

const appendEntries = (held: readonly Entry[], added: readonly Entry[]): readonly Entry[] => {
  const first = added[0];
  if (!first) return held;
  return [...held.filter((entry) => entry.index < first.index), ...added];
};

/** Applies a write, or the part of it that reached the disk before a crash. */
export const applyWrite = (
  disk: SimulatedDisk,
  ready: Pick<Ready, 'identity' | 'install' | 'hardState' | 'entries'>,
  part: WrittenPart,
): SimulatedDisk => {
  const depth = WRITTEN_PARTS.indexOf(part);
  const identity = (depth >= 1 && ready.identity) || disk.identity;
  const snapshotFile = (depth >= 2 && ready.install?.file) || disk.snapshotFile;
  if (depth < 3) return { ...disk, identity, snapshotFile };
  const held = ready.install ? [] : disk.entries;
  const entries = appendEntries(held, ready.entries);
  return { identity, snapshotFile, entries, hardState: ready.hardState ?? disk.hardState };
};

export const readInitial = (disk: SimulatedDisk): InitialState => {
  const { identity, hardState, snapshotFile } = disk;
  const snapshot = snapshotFile && decodeSnapshot(snapshotFile).unsafeCoerce();
  const { index = 0, term = 0, members = [] } = snapshot ?? {};
  const entries = listEntriesAbove(disk.entries, snapshot).unsafeCoerce();
  const size = snapshotFile?.length ?? 0;
  return { identity, hardState, snapshot: { index, term, members, size }, entries };
};
