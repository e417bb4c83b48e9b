import {
  HEARTBEAT_INTERVAL_TICKS,
  isAnswering,
  isSelf,
  listVoters,
  sendAfterSync,
  sendBeforeSync,
  startFollowing,
  type CoreState,
  type Progress,
} from './state';
import { sendChunk } from './snapshotTransfer';
import type { AppendAnswerBody, AppendBody, Entry, Member, Message } from './types';

const MAX_APPEND_ENTRIES = 512;
const MAX_APPEND_CHARACTERS = 256 * 1024;
const MAX_IN_FLIGHT_APPENDS = 4;
/** Ticks without progress after which unanswered entries are considered lost. */
const STALL_TIMEOUT_TICKS = 10;

/** Creates the initial progress of a member. */
export const createProgress = (state: CoreState): Progress => ({
  matchIndex: 0,
  nextIndex: state.log.lastIndex() + 1,
  mode: 'probe',
  inFlight: [],
  isAwaitingAnswer: false,
  answeredAt: state.tick,
  progressedAt: state.tick,
  readRound: 0,
  sentCommit: 0,
  snapshotIndex: 0,
  snapshotOffset: 0,
  snapshotSentAt: 0,
});

// A heartbeat may arrive before entries that were sent earlier. It then refers to the match index,
// which the member is known to hold.
const findPrevIndex = (state: CoreState, progress: Progress, entries: readonly Entry[]): number => {
  if (progress.mode === 'snapshot') return 0;
  const isOvertaking = entries.length === 0 && progress.inFlight.length > 0;
  const isMatchInLog = state.log.findTerm(progress.matchIndex) !== undefined;
  return isOvertaking && isMatchInLog ? progress.matchIndex : progress.nextIndex - 1;
};

type ProgressUpdate = Partial<Progress>;

const sendAppend = (
  state: CoreState,
  member: Member,
  progress: Progress,
  entries: readonly Entry[],
): void => {
  const prevIndex = findPrevIndex(state, progress, entries);
  const body: AppendBody = {
    type: 'append',
    prevIndex,
    prevTerm: state.log.findTerm(prevIndex) ?? 0,
    entries,
    commit: state.commit,
    readRound: state.readRoundNumber,
  };
  // The member limits its commit index to the last entry that this message covers.
  const sentCommit = Math.min(state.commit, prevIndex + entries.length);
  Object.assign(progress, { sentCommit } satisfies ProgressUpdate);
  sendBeforeSync(state, member, body);
};

const sendEntries = (state: CoreState, member: Member, progress: Progress): void => {
  if (progress.nextIndex <= state.log.baseIndex()) {
    sendChunk(state, member, progress);
    return;
  }
  const isProbe = progress.mode === 'probe';
  if (isProbe && (progress.isAwaitingAnswer || !isAnswering(state, progress))) return;
  const count = state.options.maxAppendEntries ?? MAX_APPEND_ENTRIES;
  while (
    progress.nextIndex <= state.log.lastIndex() &&
    progress.inFlight.length < MAX_IN_FLIGHT_APPENDS
  ) {
    const entries = state.log.listEntryBatch(progress.nextIndex, count, MAX_APPEND_CHARACTERS);
    sendAppend(state, member, progress, entries);
    Object.assign(progress, { isAwaitingAnswer: true } satisfies ProgressUpdate);
    if (isProbe) return;
    const nextIndex = progress.nextIndex + entries.length;
    const inFlight = [...progress.inFlight, nextIndex - 1];
    const progressedAt = progress.inFlight.length === 0 ? state.tick : progress.progressedAt;
    Object.assign(progress, {
      nextIndex,
      inFlight,
      progressedAt,
    } satisfies ProgressUpdate);
  }
  const reachable = Math.min(state.commit, findPrevIndex(state, progress, []));
  if (progress.sentCommit < reachable && !isProbe) sendAppend(state, member, progress, []);
};

