import type { ByteAccount } from './byteBudget';

/**
 * Bytes in one piece of memory that grows. A list of chunks would cost much more than their bytes
 * if they are small.
 */
export interface ByteBuffer {
  /** Adds a chunk. Returns false, and adds nothing, if the account has no room for it. */
  readonly add: (chunk: Buffer) => boolean;
  readonly countBytes: () => number;
  /** Returns the bytes added so far. They stay valid until the buffer is cleared. */
  readonly read: () => Buffer;
  /** Removes all bytes and releases their memory. */
  readonly clear: () => void;
}

const MIN_CAPACITY_BYTES = 1024;

const computeCapacity = (bytes: number): number =>
  Math.max(MIN_CAPACITY_BYTES, 2 ** Math.ceil(Math.log2(bytes)));

/** Creates an empty buffer whose memory counts towards an account. */
export const createByteBuffer = (account: Pick<ByteAccount, 'acquire' | 'release'>): ByteBuffer => {
  let memory = Buffer.alloc(0);
  let size = 0;

  const updateCapacity = (capacity: number): boolean => {
    if (!account.acquire(capacity - memory.length, memory.length)) return false;
    const grown = Buffer.allocUnsafeSlow(capacity);
    memory.copy(grown, 0, 0, size);
    memory = grown;
    return true;
  };

  return {
    add: (chunk) => {
      const needed = size + chunk.length;
      if (needed > memory.length && !updateCapacity(computeCapacity(needed))) return false;
      chunk.copy(memory, size);
      size = needed;
      return true;
    },
    countBytes: () => size,
    read: () => memory.subarray(0, size),
    clear: () => {
      account.release(memory.length);
      memory = Buffer.alloc(0);
      size = 0;
    },
  };
};
