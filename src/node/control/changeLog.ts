import type { ViewEntry } from '../view';

/** Bounded log of the latest changes of the view, in order of revision. */
export interface ChangeLog {
  readonly append: (entry: ViewEntry) => void;
  /**
   * Returns the last change of each entry after a revision, or undefined if some of them were
   * evicted.
   */
  readonly readSince: (revision: number) => readonly ViewEntry[] | undefined;
}

const MAX_CHANGES = 20_000;

/** Creates a log that is complete for all revisions after `start`. */
export const createChangeLog = (start: number, limit = MAX_CHANGES): ChangeLog => {
  let changes: ViewEntry[] = [];
  let completeAfter = start;

  const append = (entry: ViewEntry): void => {
    changes.push(entry);
    // Evicts half of the log at a time, so that an append takes amortised constant time.
    if (changes.length <= limit) return;
    const dropped = changes.slice(0, Math.floor(limit / 2));
    completeAfter = dropped.at(-1)!.revision;
    changes = changes.slice(dropped.length);
  };

  const findFirst = (revision: number): number => {
    let low = 0;
    let high = changes.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (changes[middle]!.revision > revision) high = middle;
      else low = middle + 1;
    }
    return low;
  };

  const readSince = (revision: number): readonly ViewEntry[] | undefined => {
    if (revision < completeAfter) return undefined;
    const latest = new Map<string, ViewEntry>();
    for (const entry of changes.slice(findFirst(revision))) {
      latest.set(`${entry.kind}/${entry.name}`, entry);
    }
    return [...latest.values()];
  };

  return { append, readSince };
};
