import type { Entry, Member, SnapshotMeta } from './types';

interface IndexedMembers {
  readonly index: number;
  readonly members: readonly Member[];
}

/** The part of the log that is in memory, above a snapshot. */
export interface Log {
  readonly snapshot: () => SnapshotMeta;
  /** Index just below the first entry in memory; at most the index of the snapshot. */
  readonly baseIndex: () => number;
  readonly lastIndex: () => number;
  readonly lastTerm: () => number;
  /** Returns the term of an entry, or undefined if it is not in memory. */
  readonly findTerm: (index: number) => number | undefined;
  readonly listEntries: (from: number, to: number) => readonly Entry[];
  /** Returns entries from an index on, limited by a count and a size in characters. */
  readonly listEntryBatch: (from: number, count: number, size: number) => readonly Entry[];
  /**
   * Returns the lowest index from which the entries up to `index` are within a count and a size in
   * characters. Returns the index after `index` if its entry alone is larger.
   */
  readonly findRetainedIndex: (index: number, count: number, size: number) => number;
  /** Appends entries. They replace all entries from the index of the first one on. */
  readonly append: (entries: readonly Entry[]) => void;
  /** Records a newer snapshot of this log and drops the entries below `keepFrom`. */
  readonly compact: (snapshot: SnapshotMeta, keepFrom: number) => void;
  /** Replaces the whole log with a snapshot. */
  readonly installSnapshot: (snapshot: SnapshotMeta) => void;
  /** Returns the current member list with the index of its entry. */
  readonly members: () => IndexedMembers;
  /** Returns the member list as of an index. */
  readonly findMembers: (index: number) => readonly Member[];
}

/** Creates a log above a snapshot. */
export const createLog = (initial: SnapshotMeta): Log => {
  let snapshot = initial;
  let base = { index: initial.index, term: initial.term };
  let entries: Entry[] = [];
  let memberLists: IndexedMembers[] = [{ index: initial.index, members: initial.members }];

  const readLastIndex = (): number => base.index + entries.length;

  const findTerm = (index: number): number | undefined => {
    if (index === base.index) return base.term;
    if (index === snapshot.index) return snapshot.term;
    return entries[index - base.index - 1]?.term;
  };

  const list = (from: number, to: number): readonly Entry[] =>
    entries.slice(Math.max(0, from - base.index - 1), Math.max(0, to - base.index));

  const listBatch = (from: number, count: number, size: number): readonly Entry[] => {
    const found: Entry[] = [];
    let total = 0;
    for (let at = from - base.index - 1; at < entries.length && found.length < count; at += 1) {
      const entry = entries[at]!;
      total += entry.data.length;
      if (found.length > 0 && total > size) break;
      found.push(entry);
    }
    return found;
  };

  const findRetainedIndex = (index: number, count: number, size: number): number => {
    const lowest = Math.max(base.index, index - count);
    let total = 0;
    for (let at = index; at > lowest; at -= 1) {
      total += entries[at - base.index - 1]!.data.length;
      if (total > size) return at + 1;
    }
    return lowest + 1;
  };

  const append = (added: readonly Entry[]): void => {
    const first = added[0];
    if (!first) return;
    entries.length = first.index - base.index - 1;
    memberLists = memberLists.filter((item) => item.index < first.index);
    for (const entry of added) {
      entries.push(entry);
      if (entry.kind !== 'members') continue;
      memberLists.push({
        index: entry.index,
        members: JSON.parse(entry.data) as readonly Member[],
      });
    }
  };

  const findMembers = (index: number): readonly Member[] =>
    memberLists.findLast((item) => item.index <= index)?.members ?? [];

  const compact = (newer: SnapshotMeta, keepFrom: number): void => {
    if (newer.index <= snapshot.index) return;
    const newBase = Math.max(base.index, Math.min(keepFrom - 1, newer.index));
    const term = findTerm(newBase) ?? newer.term;
    entries = entries.slice(newBase - base.index);
    base = { index: newBase, term };
    snapshot = newer;
    const kept = memberLists.filter((item) => item.index > newer.index);
    memberLists = [{ index: newer.index, members: newer.members }, ...kept];
  };

  const restore = (newer: SnapshotMeta): void => {
    snapshot = newer;
    base = { index: newer.index, term: newer.term };
    entries = [];
    memberLists = [{ index: newer.index, members: newer.members }];
  };

  return {
    snapshot: () => snapshot,
    baseIndex: () => base.index,
    lastIndex: readLastIndex,
    lastTerm: () => findTerm(readLastIndex())!,
    findTerm,
    listEntries: list,
    listEntryBatch: listBatch,
    findRetainedIndex,
    append,
    compact,
    installSnapshot: restore,
    members: () => memberLists.at(-1)!,
    findMembers,
  };
};
