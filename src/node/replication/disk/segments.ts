import { open, readdir, readFile, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { Left, Right, type Either } from 'purify-ts';
import type { Entry, HardState } from '../core/types';
import type { DurableFiles } from './files';
import { encodeFrame, parseFrames } from './frame';

/** One synced write to the log. */
export interface LogRecord {
  readonly state?: HardState;
  /** Empties the log; the next entry is the one after this index. */
  readonly reset?: number;
  /** Entries to append. They replace all entries from the index of the first one on. */
  readonly entries?: readonly Entry[];
}

/** The content of the segments in a folder. */
export interface LogContent {
  readonly hardState: HardState;
  readonly entries: readonly Entry[];
}

/** The log of one store, split into files of bounded size. */
export interface Segments {
  /** Appends a record and syncs it. */
  readonly append: (record: LogRecord) => Promise<void>;
  /** Marks all earlier bytes as synced, so that damage to them is not mistaken for a torn tail. */
  readonly appendMarker: () => Promise<void>;
  /** Removes the segments that hold no entries above an index. */
  readonly removeUpTo: (index: number) => Promise<void>;
  readonly close: () => Promise<void>;
}

interface Segment {
  readonly number: number;
  lastIndex: number;
}

const MAX_SEGMENT_BYTES = 8 * 1024 * 1024;
const NAME_PATTERN = /^log-(\d{8})$/;
const MARKER = encodeFrame(Buffer.from('{}'));

const formatSegmentName = (number: number): string => `log-${String(number).padStart(8, '0')}`;

const listSegmentNumbers = async (folder: string): Promise<readonly number[]> =>
  (await readdir(folder))
    .map((name) => NAME_PATTERN.exec(name)?.[1])
    .filter((digits) => digits !== undefined)
    .map(Number)
    .sort((a, b) => a - b);

const computeLastIndex = (record: LogRecord): number =>
  record.entries?.at(-1)?.index ?? record.reset ?? 0;

/** Merges records in order. A gap between entries counts as damage. */
const mergeRecords = (records: readonly LogRecord[]): Either<string, LogContent> => {
  let hardState: HardState = { term: 0, vote: '' };
  let entries: Entry[] = [];
  for (const { state, reset, entries: added } of records) {
    if (state) hardState = state;
    if (reset !== undefined) entries = [];
    const first = added?.[0];
    if (!added || !first) continue;
    const base = entries[0]?.index ?? first.index;
    const kept = Math.max(0, first.index - base);
    if (kept > entries.length) return Left(`entries before entry ${first.index} are missing`);
    if (first.index < base) entries = [];
    entries.length = Math.min(entries.length, kept);
    entries.push(...added);
  }
  return Right({ hardState, entries });
};

interface LoadedSegments {
  readonly content: LogContent;
  readonly segments: Segment[];
  /** End of the complete frames in the last segment, in bytes. */
  readonly end: number;
}

const readSegments = async (folder: string): Promise<Either<string, LoadedSegments>> => {
  const numbers = await listSegmentNumbers(folder);
  const records: LogRecord[] = [];
  const segments: Segment[] = [];
  let end = 0;
  for (const number of numbers) {
    const bytes = await readFile(join(folder, formatSegmentName(number)));
    const scan = parseFrames(bytes);
    const isLast = number === numbers.at(-1);
    const isGap = segments.length > 0 && segments.at(-1)!.number + 1 !== number;
    if (isGap) return Left(`segment ${number - 1} is missing`);
    if (scan.isDamaged || (!isLast && scan.end < bytes.length)) {
      return Left(`segment ${number} is damaged at byte ${scan.end}`);
    }
    const parsed = scan.payloads.map((payload) => JSON.parse(payload.toString()) as LogRecord);
    const lastIndex = Math.max(0, ...parsed.map(computeLastIndex));
    parsed.forEach((record) => records.push(record));
    segments.push({ number, lastIndex });
    end = scan.end;
  }
  return mergeRecords(records).map((content) => ({ content, segments, end }));
};

const openSegment = async (
  folder: string,
  files: DurableFiles,
  number: number,
): Promise<FileHandle> => {
  const handle = await open(join(folder, formatSegmentName(number)), 'a+');
  await files.syncFolder(folder);
  await handle.close();
  return open(join(folder, formatSegmentName(number)), 'r+');
};

const createSegments = async (
  folder: string,
  files: DurableFiles,
  loaded: LoadedSegments,
): Promise<Segments> => {
  const { segments } = loaded;
  let { hardState } = loaded.content;
  if (segments.length === 0) segments.push({ number: 1, lastIndex: 0 });
  let active = segments.at(-1)!;
  let handle = await openSegment(folder, files, active.number);
  let position = loaded.end;
  await handle.truncate(position);
  await files.sync(handle);

  // The marker is not synced, so the next record is written together with it: otherwise a power
  // failure could leave the record without the marker before it, which would look like damage.
  let isMarked = false;

  const writeRecord = async (record: LogRecord): Promise<void> => {
    const frame = encodeFrame(Buffer.from(JSON.stringify(record)));
    const bytes = isMarked ? Buffer.concat([MARKER, frame]) : frame;
    isMarked = false;
    await files.write(handle, bytes, position);
    await files.sync(handle);
    position += bytes.length;
    active.lastIndex = Math.max(active.lastIndex, computeLastIndex(record));
  };

  const openNextSegment = async (): Promise<void> => {
    // Only the last segment may end with a torn frame.
    if (isMarked) await files.sync(handle);
    isMarked = false;
    await handle.close();
    active = { number: active.number + 1, lastIndex: 0 };
    segments.push(active);
    handle = await openSegment(folder, files, active.number);
    position = 0;
    // Each segment starts with the hard state, so that older segments can be removed.
    await writeRecord({ state: hardState });
  };

  return {
    append: async (record) => {
      if (position >= MAX_SEGMENT_BYTES) await openNextSegment();
      if (record.state) hardState = record.state;
      await writeRecord(record);
    },
    appendMarker: async () => {
      await files.write(handle, MARKER, position);
      isMarked = true;
    },
    removeUpTo: async (index) => {
      while (segments.length > 1 && segments[0]!.lastIndex <= index) {
        await files.removeFile(join(folder, formatSegmentName(segments[0]!.number)));
        // A power failure must not bring back this segment without the ones after it.
        await files.syncFolder(folder);
        segments.shift();
      }
    },
    close: () => handle.close(),
  };
};

/**
 * Opens the log in a folder, truncates a torn tail and returns the content of the log. Returns a
 * description of the damage if the log is damaged.
 */
export const openSegments = async (
  folder: string,
  files: DurableFiles,
): Promise<Either<string, { readonly content: LogContent; readonly segments: Segments }>> => {
  const loaded = await readSegments(folder);
  if (loaded.isLeft()) return loaded;
  const value = loaded.unsafeCoerce();
  return Right({ content: value.content, segments: await createSegments(folder, files, value) });
};
