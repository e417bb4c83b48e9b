import { open, rename, rm, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';

/** File operations that make data durable. Tests replace them to inject disk faults. */
export interface DurableFiles {
  /** Writes all bytes at a position and continues after short writes. */
  readonly write: (handle: FileHandle, bytes: Buffer, position: number) => Promise<void>;
  /** Resolves once the data of the file is on the disk. */
  readonly sync: (handle: FileHandle) => Promise<void>;
  readonly removeFile: (path: string) => Promise<void>;
  /** Resolves once the names in a folder are on the disk. */
  readonly syncFolder: (folder: string) => Promise<void>;
}

/** The file operations on the real disk. */
export const diskFiles: DurableFiles = {
  write: async (handle, bytes, position) => {
    let done = 0;
    while (done < bytes.length) {
      const { bytesWritten } = await handle.write(
        bytes,
        done,
        bytes.length - done,
        position + done,
      );
      done += bytesWritten;
    }
  },
  sync: (handle) => handle.datasync(),
  removeFile: (path) => rm(path),
  syncFolder: async (folder) => {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
};

/** Replaces a file atomically. After a crash it holds either the old or the new bytes. */
export const replaceFile = async (
  files: DurableFiles,
  path: string,
  bytes: Buffer,
): Promise<void> => {
  const temporary = `${path}.tmp`;
  const handle = await open(temporary, 'w');
  try {
    await files.write(handle, bytes, 0);
    await files.sync(handle);
  } finally {
    await handle.close();
  }
  await rename(temporary, path);
  await files.syncFolder(dirname(path));
};
