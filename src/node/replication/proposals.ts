import { randomUUID } from 'node:crypto';
import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../errors';
import { DEDUPLICATION_WINDOW_ENTRIES, type ApplyResult } from './applier';
import type { Core, Proposal } from './core';
import type { Applied } from './types';

type Answer<Result> = Either<RouterError, Applied<Result>>;

interface PendingProposal<Result> {
  readonly proposal: Proposal;
  readonly resolve: (answer: Answer<Result>) => void;
  /** Tick at which the proposal fails with an error. */
  readonly deadline: number;
  /** Whether the log of any host may contain the proposal. */
  isSent: boolean;
  /** Term in which the proposal was last sent. */
  sentTerm: number;
  /** Tick at which the proposal is sent again. */
  retryAt: number;
  retryDelayTicks: number;
}

/** The proposals of this process that are not applied yet. */
export interface Proposals<Result> {
  readonly add: (data: string, base: number) => Promise<Answer<Result>>;
  /** Sends proposals that are new or due for a retry. */
  readonly send: () => void;
  /** Advances the clock by one tick, fails proposals past their deadline and sends due retries. */
  readonly tick: () => void;
  readonly handleApplied: (applied: ApplyResult<Result>, index: number, term: number) => void;
  /**
   * Settles with an error the proposals that an installed snapshot covers; their results are lost.
   */
  readonly handleInstalled: (recent: ReadonlySet<string>, applied: number) => void;
  readonly stop: () => void;
}

const MAX_PENDING_PROPOSALS = 20_000;
const TIMEOUT_TICKS = 36;
const RETRY_TICKS = 8;
const MAX_BATCH_ITEMS = 1_000;
const MAX_BATCH_CHARACTERS = 256 * 1024;
/** Maximum size of a command as encoded in a call. */
const MAX_COMMAND_BYTES = 2 * 1024 * 1024;
const MAX_BYTES_PER_CHARACTER = 6;
const ID_PREFIX_CHARACTERS = 8;
const STEP = 'replication.propose';

const createRefusal = <Result>(
  type: 'unavailable' | 'overloaded' | 'too_large',
  message: string,
  isSent: boolean,
): Answer<Result> =>
  Left(createError({ type, message, step: STEP, outcome: isSent ? 'unknown' : 'not_run' }));

// A command is sent as a string within JSON. The receiving port rejects calls above its size limit,
// so a larger command would never arrive.
const isTooLarge = (data: string): boolean =>
  data.length > MAX_COMMAND_BYTES / MAX_BYTES_PER_CHARACTER &&
  Buffer.byteLength(JSON.stringify(data)) > MAX_COMMAND_BYTES;

const listBatches = (items: readonly Proposal[]): readonly (readonly Proposal[])[] => {
  const batches: Proposal[][] = [];
  let size = MAX_BATCH_CHARACTERS;
  for (const item of items) {
    const last = batches.at(-1);
    if (!last || last.length >= MAX_BATCH_ITEMS || size + item.data.length > MAX_BATCH_CHARACTERS) {
      batches.push([item]);
      size = item.data.length;
    } else {
      last.push(item);
      size += item.data.length;
    }
  }
  return batches;
};

/**
 * Creates the table of pending proposals. A proposal is sent again under the same id until it is
 * applied, so it is applied at most once. An error has the outcome `not_run` only if the proposal
 * was never sent or can no longer be applied because it has expired.
 */
export const createProposals = <Result>(core: Core): Proposals<Result> => {
  const idPrefix = randomUUID().slice(0, ID_PREFIX_CHARACTERS);
  const pending = new Map<string, PendingProposal<Result>>();
  let sendQueue: PendingProposal<Result>[] = [];
  let nextNumber = 0;
  let tick = 0;

  const settle = (id: string, answer: Answer<Result>): void => {
    pending.get(id)?.resolve(answer);
    pending.delete(id);
  };

  const sendBatch = (proposals: readonly Proposal[], term: number): void => {
    const outcome = core.propose(proposals);
    for (const { id } of proposals) {
      const item = pending.get(id)!;
      if (outcome === 'overloaded' && !item.isSent) {
        settle(id, createRefusal('overloaded', 'leader has too many uncommitted entries', false));
      }
      item.retryAt = tick + item.retryDelayTicks;
      item.retryDelayTicks *= 2;
      if (outcome !== 'appended' && outcome !== 'sent') continue;
      item.isSent = true;
      item.sentTerm = term;
    }
  };

  const send = (): void => {
    const { leader, term } = core.status();
    if (!leader) return;
    const due = sendQueue.filter((item) => pending.has(item.proposal.id));
    sendQueue = [];
    if (due.length === 0) return;
    listBatches(due.map((item) => item.proposal)).forEach((batch) => sendBatch(batch, term));
  };

  const retryDue = (): void => {
    const { leader, term, role } = core.status();
    if (!leader) return;
    const queued = new Set(sendQueue);
    for (const item of pending.values()) {
      const isInOwnLog = role === 'leader' && item.sentTerm === term;
      const isDue = item.sentTerm !== term || item.retryAt <= tick;
      if (item.isSent && isDue && !isInOwnLog && !queued.has(item)) sendQueue.push(item);
    }
  };

  const advanceTick = (): void => {
    tick += 1;
    for (const [id, item] of pending) {
      // The table is ordered by age, so the search ends at the first proposal before its deadline.
      if (item.deadline > tick) break;
      settle(id, createRefusal('unavailable', 'timed out waiting for the commit', item.isSent));
    }
    retryDue();
    send();
  };

  const handleApplied: Proposals<Result>['handleApplied'] = (applied, index, term) => {
    if (applied.type === 'applied') {
      settle(applied.id, Right({ index, term, result: applied.result }));
    }
    if (applied.type === 'expired') {
      settle(
        applied.id,
        createRefusal('unavailable', 'command expired and was not applied', false),
      );
    }
  };

  const handleInstalled: Proposals<Result>['handleInstalled'] = (recent, applied) => {
    for (const [id, item] of pending) {
      const isCovered =
        recent.has(id) || applied - item.proposal.base > DEDUPLICATION_WINDOW_ENTRIES;
      if (!isCovered) continue;
      settle(id, createRefusal('unavailable', 'result unknown: snapshot installed', item.isSent));
    }
  };

  return {
    add: (data, base) => {
      if (pending.size >= MAX_PENDING_PROPOSALS) {
        return Promise.resolve(createRefusal('overloaded', 'too many pending commands', false));
      }
      if (isTooLarge(data)) {
        return Promise.resolve(
          createRefusal(
            'too_large',
            `the command exceeds ${MAX_COMMAND_BYTES} bytes when encoded`,
            false,
          ),
        );
      }
      nextNumber += 1;
      const proposal = { id: `${idPrefix}-${nextNumber}`, base, data };
      return new Promise((resolve) => {
        const item: PendingProposal<Result> = {
          proposal,
          resolve,
          deadline: tick + TIMEOUT_TICKS,
          isSent: false,
          sentTerm: 0,
          retryAt: 0,
          retryDelayTicks: RETRY_TICKS,
        };
        pending.set(proposal.id, item);
        sendQueue.push(item);
      });
    },
    send,
    tick: advanceTick,
    handleApplied,
    handleInstalled,
    stop: () => {
      for (const [id, item] of pending) {
        settle(id, createRefusal('unavailable', 'the replica is stopping', item.isSent));
      }
    },
  };
};
