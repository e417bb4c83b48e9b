import { decodeSnapshot } from '../disk/snapshotFile';
import {
  isAnswering,
  sendAfterSync,
  sendBeforeSync,
  startFollowing,
  type CoreState,
  type Progress,
} from './state';
import type { Member, Message, SnapshotAnswerBody, SnapshotBody } from './types';

/** Size of a snapshot chunk in bytes. */
export const CHUNK_BYTES = 192 * 1024;
const RESEND_TICKS = 10;

/** Sends the next chunk to a member. The driver adds the bytes of the chunk. */
export const sendChunk = (state: CoreState, member: Member, progress: Progress): void => {
  const { index, term, members, size } = state.log.snapshot();
  const isSameSnapshot = progress.mode === 'snapshot' && progress.snapshotIndex === index;
  const isInTransit = isSameSnapshot && state.tick - progress.snapshotSentAt < RESEND_TICKS;
  if (isInTransit || !isAnswering(state, progress)) return;
  Object.assign(progress, {
    mode: 'snapshot',
    inFlight: [],
    snapshotIndex: index,
    snapshotOffset: isSameSnapshot ? progress.snapshotOffset : 0,
    snapshotSentAt: state.tick,
  } satisfies Partial<Progress>);
  sendBeforeSync(state, member, {
    type: 'snapshot',
    index,
    snapshotTerm: term,
    members,
    offset: progress.snapshotOffset,
    total: size,
    data: '',
  });
};

const installIncoming = (state: CoreState, message: Message<SnapshotBody>): boolean => {
  const { index, snapshotTerm, members, total } = message.body;
  const file = Buffer.concat(state.incomingSnapshot?.chunks ?? []);
  state.incomingSnapshot = undefined;
  if (decodeSnapshot(file).isLeft()) return false;
  state.log.installSnapshot({ index, term: snapshotTerm, members, size: total });
  state.commit = index;
  state.reportedCommit = index;
  state.unsyncedEntries = [];
  state.snapshotToInstall = { index, term: snapshotTerm, file };
  return true;
};

/** Handles a snapshot chunk. After the last one the snapshot replaces the log. */
export const handleSnapshot = (state: CoreState, message: Message<SnapshotBody>): void => {
  const { body, from } = message;
  const { index, offset, total } = body;
  if (message.term < state.term) {
    const lastIndex = state.log.lastIndex();
    const answer = { type: 'appendAnswer', isAccepted: false, index: lastIndex } as const;
    sendAfterSync(state, from, { ...answer, readRound: 0 });
    return;
  }
  startFollowing(state, message.term, from);
  state.electionTimerStart = state.tick;
  state.leaderMessageAt = state.tick;
  const sendMatch = (): void =>
    sendAfterSync(state, from, { type: 'appendAnswer', isAccepted: true, index, readRound: 0 });
  // If the log holds the snapshot's last entry, the acknowledged entries after it must be kept.
  const holdsEntry = state.log.findTerm(index) === body.snapshotTerm;
  if (holdsEntry) state.commit = Math.max(state.commit, index);
  if (holdsEntry || index <= state.commit) {
    sendMatch();
    return;
  }
  if (state.incomingSnapshot?.index !== index)
    state.incomingSnapshot = { index, chunks: [], received: 0 };
  const { incomingSnapshot: incoming } = state;
  if (offset === incoming.received) {
    const chunk = Buffer.from(body.data, 'base64');
    incoming.chunks.push(chunk);
    incoming.received += chunk.length;
  }
  if (incoming.received >= total && installIncoming(state, message)) {
    sendMatch();
    return;
  }
  const received = state.incomingSnapshot?.received ?? 0;
  sendAfterSync(state, from, { type: 'snapshotAnswer', index, offset: received });
};

/** Continues the transfer with the chunk that the member requests. */
export const handleSnapshotAnswer = (
  state: CoreState,
  message: Message<SnapshotAnswerBody>,
): void => {
  const { body, from, term } = message;
  if (state.role !== 'leader' || term !== state.term) return;
  const progress = state.progress.get(from.store);
  if (!progress || progress.mode !== 'snapshot') return;
  progress.answeredAt = state.tick;
  if (progress.snapshotIndex !== body.index || progress.snapshotOffset === body.offset) return;
  progress.snapshotOffset = body.offset;
  progress.snapshotSentAt = -RESEND_TICKS;
};

/** Returns whether a snapshot is being sent to a member that still answers. */
export const isSendingSnapshot = (state: CoreState): boolean =>
  [...state.progress.values()].some(
    (progress) => progress.mode === 'snapshot' && isAnswering(state, progress),
  );
