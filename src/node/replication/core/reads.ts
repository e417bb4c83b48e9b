import { sendHeartbeats } from './replicate';
import {
  hasQuorum,
  isSelf,
  sendAfterSync,
  sendBeforeSync,
  type CoreState,
  type PendingRead,
} from './state';
import type { Message, ReadAnswerBody, ReadBody } from './types';

const MAX_PENDING_READS = 10_000;

const settleRead = (state: CoreState, read: PendingRead, index: number): void => {
  const { id, origin } = read;
  if (origin) sendAfterSync(state, origin, { type: 'readAnswer', id, index });
  else state.confirmedReads.push({ id, index, term: state.term });
};

const startRound = (state: CoreState): void => {
  const hasOwnCommit = state.log.findTerm(state.commit) === state.term;
  if (state.activeReadRound || state.pendingReads.length === 0 || !hasOwnCommit) return;
  state.readRoundNumber += 1;
  state.activeReadRound = { index: state.commit, reads: state.pendingReads };
  state.pendingReads = [];
  sendHeartbeats(state);
};

const isRoundConfirmed = (state: CoreState): boolean =>
  state.options.injectedFaults?.readsWithoutQuorum === true ||
  hasQuorum(
    state,
    (member) =>
      isSelf(state, member) ||
      (state.progress.get(member.store)?.readRound ?? 0) >= state.readRoundNumber,
  );

/** Completes the active read round once a quorum has answered it, and starts the next one. */
export const advanceReads = (state: CoreState): void => {
  if (state.role !== 'leader') return;
  startRound(state);
  while (state.activeReadRound && isRoundConfirmed(state)) {
    const { index, reads } = state.activeReadRound;
    state.activeReadRound = undefined;
    reads.forEach((read) => settleRead(state, read, index));
    startRound(state);
  }
};

/**
 * Starts a read on the leader, or forwards it to the leader. Returns false if no leader is known,
 * if too many reads are pending, or if a follower receives a read from another host.
 */
export const addRead = (state: CoreState, read: PendingRead): boolean => {
  if (state.role === 'leader') {
    if (state.pendingReads.length >= MAX_PENDING_READS) return false;
    state.pendingReads.push(read);
    return true;
  }
  if (!state.leader || read.origin) return false;
  sendBeforeSync(state, state.leader, { type: 'read', id: read.id });
  return true;
};

/** Handles a read request from a follower on the leader. */
export const handleRead = (state: CoreState, message: Message<ReadBody>): void => {
  addRead(state, { id: message.body.id, origin: message.from });
};

/** Handles a confirmed read point from the leader. */
export const handleReadAnswer = (state: CoreState, message: Message<ReadAnswerBody>): void => {
  const { id, index } = message.body;
  state.confirmedReads.push({ id, index, term: message.term });
};
