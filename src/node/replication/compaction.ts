import type { Applier } from './applier';
import type { Core } from './core';
import type { Store } from './disk';

/** Bounds the size of the log by taking snapshots of the state machine. */
export interface Compaction {
  /** Records the size of an applied entry in characters. */
  readonly handleApplied: (size: number) => void;
  /** Records a snapshot that was received from the leader. */
  readonly handleInstalled: (index: number, size: number) => void;
  /** Starts a snapshot if one is due. */
  readonly advance: () => void;
  /** Waits until no snapshot is being written. */
  readonly stop: () => Promise<void>;
}

/** Minimum number of entries between snapshots. */
export const MIN_SNAPSHOT_ENTRIES = 10_000;
/** Number of entries after which a snapshot is due regardless of the size of the log. */
const MAX_SNAPSHOT_ENTRIES = 40_000;
/** A snapshot is due once the log since the last snapshot reaches this fraction of its size. */
const SNAPSHOT_GROWTH_RATIO = 0.25;
/** Entries kept below a snapshot for members that lag behind. */
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
    // A snapshot from the leader has replaced the log but is not installed yet.
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
