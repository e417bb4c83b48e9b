import { open, rename, type FileHandle } from 'node:fs/promises';
import { dirname } from 'node:path';

/** The durable file operations; a test replaces them to bring about disk faults. */
export interface DurableFiles {
  /** Writes bytes at a position; short writes are continued. */
  readonly write: (handle: FileHandle, bytes: Buffer, position: number) => Promise<void>;
  /** Returns once the file's data is on the disk. */
  readonly sync: (handle: FileHandle) => Promise<void>;
}

/** The operations of the real disk. */
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
};

/** Makes the names in a folder durable. */
export const writeFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** Replaces a file as a whole: after a crash it holds the old bytes or the new ones. */
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
  await writeFolder(dirname(path));
};
