import { setTimeout as sleep } from 'node:timers/promises';
import type { Either } from 'purify-ts';
import type { RouterError } from '../../errors';
import type { ReadPoint, Replica } from '../../replication';

/** Shares one quorum-confirmed read between all callers within 30 ms. */
export interface ReadBatcher {
  readonly confirm: () => Promise<Either<RouterError, ReadPoint>>;
}

const BATCH_WINDOW_MS = 30;

/** Creates a batcher. A caller only joins a read that has not started yet. */
export const createReadBatcher = <C, R>(replica: Replica<C, R>): ReadBatcher => {
  let next: Promise<Either<RouterError, ReadPoint>> | undefined;

  const runBatch = async (): Promise<Either<RouterError, ReadPoint>> => {
    await sleep(BATCH_WINDOW_MS);
    next = undefined;
    return replica.confirmRead();
  };

  return {
    confirm: () => {
      next ??= runBatch();
      return next;
    },
  };
};
