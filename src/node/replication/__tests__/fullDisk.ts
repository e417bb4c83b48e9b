import fs, { existsSync } from 'node:fs';
import { open, type FileHandle } from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';

// Preloaded by control hosts: as long as a file with the name of the settings and this suffix
// exists, every write fails as on a full disk: names can be created, and the first write stores half of
// its bytes.
const SUFFIX = '.full';
const MIN_SPLIT_BYTES = 2;

const marker = `${process.argv[process.argv.indexOf('--settings') + 1]!}${SUFFIX}`;
let hasRoom = true;

const isFull = (): boolean => {
  const isMarked = existsSync(marker);
  if (!isMarked) hasRoom = true;
  return isMarked;
};

const createFault = (): Error =>
  Object.assign(new Error('ENOSPC: no space left on device, write'), { code: 'ENOSPC' });

type Write = (
  this: FileHandle,
  buffer: Buffer,
  offset: number,
  length: number,
  position: number,
) => Promise<unknown>;

const handle = await open(process.execPath);
const prototype = Object.getPrototypeOf(handle) as { write: Write };
await handle.close();
const { write } = prototype;
prototype.write = function writeUnlessFull(buffer, offset, length, position) {
  if (!isFull()) return write.call(this, buffer, offset, length, position);
  if (!hasRoom || length < MIN_SPLIT_BYTES) return Promise.reject(createFault());
  hasRoom = false;
  return write.call(this, buffer, offset, Math.floor(length / 2), position);
};

const { writeFileSync } = fs;
fs.writeFileSync = (file, data, options) => {
  if (!isFull()) {
    writeFileSync(file, data, options);
    return;
  }
  writeFileSync(file, '', options);
  throw createFault();
};
syncBuiltinESMExports();
