/** The bytes that one request and its responses hold. */
export interface ByteAccount {
  /**
   * Takes more bytes for a body that holds `held` already. Returns false, and takes none, if there
   * is no room for them.
   */
  readonly acquire: (bytes: number, held: number) => boolean;
  readonly release: (bytes: number) => void;
  /** Releases all bytes. Nothing can be acquired afterwards. */
  readonly close: () => void;
}

/** Bounds the bytes of bodies that a gateway holds for all requests in progress together. */
export interface ByteBudget {
  readonly openAccount: () => ByteAccount;
  /** Returns the number of bytes that all accounts hold. */
  readonly countHeld: () => number;
}

/** A body and a budget as they are when the body needs more bytes. */
export interface ByteDemand {
  readonly bytes: number;
  /** Bytes that the body holds already. */
  readonly held: number;
  /** Bytes that all bodies hold together. */
  readonly heldByAll: number;
  readonly limit: number;
}

/** Largest body that may use the reserve, as a fraction of the limit. */
const SMALL_BODY_FRACTION = 1 / 256;
/** Part of the limit that large bodies leave to small ones. */
const RESERVED_FRACTION = 1 / 4;

/**
 * Returns whether a body may take more bytes. A large body may hold at most as much as is free, so
 * that one body cannot take everything. Bodies that grow one after another still leave nothing free
 * together, so a part is reserved for small bodies.
 */
export const hasRoomFor = ({ bytes, held, heldByAll, limit }: ByteDemand): boolean => {
  const size = held + bytes;
  if (size <= SMALL_BODY_FRACTION * limit) return bytes <= limit - heldByAll;
  return size <= (1 - RESERVED_FRACTION) * limit - heldByAll;
};

/** Creates a budget of `limit` bytes. */
export const createByteBudget = (limit: number): ByteBudget => {
  let heldByAll = 0;
  return {
    openAccount: () => {
      let held = 0;
      let isClosed = false;
      const release = (bytes: number): void => {
        const released = Math.min(bytes, held);
        held -= released;
        heldByAll -= released;
      };
      return {
        acquire: (bytes, heldByBody) => {
          if (isClosed || !hasRoomFor({ bytes, held: heldByBody, heldByAll, limit })) return false;
          held += bytes;
          heldByAll += bytes;
          return true;
        },
        release,
        close: () => {
          isClosed = true;
          release(held);
        },
      };
    },
    countHeld: () => heldByAll,
  };
};
