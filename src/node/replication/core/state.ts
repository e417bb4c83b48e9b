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

/** Replication progress of one member, as seen by the leader. */
export interface Progress {
  matchIndex: number;
  nextIndex: number;
  mode: 'probe' | 'replicate' | 'snapshot';
  /** Last entry index of each append that is not answered yet. */
  inFlight: number[];
  /**
   * Whether an append is not answered yet. In mode `probe` no further entries are sent meanwhile.
   */
  isAwaitingAnswer: boolean;
  /** Tick of the last answer from the member. */
  answeredAt: number;
  /** Tick when `matchIndex` last rose or `inFlight` last became non-empty. */
  progressedAt: number;
  readRound: number;
  /** Commit index that the last append allowed the member to adopt. */
  sentCommit: number;
  snapshotIndex: number;
  snapshotOffset: number;
  snapshotSentAt: number;
}

/** A read that waits for a read round. */
export interface PendingRead {
  readonly id: string;
  /** The store that requested the read, or undefined for this process. */
  readonly origin: Peer | undefined;
}

/** A read round that a quorum has not confirmed yet. */
export interface ReadRound {
  readonly index: number;
  readonly reads: readonly PendingRead[];
}

/** A partially received snapshot. */
export interface IncomingSnapshot {
  readonly index: number;
  readonly chunks: Buffer[];
  received: number;
}

/** A store that sent a hello or answered one, with the tick of its last message. */
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
  /**
   * Tick when the election timer last started: at a leader message, a granted vote or a campaign.
   */
  electionTimerStart: number;
  /** Tick of the last message from a leader. */
  leaderMessageAt: number;
  electionTimeoutTicks: number;
  votes: Map<string, boolean>;
  progress: Map<string, Progress>;
  /** Last index that this store has synced since it became the leader. */
  syncedIndex: number;
  readRoundNumber: number;
  activeReadRound: ReadRound | undefined;
  pendingReads: PendingRead[];
  incomingSnapshot: IncomingSnapshot | undefined;
  hellos: Map<string, DiscoveredStore>;
  helloAnswers: Map<string, DiscoveredStore>;
  /** The leader named in the last hello answer that included one. */
  leaderHint: Peer | undefined;
  /** Node whose store belongs to another group, or empty if there is none. */
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

/** Ticks between two heartbeats of the leader. */
export const HEARTBEAT_INTERVAL_TICKS = 2;
/** Minimum election timeout in ticks. */
export const ELECTION_TIMEOUT_TICKS = 12;
/** Ticks after which a leader that has no answers from a quorum steps down. */
export const QUORUM_TIMEOUT_TICKS = 16;

/** Returns this process as a peer. */
export const readSelf = (state: CoreState): Peer => ({
  node: state.options.self.node,
  store: state.identity.store,
  address: state.options.self.address,
});

/** Queues a message that is sent after the writes of this turn are synced. */
export const sendAfterSync = (state: CoreState, to: Peer, body: Body, term = state.term): void => {
  const { groupId } = state.identity;
  state.messagesAfterSync.push({ groupId, from: readSelf(state), to, term, body });
};

/** Queues a message that may be sent before the writes of this turn are synced. */
export const sendBeforeSync = (state: CoreState, to: Peer, body: Body): void => {
  const { groupId } = state.identity;
  state.messagesBeforeSync.push({ groupId, from: readSelf(state), to, term: state.term, body });
};

/** Returns the voters of the current member list. */
export const listVoters = (state: CoreState): readonly Member[] =>
  state.log.members().members.filter((member) => member.role === 'voter');

/** Returns whether a member is this store. */
export const isSelf = (state: CoreState, member: Member): boolean =>
  member.store === state.identity.store;

/** Finds this store in the current member list. */
export const findSelf = (state: CoreState): Member | undefined =>
  state.log.members().members.find((member) => isSelf(state, member));

/** Returns whether this store is a voter. */
export const isVoter = (state: CoreState): boolean => findSelf(state)?.role === 'voter';

/** Returns whether a number of voters is a majority of the current member list. */
export const isQuorum = (state: CoreState, count: number): boolean =>
  count > listVoters(state).length / 2;

/** Returns whether a predicate holds for a majority of the voters. */
export const hasQuorum = (state: CoreState, test: (member: Member) => boolean): boolean =>
  isQuorum(state, listVoters(state).filter(test).length);

/** Returns whether a member has answered recently. Other members are sent only heartbeats. */
export const isAnswering = (state: CoreState, progress: Progress): boolean =>
  state.tick - progress.answeredAt < QUORUM_TIMEOUT_TICKS;

/** Samples an election timeout in ticks. */
export const sampleElectionTimeout = (state: CoreState): number =>
  ELECTION_TIMEOUT_TICKS + Math.floor(state.options.random() * ELECTION_TIMEOUT_TICKS);

/** Minimum of the shorter election timeout after a start, in ticks. */
const FIRST_ELECTION_TIMEOUT_TICKS = 2;

/**
 * Samples the shorter election timeout after a start, in ticks. A short timeout disturbs no leader,
 * because voters that have one ignore the pre-vote. It shortens the time without a leader.
 */
export const sampleFirstElectionTimeout = (state: CoreState): number =>
  FIRST_ELECTION_TIMEOUT_TICKS + Math.floor(state.options.random() * (ELECTION_TIMEOUT_TICKS / 2));

/** Makes this store a follower. A newer term clears the vote. */
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
