import type { Log } from './log';
import type {
  Body,
  ConfirmedRead,
  CoreOptions,
  Entry,
  Identity,
  Member,
  Message,
  Peer,
  ReceivedSnapshot,
} from './types';

/** What the leader knows of one member. */
export interface Progress {
  matchIndex: number;
  nextIndex: number;
  mode: 'probe' | 'replicate' | 'snapshot';
  /** Last indexes of the appends on their way. */
  inFlight: number[];
  /** True in mode `probe` while an answer is awaited. */
  isAwaitingAnswer: boolean;
  /** Tick of the last answer. */
  answeredAt: number;
  /** Tick at which the match last rose or entries began to be on their way. */
  progressedAt: number;
  readRound: number;
  /** Commit index that was last sent. */
  sentCommit: number;
  snapshotIndex: number;
  snapshotOffset: number;
  snapshotSentAt: number;
}

/** A read that waits for its round. */
export interface PendingRead {
  readonly id: string;
  /** Who asked; undefined for this process. */
  readonly origin: Peer | undefined;
}

/** The read round under way. */
export interface ReadRound {
  readonly index: number;
  readonly reads: readonly PendingRead[];
}

/** A snapshot on its way in. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly chunks: Buffer[];
  received: number;
}

/** A store that made itself known, with the tick of its last hello. */
export interface DiscoveredStore {
  readonly peer: Peer;
  readonly groupId: string;
  readonly isBlank: boolean;
  readonly seenAt: number;
}

/** The mutable state of a core. */
export interface CoreState {
  readonly options: CoreOptions;
  readonly log: Log;
  identity: Identity;
  role: 'leader' | 'follower' | 'candidate';
  isPreVote: boolean;
  term: number;
  vote: string;
  leader: Peer | undefined;
  commit: number;
  tick: number;
  /** Tick of the last sign of a leader, or of the last campaign. */
  electionTimerStart: number;
  /** Tick of the last message from a leader. */
  leaderMessageAt: number;
  electionTimeoutTicks: number;
  votes: Map<string, boolean>;
  progress: Map<string, Progress>;
  /** Last index that this store has synced in the current term of leadership. */
  syncedIndex: number;
  readRoundNumber: number;
  activeReadRound: ReadRound | undefined;
  pendingReads: PendingRead[];
  incomingSnapshot: IncomingSnapshot | undefined;
  hellos: Map<string, DiscoveredStore>;
  helloAnswers: Map<string, DiscoveredStore>;
  /** The leader that another store has named. */
  leaderHint: Peer | undefined;
  /** Node whose store belongs to another group, or empty. */
  foreignGroupNode: string;
  // Collected for the next `Ready`.
  messagesBeforeSync: Message[];
  messagesAfterSync: Message[];
  unsyncedEntries: Entry[];
  confirmedReads: ConfirmedRead[];
  snapshotToInstall: ReceivedSnapshot | undefined;
  hasNewHardState: boolean;
  hasNewIdentity: boolean;
  reportedCommit: number;
}

/** Ticks between two heartbeats of a leader. */
export const HEARTBEAT_INTERVAL_TICKS = 2;
/** Least ticks without a sign of a leader before a campaign. */
export const ELECTION_TIMEOUT_TICKS = 12;
/** Ticks after which a leader without answers from a quorum steps down. */
export const QUORUM_TIMEOUT_TICKS = 16;

/** This process as a peer. */
export const readSelf = (state: CoreState): Peer => ({
  node: state.options.self.node,
  store: state.identity.store,
  address: state.options.self.address,
});

/** Queues a message that leaves after this turn's writes are synced. */
export const sendAfterSync = (state: CoreState, to: Peer, body: Body, term = state.term): void => {
  const { groupId } = state.identity;
  state.messagesAfterSync.push({ groupId, from: readSelf(state), to, term, body });
};

/** Queues a message that may leave before this turn's writes. */
export const sendBeforeSync = (state: CoreState, to: Peer, body: Body): void => {
  const { groupId } = state.identity;
  state.messagesBeforeSync.push({ groupId, from: readSelf(state), to, term: state.term, body });
};

/** The members that vote, in the list in force. */
export const listVoters = (state: CoreState): readonly Member[] =>
  state.log.members().members.filter((member) => member.role === 'voter');

/** Whether a member is this store. */
export const isSelf = (state: CoreState, member: Member): boolean =>
  member.store === state.identity.store;

/** Finds this store's entry in the member list in force. */
export const findSelf = (state: CoreState): Member | undefined =>
  state.log.members().members.find((member) => isSelf(state, member));

/** Whether this store has a vote. */
export const isVoter = (state: CoreState): boolean => findSelf(state)?.role === 'voter';

/** Whether a count of voters is a majority of the list in force. */
export const isQuorum = (state: CoreState, count: number): boolean =>
  count > listVoters(state).length / 2;

/** Whether a predicate holds for a majority of voters. */
export const hasQuorum = (state: CoreState, test: (member: Member) => boolean): boolean =>
  isQuorum(state, listVoters(state).filter(test).length);

/** Whether a member has answered lately; to one that has not, heartbeats alone are sent. */
export const isAnswering = (state: CoreState, progress: Progress): boolean =>
  state.tick - progress.answeredAt < QUORUM_TIMEOUT_TICKS;

/** Draws the ticks until the next campaign. */
export const sampleElectionTimeout = (state: CoreState): number =>
  ELECTION_TIMEOUT_TICKS + Math.floor(state.options.random() * ELECTION_TIMEOUT_TICKS);

/** Ticks before the first campaign of a store that has just started. */
const FIRST_ELECTION_TIMEOUT_TICKS = 2;

/**
 * Draws the ticks until the first campaign after a start. It may come early: voters that hear a
 * leader refuse the trial that precedes it, and without a leader every tick is lost.
 */
export const sampleFirstElectionTimeout = (state: CoreState): number =>
  FIRST_ELECTION_TIMEOUT_TICKS + Math.floor(state.options.random() * (ELECTION_TIMEOUT_TICKS / 2));

/** Turns into a follower; a newer term takes back the vote. */
export const startFollowing = (state: CoreState, term: number, leader: Peer | undefined): void => {
  if (term > state.term) {
    state.term = term;
    state.vote = '';
    state.hasNewHardState = true;
  }
  if (state.role !== 'follower') state.electionTimeoutTicks = sampleElectionTimeout(state);
  state.role = 'follower';
  state.leader = leader;
  state.votes.clear();
  state.progress.clear();
  state.activeReadRound = undefined;
  state.pendingReads = [];
};