const listOtherMembers = (state: CoreState): readonly Member[] =>
  state.log.members().members.filter((member) => !isSelf(state, member));

const resolveProgress = (state: CoreState, member: Member): Progress => {
  const known = state.progress.get(member.store);
  if (known) return known;
  const created = createProgress(state);
  state.progress.set(member.store, created);
  return created;
};

/**
 * Sends missing entries, snapshot chunks and commit indexes to all members that can receive them.
 */
export const sendUpdates = (state: CoreState): void => {
  for (const member of listOtherMembers(state)) {
    sendEntries(state, member, resolveProgress(state, member));
  }
};

const startProbing = (progress: Progress, isAwaitingAnswer: boolean): void => {
  const nextIndex = progress.matchIndex + 1;
  Object.assign(progress, {
    mode: 'probe',
    inFlight: [],
    isAwaitingAnswer,
    nextIndex,
  } satisfies ProgressUpdate);
};

const startProbingIfStalled = (state: CoreState, progress: Progress): void => {
  if (progress.mode !== 'replicate' || progress.inFlight.length === 0) return;
  if (state.tick - progress.progressedAt >= STALL_TIMEOUT_TICKS) startProbing(progress, false);
};

/** Sends a heartbeat, which includes the number of the read round, to all members. */
export const sendHeartbeats = (state: CoreState): void => {
  for (const member of listOtherMembers(state)) {
    const progress = resolveProgress(state, member);
    Object.assign(progress, { isAwaitingAnswer: false } satisfies ProgressUpdate);
    startProbingIfStalled(state, progress);
    sendAppend(state, member, progress, []);
    if (progress.mode === 'snapshot') sendChunk(state, member, progress);
  }
};

/** Advances the commit index to the last entry of the current term that a quorum has synced. */
export const advanceCommit = (state: CoreState): void => {
  const matches = listVoters(state)
    .map((member) =>
      isSelf(state, member)
        ? state.syncedIndex
        : (state.progress.get(member.store)?.matchIndex ?? 0),
    )
    .sort((a, b) => b - a);
  const quorumIndex = matches[Math.floor(matches.length / 2)] ?? 0;
  if (quorumIndex <= state.commit) return;
  const isOwnTerm = state.log.findTerm(quorumIndex) === state.term;
  if (!isOwnTerm && !state.options.injectedFaults?.commitsOlderTerms) return;
  state.commit = quorumIndex;
  const { members, index } = state.log.members();
  const isStillVoter = members.some((member) => member.role === 'voter' && isSelf(state, member));
  if (index <= quorumIndex && !isStillVoter) {
    sendHeartbeats(state);
    startFollowing(state, state.term, undefined);
  }
};

/** Appends entries of the current term on the leader. */
export const appendAsLeader = (
  state: CoreState,
  items: readonly Omit<Entry, 'index' | 'term'>[],
): void => {
  const first = state.log.lastIndex() + 1;
  const { term } = state;
  const entries = items.map((item, offset) => ({ ...item, index: first + offset, term }));
  state.log.append(entries);
  state.unsyncedEntries.push(...entries);
};

/** Appends a member list on the leader. It takes effect immediately, before it is committed. */
export const appendMembers = (state: CoreState, members: readonly Member[]): void => {
  appendAsLeader(state, [{ kind: 'members', id: '', base: 0, data: JSON.stringify(members) }]);
};

const findRetryIndex = (state: CoreState, prevIndex: number, prevTerm: number): number => {
  let index = Math.min(state.log.lastIndex(), prevIndex - 1);
  while (index > state.commit && (state.log.findTerm(index) ?? 0) > prevTerm) index -= 1;
  return index;
};

