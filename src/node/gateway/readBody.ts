import type { IncomingMessage } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';

/** Why a body could not be read. */
export type BodyFailure = 'too_large' | 'broken';

/** Reads the whole body of a request into memory, so that it can be sent again. */
export const readBody = async (
  message: IncomingMessage,
  limitBytes: number,
): Promise<Either<BodyFailure, Buffer>> => {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of message) {
      size += (chunk as Buffer).length;
      if (size > limitBytes) return Left('too_large');
      chunks.push(chunk as Buffer);
    }
  } catch {
    // The caller has disconnected, so there is nobody to report the cause to.
    return Left('broken');
  }
  return message.complete ? Right(Buffer.concat(chunks)) : Left('broken');
};
