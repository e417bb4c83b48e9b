import type { IncomingMessage } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import type { ByteAccount } from './byteBudget';
import { createByteBuffer } from './byteBuffer';

/** Why a body could not be read. */
export type BodyFailure = 'too_large' | 'broken' | 'no_memory';

/**
 * Reads the whole body of a request into memory, so that it can be sent again. A body that has no
 * room there is read and discarded, so that the connection can be used again.
 */
export const readBody = (
  message: IncomingMessage,
  limitBytes: number,
  account: ByteAccount,
): Promise<Either<BodyFailure, Buffer>> =>
  new Promise((resolve) => {
    const buffer = createByteBuffer(account);
    let size = 0;
    let isDiscarded = false;
    message.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) {
        resolve(Left('too_large'));
        message.destroy();
        return;
      }
      if (isDiscarded || buffer.add(chunk)) return;
      isDiscarded = true;
      buffer.clear();
      resolve(Left('no_memory'));
    });
    message.on('end', () => resolve(message.complete ? Right(buffer.read()) : Left('broken')));
    // The caller has disconnected, so there is nobody to report the cause to.
    message.on('error', () => resolve(Left('broken')));
    message.on('close', () => resolve(Left('broken')));
  });