const appendAsFollower = (state: CoreState, entries: readonly Entry[]): void => {
  const isNew = (entry: Entry): boolean =>
    entry.index > state.log.baseIndex() && state.log.findTerm(entry.index) !== entry.term;
  const start = entries.findIndex(isNew);
  if (start < 0) return;
  const added = entries.slice(start);
  if (added[0]!.index <= state.commit) throw new Error('append would overwrite a committed entry');
  state.log.append(added);
  const { index } = added[0]!;
  state.unsyncedEntries = state.unsyncedEntries.filter((entry) => entry.index < index);
  state.unsyncedEntries.push(...added);
};

/** Handles an append from the leader. */
export const handleAppend = (state: CoreState, message: Message<AppendBody>): void => {
  const { body, from } = message;
  const { readRound, prevIndex, prevTerm } = body;
  const sendAnswer = (isAccepted: boolean, index: number): void =>
    sendAfterSync(state, from, { type: 'appendAnswer', isAccepted, index, readRound });
  if (message.term < state.term) {
    sendAnswer(false, state.log.lastIndex());
    return;
  }
  startFollowing(state, message.term, from);
  state.electionTimerStart = state.tick;
  state.leaderMessageAt = state.tick;
  if (prevIndex < state.log.baseIndex()) {
    sendAnswer(true, prevIndex === 0 && body.entries.length === 0 ? 0 : state.log.baseIndex());
    return;
  }
  if (state.log.findTerm(prevIndex) !== prevTerm) {
    sendAnswer(false, findRetryIndex(state, prevIndex, prevTerm));
    return;
  }
  appendAsFollower(state, body.entries);
  const matchIndex = prevIndex + body.entries.length;
  state.commit = Math.max(state.commit, Math.min(body.commit, matchIndex));
  sendAnswer(true, matchIndex);
};

const applyRejection = (progress: Progress, index: number): void => {
  if (progress.mode === 'snapshot') return;
  const nextIndex = Math.max(progress.matchIndex + 1, Math.min(progress.nextIndex - 1, index + 1));
  Object.assign(progress, {
    mode: 'probe',
    inFlight: [],
    isAwaitingAnswer: false,
    nextIndex,
  } satisfies ProgressUpdate);
};

const applyAcceptance = (state: CoreState, progress: Progress, index: number): void => {
  const progressedAt = index > progress.matchIndex ? state.tick : progress.progressedAt;
  const matchIndex = Math.max(progress.matchIndex, index);
  const inFlight = progress.inFlight.filter((last) => last > index);
  Object.assign(progress, {
    matchIndex,
    progressedAt,
    inFlight,
    isAwaitingAnswer: false,
  } satisfies ProgressUpdate);
  if (progress.mode === 'snapshot' && matchIndex < progress.snapshotIndex) return;
  const nextIndex = Math.max(progress.nextIndex, matchIndex + 1);
  Object.assign(progress, { mode: 'replicate', nextIndex } satisfies ProgressUpdate);
};

/** Updates a member's progress and the commit index from its answer. */
export const handleAppendAnswer = (state: CoreState, message: Message<AppendAnswerBody>): void => {
  const { body, from, term } = message;
  if (term > state.term) {
    startFollowing(state, term, undefined);
    return;
  }
  if (state.role !== 'leader' || term < state.term) return;
  const progress = state.progress.get(from.store);
  if (!progress) return;
  const readRound = Math.max(progress.readRound, body.readRound);
  Object.assign(progress, { answeredAt: state.tick, readRound } satisfies ProgressUpdate);
  if (body.isAccepted) applyAcceptance(state, progress, body.index);
  else applyRejection(progress, body.index);
  advanceCommit(state);
};

/** Handles a lost message to a member: unanswered entries are sent again. */
export const handleUnreachable = (state: CoreState, store: string): void => {
  const progress = state.progress.get(store);
  if (!progress || progress.mode !== 'replicate') return;
  startProbing(progress, true);
};

/** Sends heartbeats when they are due. */
export const advanceHeartbeat = (state: CoreState): void => {
  if (state.role === 'leader' && state.tick % HEARTBEAT_INTERVAL_TICKS === 0) sendHeartbeats(state);
};
