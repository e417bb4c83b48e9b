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

/** Minimum number of entries between snapshots of a log of small entries. */
const MIN_SNAPSHOT_ENTRIES = 10_000;
/** Number of entries after which a snapshot is due regardless of the size of the log. */
const MAX_SNAPSHOT_ENTRIES = 40_000;
/** A snapshot is due once the log since the last snapshot reaches this fraction of its size. */
const SNAPSHOT_GROWTH_RATIO = 0.25;
/**
 * Size of the log, in characters, from which a snapshot is due regardless of the number of entries.
 * A state that is larger than this is written only once the log has grown by the same size.
 */
const MAX_LOG_SIZE = 4 * 1024 * 1024;
/** The log grows to at most this multiple of its limit while a snapshot is sent to a member. */
const MAX_SENDING_FACTOR = 2;
/** Limits of the entries kept below a snapshot for members that lag behind. */
const RETAINED_ENTRIES = 2_000;
const RETAINED_SIZE = 1024 * 1024;

/** The growth of a log since its last snapshot. Sizes are in characters. */
export interface LogGrowth {
  readonly entries: number;
  readonly size: number;
  readonly snapshotSize: number;
  /** Whether the last snapshot is being sent to a member, which a newer one would restart. */
  readonly isSending: boolean;
}

/** Returns whether the log has grown so far that a snapshot is due. */
export const isSnapshotDue = ({ entries, size, snapshotSize, isSending }: LogGrowth): boolean => {
  if (entries >= MAX_SNAPSHOT_ENTRIES) return true;
  const limit = Math.max(MAX_LOG_SIZE, snapshotSize);
  if (size >= limit) return !isSending || size >= limit * MAX_SENDING_FACTOR;
  const hasGrown = size >= snapshotSize * SNAPSHOT_GROWTH_RATIO;
  return entries >= MIN_SNAPSHOT_ENTRIES && hasGrown && !isSending;
};

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
    const entries = applier.applied() - snapshotIndex;
    if (writing || entries === 0) return false;
    // A snapshot from the leader has replaced the log but is not installed yet.
    if (core.findTerm(applier.applied()) === undefined) return false;
    return isSnapshotDue({
      entries,
      size: sizeSinceSnapshot,
      snapshotSize,
      isSending: core.status().isSendingSnapshot,
    });
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
    const keepFrom = core.findRetainedIndex(index, RETAINED_ENTRIES, RETAINED_SIZE);
    core.compact({ index, term, members, size }, keepFrom);
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
