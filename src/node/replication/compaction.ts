import type { Applier } from './applier';
import type { Core } from './core';
import type { Store } from './disk';

/** Keeps the log bounded by snapshots of the state machine. */
export interface Compaction {
  /** Notes applied commands by their size in characters. */
  readonly handleApplied: (size: number) => void;
  /** Notes a snapshot that came from the leader. */
  readonly handleInstalled: (index: number, size: number) => void;
  /** Starts a snapshot if one is due. */
  readonly advance: () => void;
  /** Resolves when no snapshot is being written. */
  readonly stop: () => Promise<void>;
}

/** Entries after which a snapshot may be due. */
export const MIN_SNAPSHOT_ENTRIES = 10_000;
const MAX_SNAPSHOT_ENTRIES = 40_000;
/** A snapshot is due once the log has grown to this share of its size. */
const SNAPSHOT_GROWTH_RATIO = 0.25;
/** Entries kept below a snapshot for members that lag. */
const RETAINED_ENTRIES = 2_000;

/** Creates the compaction of one replica. */
export const createCompaction = (
  core: Core,
  applier: Applier<unknown>,
  store: Store,
  handleFailure: (cause: unknown) => void,
): Compaction => {
  let writing: Promise<void> | undefined;
  let snapshotIndex = applier.applied();
  let snapshotSize = store.initial.snapshot.size;
  let sizeSinceSnapshot = 0;

  const isDue = (): boolean => {
    const count = applier.applied() - snapshotIndex;
    if (writing || count < MIN_SNAPSHOT_ENTRIES) return false;
    // A snapshot from the leader has replaced the log and is not installed yet.
    if (core.findTerm(applier.applied()) === undefined) return false;
    if (count >= MAX_SNAPSHOT_ENTRIES) return true;
    return (
      sizeSinceSnapshot >= snapshotSize * SNAPSHOT_GROWTH_RATIO && !core.status().isSendingSnapshot
    );
  };

  const runSnapshot = async (): Promise<void> => {
    const index = applier.applied();
    const term = core.findTerm(index)!;
    const members = core.findMembers(index);
    sizeSinceSnapshot = 0;
    snapshotIndex = index;
    const size = await store.writeSnapshot({ index, term, members, state: applier.snapshot() });
    if (snapshotIndex !== index) return;
    snapshotSize = size;
    core.compact({ index, term, members, size }, index - RETAINED_ENTRIES);
    await store.removeUpTo(core.status().baseIndex);
  };

  return {
    handleApplied: (size) => {
      sizeSinceSnapshot += size;
    },
    handleInstalled: (index, size) => {
      snapshotIndex = index;
      snapshotSize = size;
      sizeSinceSnapshot = 0;
    },
    advance: () => {
      if (!isDue()) return;
      writing = runSnapshot()
        .catch(handleFailure)
        .finally(() => {
          writing = undefined;
        });
    },
    stop: async () => {
      await writing;
    },
  };
};
