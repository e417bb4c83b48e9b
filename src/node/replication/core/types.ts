/**
 * A control host process, identified by its node name, the random id of its store and its address.
 */
export interface Peer {
  readonly node: string;
  /** Random id of the store in the data folder, or empty if it is not known yet. */
  readonly store: string;
  /** IP address and port, `host:port`. */
  readonly address: string;
}

/** A member of a replication group. A learner receives the log but has no vote. */
export interface Member extends Peer {
  readonly role: 'voter' | 'learner';
}

/** The kind of payload in a log entry. */
export type EntryKind = 'noop' | 'command' | 'members';

/** One entry of the replicated log. */
export interface Entry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  /** Proposal id of a command. A command that is sent again keeps its id. */
  readonly id: string;
  /** Applied index of the proposer when the proposal was created. */
  readonly base: number;
  /** JSON text of the command or of the member list. */
  readonly data: string;
}

/** A command that is not in the log yet. */
export interface Proposal {
  readonly id: string;
  readonly base: number;
  readonly data: string;
}

/** State that must be synced to disk before a vote or an acknowledgement is sent. */
export interface HardState {
  readonly term: number;
  /** Store id of the candidate that this store voted for in `term`, or empty. */
  readonly vote: string;
}

/** The identity of a store and its group. */
export interface Identity {
  readonly store: string;
  /** Random id of the group, or empty for a blank store. */
  readonly groupId: string;
  /** The initial members of the group, or empty if the store joined later. */
  readonly members: readonly Member[];
  /**
   * Whether the store may take part in forming a group. It is false for a store that replaces a
   * damaged one, which may only join an existing group.
   */
  readonly canForm: boolean;
}

/** Requests a vote. A pre-vote request (`isTrial`) changes no state of the receiver. */
export interface VoteBody {
  readonly type: 'vote';
  readonly isTrial: boolean;
  /** Whether the leader requested this campaign to transfer its leadership. */
  readonly isTransfer: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Answers a vote request. */
export interface VoteAnswerBody {
  readonly type: 'voteAnswer';
  readonly isTrial: boolean;
  readonly isGranted: boolean;
}

/** Sent by a leader that is stopping: asks a voter to start a campaign immediately. */
export interface TransferBody {
  readonly type: 'transfer';
}

/** Carries log entries, the commit index and the number of the latest read round. */
export interface AppendBody {
  readonly type: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly Entry[];
  readonly commit: number;
  readonly readRound: number;
}

/** Answers an append. `index` is the match index or, after a rejection, the index to retry from. */
export interface AppendAnswerBody {
  readonly type: 'appendAnswer';
  readonly isAccepted: boolean;
  readonly index: number;
  readonly readRound: number;
}

/** Carries one chunk of a snapshot file, encoded in base64. */
export interface SnapshotBody {
  readonly type: 'snapshot';
  readonly index: number;
  readonly snapshotTerm: number;
  readonly members: readonly Member[];
  /** Offset of the chunk in the file, in bytes. */
  readonly offset: number;
  /** Size of the file in bytes. */
  readonly total: number;
  readonly data: string;
}

/** Acknowledges a chunk. `offset` is the next byte that the receiver needs. */
export interface SnapshotAnswerBody {
  readonly type: 'snapshotAnswer';
  readonly index: number;
  readonly offset: number;
}

/** Announces a store that has no leader. */
export interface HelloBody {
  readonly type: 'hello';
}

/** Answers a hello with the state of the answering store. */
export interface HelloAnswerBody {
  readonly type: 'helloAnswer';
  readonly isBlank: boolean;
  /** The current leader, so that a host that does not know its address can send hellos to it. */
  readonly leader?: Peer;
}

/** Forms a group from the listed blank stores. */
export interface FormBody {
  readonly type: 'form';
  readonly members: readonly Member[];
}

/** Forwards proposals to the leader. */
export interface ProposeBody {
  readonly type: 'propose';
  readonly items: readonly Proposal[];
}

/** Requests a confirmed read point from the leader. */
export interface ReadBody {
  readonly type: 'read';
  readonly id: string;
}

/** Returns a confirmed read point. */
export interface ReadAnswerBody {
  readonly type: 'readAnswer';
  readonly id: string;
  readonly index: number;
}

/** The body of a message. */
export type Body =
  | VoteBody
  | VoteAnswerBody
  | TransferBody
  | AppendBody
  | AppendAnswerBody
  | SnapshotBody
  | SnapshotAnswerBody
  | HelloBody
  | HelloAnswerBody
  | FormBody
  | ProposeBody
  | ReadBody
  | ReadAnswerBody;

/** A message between two stores. */
export interface Message<B extends Body = Body> {
  readonly groupId: string;
  readonly from: Peer;
  readonly to: Peer;
  readonly term: number;
  readonly body: B;
}

/** A completely received snapshot; `file` holds the bytes of its file. */
export interface ReceivedSnapshot {
  readonly index: number;
  readonly term: number;
  readonly file: Buffer;
}

/** A read that a quorum has confirmed. */
export interface ConfirmedRead {
  readonly id: string;
  readonly index: number;
  readonly term: number;
}

/**
 * Work for the driver, in this order: send `messagesBeforeSync`; write and sync `identity`,
 * `install`, `hardState` and `entries`; send `messagesAfterSync`; report `synced`; apply entries up
 * to `commit`.
 */
export interface Ready {
  readonly messagesBeforeSync: readonly Message[];
  readonly identity: Identity | undefined;
  readonly install: ReceivedSnapshot | undefined;
  readonly hardState: HardState | undefined;
  /** Entries to append. They replace all entries from the index of the first one on. */
  readonly entries: readonly Entry[];
  readonly messagesAfterSync: readonly Message[];
  readonly commit: number;
  readonly reads: readonly ConfirmedRead[];
  readonly synced: { readonly term: number; readonly index: number };
}

/** The content of a store when the process starts. */
export interface InitialState {
  readonly identity: Identity;
  readonly hardState: HardState;
  readonly snapshot: SnapshotMeta;
  readonly entries: readonly Entry[];
}

/** The position of a snapshot in the log. */
export interface SnapshotMeta {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
  /** Size of the snapshot file in bytes. */
  readonly size: number;
}

/** Protocol faults that a test injects to show that its checks detect them. */
export interface InjectedFaults {
  readonly readsWithoutQuorum?: boolean;
  readonly commitsOlderTerms?: boolean;
}

/** Dependencies and settings of a core. Times are in ticks. */
export interface CoreOptions {
  readonly self: { readonly node: string; readonly address: string };
  /** All hosts of the initial group, including this one. */
  readonly peers: readonly { readonly node: string; readonly address: string }[];
  readonly initial: InitialState;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
  /** Returns a random id for a new group. */
  readonly createGroupId: () => string;
  /** Maximum number of entries in one append; optional. */
  readonly maxAppendEntries?: number;
  /**
   * Whether unlisted hosts may join, and an unresponsive voter is removed automatically when the
   * number of voters is even. Otherwise an operator must name the replacement of a lost host.
   */
  readonly hasOpenMembership?: boolean;
  /**
   * Whether the first election timeout is short, so that a restarted group elects a leader sooner.
   */
  readonly campaignsEarly?: boolean;
  readonly injectedFaults?: InjectedFaults;
}
