import { Left, Right, type Either } from 'purify-ts';
import type { Member } from '../core/types';
import { encodeFrame, parseFrames } from './frame';

/** A snapshot with its position in the log. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
  readonly state: unknown;
}

/** Encodes a snapshot as the bytes of its file. */
export const encodeSnapshot = (snapshot: Snapshot): Buffer =>
  encodeFrame(Buffer.from(JSON.stringify(snapshot)));

/** Decodes the bytes of a snapshot file, or returns a message if they are damaged. */
export const decodeSnapshot = (file: Buffer): Either<string, Snapshot> => {
  const { payloads, end } = parseFrames(file);
  const payload = payloads[0];
  if (!payload || end !== file.length) return Left('the snapshot is damaged');
  return Right(JSON.parse(payload.toString('utf8')) as Snapshot);
};
