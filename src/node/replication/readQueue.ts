import { randomUUID } from 'node:crypto';
import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import type { ConfirmedRead, Core } from './core';
import type { ReadPoint } from './types';

type Answer = Either<RouterError, ReadPoint>;

interface PendingReader {
  readonly resolve: (answer: Answer) => void;
  readonly deadline: number;
}

interface Round {
  readonly id: string;
  readonly readers: readonly PendingReader[];
  readonly retryAt: number;
}

interface ConfirmedReaders {
  readonly point: ReadPoint;
  readonly readers: readonly PendingReader[];
}

/** The reads of this process that wait for a quorum. One round is active at a time. */
export interface ReadQueue {
  readonly add: () => Promise<Answer>;
  /** Starts a round for the waiting readers if none is active. */
  readonly send: () => void;
  readonly tick: () => void;
  readonly handleConfirmed: (read: ConfirmedRead, applied: number) => void;
  /** Answers the readers whose read point has been applied on this host. */
  readonly handleApplied: (applied: number) => void;
  readonly stop: () => void;
}

const TIMEOUT_TICKS = 18;
const RETRY_TICKS = 5;

const createRefusal = (message: string): Answer =>
  Left(createError({ type: 'unavailable', message, step: 'replication.read' }));

/** Creates a read queue. */
export const createReadQueue = (core: Core): ReadQueue => {
  // A random prefix, so that an answer to an earlier process of this host matches no read of this
  // one.
  const idPrefix = randomUUID();
  let waitingReaders: PendingReader[] = [];
  let round: Round | undefined;
  let confirmed: ConfirmedReaders[] = [];
  let tick = 0;
  let nextId = 0;

  const send = (): void => {
    if (round || waitingReaders.length === 0) return;
    nextId += 1;
    const id = `${idPrefix}-${nextId}`;
    if (!core.read(id)) return;
    round = { id, readers: waitingReaders, retryAt: tick + RETRY_TICKS };
    waitingReaders = [];
  };

  const handleApplied = (applied: number): void => {
    for (const { point, readers } of confirmed) {
      if (point.index <= applied) readers.forEach((reader) => reader.resolve(Right(point)));
    }
    confirmed = confirmed.filter(({ point }) => point.index > applied);
  };

  const expireReaders = (readers: readonly PendingReader[]): PendingReader[] => {
    const isLate = (reader: PendingReader): boolean => reader.deadline <= tick;
    readers
      .filter(isLate)
      .forEach((reader) =>
        reader.resolve(createRefusal('the read timed out before a quorum confirmed it')),
      );
    return readers.filter((reader) => !isLate(reader));
  };

  return {
    add: () =>
      new Promise((resolve) => {
        waitingReaders.push({ resolve, deadline: tick + TIMEOUT_TICKS });
      }),
    send,
    tick: () => {
      tick += 1;
      if (round && round.retryAt <= tick) {
        waitingReaders = [...round.readers, ...waitingReaders];
        round = undefined;
      }
      waitingReaders = expireReaders(waitingReaders);
      confirmed = confirmed.map((item) => ({ ...item, readers: expireReaders(item.readers) }));
      send();
    },
    handleConfirmed: ({ id, index, term }, applied) => {
      if (round?.id !== id) return;
      confirmed.push({ point: { term, index }, readers: round.readers });
      round = undefined;
      handleApplied(applied);
      send();
    },
    handleApplied,
    stop: () => {
      const all = [
        ...waitingReaders,
        ...(round?.readers ?? []),
        ...confirmed.flatMap((c) => c.readers),
      ];
      all.forEach((reader) => reader.resolve(createRefusal('the replica is stopping')));
    },
  };
};
