import { appendAsLeader, appendMembers, createProgress, sendUpdates } from './replicate';
import {
  ELECTION_TIMEOUT_TICKS,
  hasQuorum,
  isSelf,
  isVoter,
  listVoters,
  QUORUM_TIMEOUT_TICKS,
  readSelf,
  sampleElectionTimeout,
  sendAfterSync,
  sendBeforeSync,
  startFollowing,
  type CoreState,
} from './state';
import type { Member, Message, TransferBody, VoteAnswerBody, VoteBody } from './types';

const startLeading = (state: CoreState): void => {
  state.role = 'leader';
  state.leader = readSelf(state);
  state.syncedIndex = 0;
  state.progress.clear();
  for (const member of state.log.members().members) {
    state.progress.set(member.store, createProgress(state));
  }
  const isFirst = state.log.lastIndex() === 0;
  // Entries of older terms are committed only together with an entry of the current term.
  appendAsLeader(state, [{ kind: 'noop', id: '', base: 0, data: '' }]);
  // A host that missed the form message gets the member list from the log.
  if (isFirst) appendMembers(state, state.log.members().members);
  sendUpdates(state);
};

const hasWon = (state: CoreState): boolean =>
  hasQuorum(state, (member) => state.votes.get(member.store) === true);

/** Requests votes from all voters. A pre-vote precedes the vote and does not change the term. */
export const campaign = (state: CoreState, isPreVote: boolean, isTransfer = false): void => {
  state.role = 'candidate';
  state.isPreVote = isPreVote;
  state.leader = undefined;
  state.electionTimerStart = state.tick;
  state.electionTimeoutTicks = sampleElectionTimeout(state);
  if (!isPreVote) {
    state.term += 1;
    state.vote = state.identity.store;
    state.hasNewHardState = true;
  }
  state.votes = new Map([[state.identity.store, true]]);
  const term = isPreVote ? state.term + 1 : state.term;
  const lastIndex = state.log.lastIndex();
  const lastTerm = state.log.lastTerm();
  for (const member of listVoters(state)) {
    if (isSelf(state, member)) continue;
    sendAfterSync(
      state,
      member,
      { type: 'vote', isTrial: isPreVote, isTransfer, lastIndex, lastTerm },
      term,
    );
  }
  if (!hasWon(state)) return;
  if (isPreVote) campaign(state, false);
  else startLeading(state);
};

/** Answers a vote request. A voter that has a leader ignores it unless it is a transfer. */
export const handleVote = (state: CoreState, message: Message<VoteBody>): void => {
  const { body, from, term } = message;
  const isRecent = state.tick - state.electionTimerStart < ELECTION_TIMEOUT_TICKS;
  const hasLeader = state.role === 'leader' || (state.leader !== undefined && isRecent);
  if (hasLeader && term > state.term && !body.isTransfer) return;
  if (!body.isTrial && term > state.term) startFollowing(state, term, undefined);
  const isCurrent =
    body.lastTerm > state.log.lastTerm() ||
    (body.lastTerm === state.log.lastTerm() && body.lastIndex >= state.log.lastIndex());
  const isFree = state.vote === '' || state.vote === from.store;
  const isGranted = body.isTrial
    ? term > state.term && isCurrent
    : term === state.term && isFree && isCurrent;
  if (isGranted && !body.isTrial) {
    state.vote = from.store;
    state.hasNewHardState = true;
    state.electionTimerStart = state.tick;
  }
  const answerTerm = isGranted ? term : state.term;
  sendAfterSync(state, from, { type: 'voteAnswer', isTrial: body.isTrial, isGranted }, answerTerm);
};

/** Counts an answer to the current campaign. */
export const handleVoteAnswer = (state: CoreState, message: Message<VoteAnswerBody>): void => {
  const { body, from, term } = message;
  if (!body.isGranted && term > state.term) {
    startFollowing(state, term, undefined);
    return;
  }
  if (state.role !== 'candidate' || state.isPreVote !== body.isTrial) return;
  if (term !== (body.isTrial ? state.term + 1 : state.term)) return;
  state.votes.set(from.store, body.isGranted);
  if (!hasWon(state)) return;
  if (state.isPreVote) campaign(state, false);
  else startLeading(state);
};

const hasAnsweringQuorum = (state: CoreState): boolean =>
  hasQuorum(
    state,
    (member) =>
      isSelf(state, member) ||
      state.tick - (state.progress.get(member.store)?.answeredAt ?? -QUORUM_TIMEOUT_TICKS) <
        QUORUM_TIMEOUT_TICKS,
  );

/**
 * Makes a leader without a quorum step down, and starts a campaign when the election timer ends.
 */
export const advanceElection = (state: CoreState): void => {
  if (state.role === 'leader') {
    if (!hasAnsweringQuorum(state)) {
      state.electionTimerStart = state.tick;
      startFollowing(state, state.term, undefined);
    }
    return;
  }
  if (!isVoter(state)) return;
  const isAlone = listVoters(state).length === 1;
  if (isAlone || state.tick - state.electionTimerStart >= state.electionTimeoutTicks)
    campaign(state, true);
};

/** Asks the voter with the highest match index to take over leadership; false if there is none. */
export const startLeadershipTransfer = (state: CoreState): boolean => {
  if (state.role !== 'leader') return false;
  const readMatch = (member: Member): number => state.progress.get(member.store)?.matchIndex ?? 0;
  const [next] = listVoters(state)
    .filter((member) => !isSelf(state, member))
    .sort((a, b) => readMatch(b) - readMatch(a));
  if (!next) return false;
  sendBeforeSync(state, next, { type: 'transfer' });
  return true;
};

/** Starts a campaign without a pre-vote, because the leader requested it. */
export const handleLeadershipTransfer = (
  state: CoreState,
  message: Message<TransferBody>,
): void => {
  if (message.term === state.term && isVoter(state)) campaign(state, false, true);
};
