import { randomUUID } from 'node:crypto';
import { linkSync, readFileSync, renameSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createError } from '../../errors';

/** A lock on a folder, held until it is released or the process exits. */
export interface FolderLock {
  readonly release: () => void;
}

const LOCK_FILE = 'lock';
const START_TIME_FIELD = 19;
const heldFolders = new Set<string>();

// The start time distinguishes a process from a later one with the same process id.
const readProcessIdentity = (pid: number): string | undefined => {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    return `${pid} ${fields[START_TIME_FIELD]}`;
  } catch {
    return undefined;
  }
};

const isRunning = (holder: string): boolean =>
  readProcessIdentity(Number.parseInt(holder, 10)) === holder;

const createLockError = (folder: string, holder: string) =>
  createError({
    type: 'conflict',
    message: `'${folder}' is in use by process ${holder.split(' ')[0]}`,
    step: 'replication.lock',
  });

const removeStale = (path: string, holder: string): void => {
  const moved = `${path}.${randomUUID()}`;
  renameSync(path, moved);
  // Another process may have replaced the stale lock after it was read. Its lock is put back then.
  if (readFileSync(moved, 'utf8') !== holder) linkSync(moved, path);
  rmSync(moved);
};

const readErrorCode = (cause: unknown): string | undefined => (cause as NodeJS.ErrnoException).code;

/** Error codes of file systems that do not support hard links. */
const LINK_UNSUPPORTED_CODES: ReadonlySet<string | undefined> = new Set([
  'EPERM',
  'ENOSYS',
  'ENOTSUP',
  'EOPNOTSUPP',
]);

// Without hard links the lock file is not created atomically with its content. A process that died
// in between leaves an incomplete lock, which counts as stale.
const claimByCreating = (from: string, to: string): boolean => {
  try {
    writeFileSync(to, readFileSync(from), { flag: 'wx' });
    return true;
  } catch (cause) {
    if (readErrorCode(cause) === 'EEXIST') return false;
    throw cause;
  }
};

const claimByLinking = (from: string, to: string): boolean => {
  try {
    linkSync(from, to);
    return true;
  } catch (cause) {
    const code = readErrorCode(cause);
    if (code === 'EEXIST') return false;
    if (LINK_UNSUPPORTED_CODES.has(code)) return claimByCreating(from, to);
    throw cause;
  }
};

/**
 * Locks a folder against other processes. Throws `conflict` if a running process holds the lock.
 */
export const acquireFolderLock = (folder: string): FolderLock => {
  const self = readProcessIdentity(process.pid) ?? `${process.pid} 0`;
  if (heldFolders.has(folder)) throw createLockError(folder, self);
  const path = join(folder, LOCK_FILE);
  const own = `${path}.${randomUUID()}`;
  try {
    writeFileSync(own, self);
    while (!claimByLinking(own, path)) {
      const holder = readFileSync(path, 'utf8');
      if (holder !== self && isRunning(holder)) throw createLockError(folder, holder);
      removeStale(path, holder);
    }
  } finally {
    // On a full disk, the file exists although it could not be written.
    rmSync(own, { force: true });
  }
  heldFolders.add(folder);
  return {
    release: () => {
      heldFolders.delete(folder);
      rmSync(path, { force: true });
    },
  };
};
