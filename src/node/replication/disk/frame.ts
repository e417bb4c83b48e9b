import crc32 from 'crc-32';

const { buf: computeCrc32 } = crc32;

// These bytes are not valid UTF-8, so no payload can contain the start of a frame.
const MAGIC = Buffer.from([0xf5, 0xc0, 0xff, 0xfe]);
const LENGTH_OFFSET = 4;
const CRC_OFFSET = 8;
const HEADER_BYTES = 12;

/** The result of reading the frames of a file. */
export interface FrameScan {
  readonly payloads: readonly Buffer[];
  /** End of the last complete frame before any damage, as an offset in bytes. */
  readonly end: number;
  /** Whether a complete frame follows damaged bytes. */
  readonly isDamaged: boolean;
}

/** Encodes a payload as a frame of magic bytes, length, checksum and payload. */
export const encodeFrame = (payload: Buffer): Buffer => {
  const header = Buffer.alloc(HEADER_BYTES);
  MAGIC.copy(header);
  header.writeUInt32LE(payload.length, LENGTH_OFFSET);
  header.writeInt32LE(computeCrc32(payload), CRC_OFFSET);
  return Buffer.concat([header, payload]);
};

const readFrame = (bytes: Buffer, offset: number): Buffer | undefined => {
  if (offset + HEADER_BYTES > bytes.length) return undefined;
  if (bytes.compare(MAGIC, 0, MAGIC.length, offset, offset + MAGIC.length) !== 0) return undefined;
  const start = offset + HEADER_BYTES;
  const end = start + bytes.readUInt32LE(offset + LENGTH_OFFSET);
  if (end > bytes.length) return undefined;
  const payload = bytes.subarray(start, end);
  return computeCrc32(payload) === bytes.readInt32LE(offset + CRC_OFFSET) ? payload : undefined;
};

const hasFrameAfter = (bytes: Buffer, offset: number): boolean => {
  let at = bytes.indexOf(MAGIC, offset);
  while (at >= 0) {
    if (readFrame(bytes, at)) return true;
    at = bytes.indexOf(MAGIC, at + 1);
  }
  return false;
};

/**
 * Reads frames up to the first incomplete or damaged one. A frame is written only after the
 * previous one is synced. A complete frame after the damage therefore means that synced bytes have
 * changed. Otherwise the damage is a torn tail.
 */
export const parseFrames = (bytes: Buffer): FrameScan => {
  const payloads: Buffer[] = [];
  let end = 0;
  let payload = readFrame(bytes, end);
  while (payload) {
    payloads.push(payload);
    end += HEADER_BYTES + payload.length;
    payload = readFrame(bytes, end);
  }
  return { payloads, end, isDamaged: end < bytes.length && hasFrameAfter(bytes, end + 1) };
};
