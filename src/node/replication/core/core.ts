import {
  advanceElection,
  handleLeadershipTransfer,
  handleVote,
  handleVoteAnswer,
  startLeadershipTransfer,
} from './election';
import { createLog } from './log';
import {
  advanceJoining,
  advanceMembership,
  handleForm,
  handleHello,
  handleHelloAnswer,
  bindBlankStore,
  replaceMember,
  type ReplaceRefusal,
} from './membership';
import { addRead, advanceReads, handleRead, handleReadAnswer } from './reads';
import {
  advanceCommit,
  advanceHeartbeat,
  appendAsLeader,
  handleAppend,
  handleAppendAnswer,
  handleUnreachable,
  sendUpdates,
} from './replicate';
import { handleSnapshot, handleSnapshotAnswer, isSendingSnapshot } from './snapshotTransfer';
import {
  findSelf,
  sampleElectionTimeout,
  sampleFirstElectionTimeout,
  sendBeforeSync,
  type CoreState,
} from './state';
import type {
  Body,
  CoreOptions,
  Entry,
  Member,
  Message,
  Peer,
  Proposal,
  ProposeBody,
  Ready,
  SnapshotMeta,
} from './types';

/** The outcome of a proposal: appended on this leader, sent to the leader, or not accepted. */
export type ProposeOutcome = 'appended' | 'sent' | 'no_leader' | 'overloaded';

/** The state of a group as seen by one core. */
export interface CoreStatus {
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  readonly leader: Peer | undefined;
  readonly commit: number;
  readonly lastIndex: number;
  readonly baseIndex: number;
  readonly groupId: string;
  readonly members: readonly Member[];
  readonly isSendingSnapshot: boolean;
  /** Node whose store belongs to another group, or empty if there is none. */
  readonly foreignGroupNode: string;
}

/**
 * The consensus state machine of one group on one host. It receives messages and ticks and returns
 * work as a `Ready`. It uses no clock and does no I/O.
 */
export interface Core {
  readonly tick: () => void;
  readonly receive: (message: Message) => void;
  readonly propose: (items: readonly Proposal[]) => ProposeOutcome;
  /** Starts a read under an id chosen by the caller; false if no leader can accept it. */
  readonly read: (id: string) => boolean;
  readonly replaceMember: (node: string, by: Omit<Peer, 'store'>) => ReplaceRefusal | undefined;
  /** Asks another voter to take over leadership before a planned stop; false if there is none. */
  readonly startLeadershipTransfer: () => boolean;
  /** Reports that the writes of a `Ready` are synced. */
  readonly handleSynced: (synced: Ready['synced']) => void;
  readonly handleUnreachable: (store: string) => void;
  readonly compact: (snapshot: SnapshotMeta, keepFrom: number) => void;
  readonly takeReady: () => Ready | undefined;
  readonly listEntries: (from: number, to: number) => readonly Entry[];
  readonly findTerm: (index: number) => number | undefined;
  readonly findMembers: (index: number) => readonly Member[];
  /**
   * Returns the lowest index from which the entries up to `index` are within a count and a size in
   * characters.
   */
  readonly findRetainedIndex: (index: number, count: number, size: number) => number;
  readonly status: () => CoreStatus;
}

const MAX_UNCOMMITTED_ENTRIES = 20_000;

const createState = (options: CoreOptions): CoreState => {
  const { identity, hardState, snapshot, entries } = options.initial;
  const log = createLog(
    snapshot.index === 0 ? { ...snapshot, members: identity.members } : snapshot,
  );
  log.append(entries);
  return {
    options,
    log,
    identity,
    role: 'follower',
    isPreVote: false,
    term: hardState.term,
    vote: hardState.vote,
    leader: undefined,
    commit: snapshot.index,
    tick: 0,
    electionTimerStart: 0,
    leaderMessageAt: 0,
    electionTimeoutTicks: 0,
    votes: new Map(),
    progress: new Map(),
    syncedIndex: 0,
    readRoundNumber: 0,
    activeReadRound: undefined,
    pendingReads: [],
    incomingSnapshot: undefined,
    hellos: new Map(),
    helloAnswers: new Map(),
    leaderHint: undefined,
    foreignGroupNode: '',
    messagesBeforeSync: [],
    messagesAfterSync: [],
    unsyncedEntries: [],
    confirmedReads: [],
    snapshotToInstall: undefined,
    hasNewHardState: false,
    hasNewIdentity: false,
    reportedCommit: snapshot.index,
  };
};

const proposeCommands = (state: CoreState, items: readonly Proposal[]): ProposeOutcome => {
  if (state.role === 'leader') {
    if (state.log.lastIndex() - state.commit >= MAX_UNCOMMITTED_ENTRIES) return 'overloaded';
    appendAsLeader(
      state,
      items.map(({ id, base, data }) => ({ kind: 'command', id, base, data })),
    );
    return 'appended';
  }
  if (!state.leader) return 'no_leader';
  sendBeforeSync(state, state.leader, { type: 'propose', items });
  return 'sent';
};

const handlePropose = (state: CoreState, message: Message<ProposeBody>): void => {
  if (state.role === 'leader') proposeCommands(state, message.body.items);
};

type MessageHandler = (state: CoreState, message: Message<never>) => void;

