import test from 'ava';
import { isSnapshotDue, type LogGrowth } from '../compaction';
import { createLog } from '../core/log';
import type { Entry } from '../core';

const KB = 1024;
const MB = 1024 * KB;

const DUE_CASES: readonly {
  readonly name: string;
  readonly growth: LogGrowth;
  readonly isDue: boolean;
}[] = [
  {
    name: 'few small entries',
    growth: { entries: 9_999, size: 900 * KB, snapshotSize: 0, isSending: false },
    isDue: false,
  },
  {
    name: 'many small entries',
    growth: { entries: 10_000, size: 900 * KB, snapshotSize: 0, isSending: false },
    isDue: true,
  },
  {
    name: 'many small entries beside a much larger snapshot',
    growth: { entries: 10_000, size: 900 * KB, snapshotSize: 8 * MB, isSending: false },
    isDue: false,
  },
  {
    name: 'eight changes of a configuration of 500 KB',
    growth: { entries: 8, size: 8 * 520 * KB, snapshotSize: 520 * KB, isSending: false },
    isDue: true,
  },
  {
    name: 'eight such changes while a snapshot is being sent',
    growth: { entries: 8, size: 8 * 520 * KB, snapshotSize: 520 * KB, isSending: true },
    isDue: false,
  },
  {
    name: 'sixteen such changes while a snapshot is being sent',
    growth: { entries: 16, size: 16 * 520 * KB, snapshotSize: 520 * KB, isSending: true },
    isDue: true,
  },
  {
    name: 'a log smaller than its snapshot of 20 MB',
    growth: { entries: 30, size: 19 * MB, snapshotSize: 20 * MB, isSending: false },
    isDue: false,
  },
  {
    name: 'a log as large as its snapshot of 20 MB',
    growth: { entries: 32, size: 20 * MB, snapshotSize: 20 * MB, isSending: false },
    isDue: true,
  },
];

for (const { name, growth, isDue } of DUE_CASES) {
  test(`a snapshot is ${isDue ? 'due' : 'not due'} after ${name}`, (t) => {
    t.is(isSnapshotDue(growth), isDue);
  });
}

const createEntries = (count: number, size: number): readonly Entry[] =>
  Array.from({ length: count }, (_, offset) => ({
    index: offset + 1,
    term: 1,
    kind: 'command',
    id: `id-${offset + 1}`,
    base: 0,
    data: 'x'.repeat(size),
  }));

const RETAINED_CASES = [
  { name: 'all entries within both limits', size: 10, maxEntries: 50, maxSize: 1_000, first: 1 },
  { name: 'the last entries within the count', size: 10, maxEntries: 5, maxSize: 1_000, first: 16 },
  { name: 'the last entries within the size', size: 10, maxEntries: 50, maxSize: 70, first: 14 },
  { name: 'no entry larger than the size', size: 100, maxEntries: 50, maxSize: 70, first: 21 },
] as const;

for (const { name, size, maxEntries, maxSize, first } of RETAINED_CASES) {
  test(`a compacted log keeps ${name}`, (t) => {
    const log = createLog({ index: 0, term: 0, members: [], size: 0 });
    log.append(createEntries(20, size));
    const keepFrom = log.findRetainedIndex(20, maxEntries, maxSize);
    t.is(keepFrom, first);
    log.compact({ index: 20, term: 1, members: [], size: 0 }, keepFrom);
    t.is(log.baseIndex(), first - 1);
    t.is(log.listEntries(1, 20).length, 21 - first);
  });
}