const HANDLERS: Readonly<Record<Body['type'], MessageHandler>> = {
  vote: handleVote,
  voteAnswer: handleVoteAnswer,
  transfer: handleLeadershipTransfer,
  append: handleAppend,
  appendAnswer: handleAppendAnswer,
  snapshot: handleSnapshot,
  snapshotAnswer: handleSnapshotAnswer,
  hello: handleHello,
  helloAnswer: handleHelloAnswer,
  form: handleForm,
  propose: handlePropose,
  read: handleRead,
  readAnswer: handleReadAnswer,
};

const JOIN_MESSAGE_TYPES: ReadonlySet<Body['type']> = new Set(['hello', 'helloAnswer', 'form']);

const handleMessage = (state: CoreState, message: Message): void => {
  const { to, body } = message;
  if (to.store !== '' && to.store !== state.identity.store) return;
  bindBlankStore(state, message);
  const isOwnGroup = message.groupId === state.identity.groupId && message.groupId !== '';
  if (!isOwnGroup && !JOIN_MESSAGE_TYPES.has(body.type)) return;
  HANDLERS[body.type](state, message as Message<never>);
  advanceReads(state);
  if (state.role === 'leader') sendUpdates(state);
};

const advanceTick = (state: CoreState): void => {
  state.tick += 1;
  advanceJoining(state);
  advanceElection(state);
  advanceHeartbeat(state);
  advanceMembership(state);
  if (state.role === 'leader') sendUpdates(state);
};

const hasWork = (state: CoreState): boolean =>
  state.messagesBeforeSync.length > 0 ||
  state.messagesAfterSync.length > 0 ||
  state.unsyncedEntries.length > 0 ||
  state.confirmedReads.length > 0 ||
  state.snapshotToInstall !== undefined ||
  state.hasNewHardState ||
  state.hasNewIdentity ||
  state.commit > state.reportedCommit;

const createReady = (state: CoreState): Ready | undefined => {
  if (!hasWork(state)) return undefined;
  const { term, vote, identity } = state;
  // Messages of a new term must not be sent before the term is synced.
  const mustSyncFirst = state.hasNewHardState || state.hasNewIdentity;
  const ready: Ready = {
    messagesBeforeSync: mustSyncFirst ? [] : state.messagesBeforeSync,
    identity: state.hasNewIdentity ? identity : undefined,
    install: state.snapshotToInstall,
    hardState: state.hasNewHardState ? { term, vote } : undefined,
    entries: state.unsyncedEntries,
    messagesAfterSync: mustSyncFirst
      ? [...state.messagesBeforeSync, ...state.messagesAfterSync]
      : state.messagesAfterSync,
    commit: state.commit,
    reads: state.confirmedReads,
    synced: { term, index: state.log.lastIndex() },
  };
  state.messagesBeforeSync = [];
  state.messagesAfterSync = [];
  state.unsyncedEntries = [];
  state.confirmedReads = [];
  state.snapshotToInstall = undefined;
  state.hasNewHardState = false;
  state.hasNewIdentity = false;
  state.reportedCommit = state.commit;
  return ready;
};

const handleSynced = (state: CoreState, synced: Ready['synced']): void => {
  if (state.role !== 'leader' || synced.term !== state.term) return;
  state.syncedIndex = Math.max(state.syncedIndex, synced.index);
  advanceCommit(state);
  advanceReads(state);
  if (state.role === 'leader') sendUpdates(state);
};

const readStatus = (state: CoreState): CoreStatus => {
  const isLearner = findSelf(state)?.role !== 'voter';
  return {
    role: isLearner && state.role === 'follower' ? 'learner' : state.role,
    term: state.term,
    leader: state.leader,
    commit: state.commit,
    lastIndex: state.log.lastIndex(),
    baseIndex: state.log.baseIndex(),
    groupId: state.identity.groupId,
    members: state.log.members().members,
    isSendingSnapshot: isSendingSnapshot(state),
    foreignGroupNode: state.foreignGroupNode,
  };
};

/** Creates the core of one group from the content of its store. */
export const createCore = (options: CoreOptions): Core => {
  const state = createState(options);
  state.electionTimeoutTicks = options.campaignsEarly
    ? sampleFirstElectionTimeout(state)
    : sampleElectionTimeout(state);
  return {
    tick: () => advanceTick(state),
    receive: (message) => handleMessage(state, message),
    propose: (items) => {
      const outcome = proposeCommands(state, items);
      if (outcome === 'appended') sendUpdates(state);
      return outcome;
    },
    read: (id) => {
      const isStarted = addRead(state, { id, origin: undefined });
      advanceReads(state);
      return isStarted;
    },
    replaceMember: (node, by) => replaceMember(state, node, by),
    startLeadershipTransfer: () => startLeadershipTransfer(state),
    handleSynced: (synced) => handleSynced(state, synced),
    handleUnreachable: (store) => handleUnreachable(state, store),
    compact: (snapshot, keepFrom) => state.log.compact(snapshot, keepFrom),
    takeReady: () => createReady(state),
    listEntries: (from, to) => state.log.listEntries(from, to),
    findTerm: (index) => state.log.findTerm(index),
    findMembers: (index) => state.log.findMembers(index),
    findRetainedIndex: (index, count, size) => state.log.findRetainedIndex(index, count, size),
    status: () => readStatus(state),
  };
};
