/** A process with its store: the node's name, the random id of its disk, and its address. */
export interface Peer {
  readonly node: string;
  /** Id of the store in the data folder; empty when it is not known yet. */
  readonly store: string;
  /** IP address and port, `host:port`. */
  readonly address: string;
}

/** A member of a group. A learner receives the log but has no vote. */
export interface Member extends Peer {
  readonly role: 'voter' | 'learner';
}

/** What an entry of the log carries. */
export type EntryKind = 'noop' | 'command' | 'members';

/** One entry of the log. */
export interface Entry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  /** Proposal id of a command, the same in every copy. */
  readonly id: string;
  /** Applied index of the proposer when it made the proposal. */
  readonly base: number;
  /** JSON text of the command or of the member list. */
  readonly data: string;
}

/** A command on its way to the log. */
export interface Proposal {
  readonly id: string;
  readonly base: number;
  readonly data: string;
}

/** What must be on disk before a vote or an acknowledgement leaves. */
export interface HardState {
  readonly term: number;
  /** Store id of the candidate that has this store's vote in `term`, or empty. */
  readonly vote: string;
}

/** The identity of a store and the group that it belongs to. */
export interface Identity {
  readonly store: string;
  /** Random id of the group, empty for a blank store. */
  readonly groupId: string;
  /** The members that the group was formed with; empty for a store that joined later. */
  readonly members: readonly Member[];
  /** False for a store that replaces a damaged one: it joins a group but never forms one. */
  readonly canForm: boolean;
}

/** Asks for a vote; a trial changes nothing at the receiver. */
export interface VoteBody {
  readonly type: 'vote';
  readonly isTrial: boolean;
  /** True when the leader itself asked for this campaign. */
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

/** A leader that is stopping asks a voter to campaign at once. */
export interface TransferBody {
  readonly type: 'transfer';
}

/** Carries entries, the commit index and the number of the latest read round. */
export interface AppendBody {
  readonly type: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly Entry[];
  readonly commit: number;
  readonly readRound: number;
}

/** Answers an append: `index` is the match, or where to try next when refused. */
export interface AppendAnswerBody {
  readonly type: 'appendAnswer';
  readonly isAccepted: boolean;
  readonly index: number;
  readonly readRound: number;
}

/** One chunk of a snapshot file, in base64. */
export interface SnapshotBody {
  readonly type: 'snapshot';
  readonly index: number;
  readonly snapshotTerm: number;
  readonly members: readonly Member[];
  /** Offset of the chunk in bytes of the file. */
  readonly offset: number;
  /** Size of the file in bytes. */
  readonly total: number;
  readonly data: string;
}

/** Names the next byte of the snapshot that the receiver lacks. */
export interface SnapshotAnswerBody {
  readonly type: 'snapshotAnswer';
  readonly index: number;
  readonly offset: number;
}

/** A store without a leader makes itself known. */
export interface HelloBody {
  readonly type: 'hello';
}

/** Answers a hello with the state of the answering store. */
export interface HelloAnswerBody {
  readonly type: 'helloAnswer';
  readonly isBlank: boolean;
  /** The leader, so that a host which was not told of it can make itself known there. */
  readonly leader?: Peer;
}

/** Forms a group of the blank stores listed. */
export interface FormBody {
  readonly type: 'form';
  readonly members: readonly Member[];
}

/** Hands proposals to the leader. */
export interface ProposeBody {
  readonly type: 'propose';
  readonly items: readonly Proposal[];
}

/** Asks the leader for a confirmed read point. */
export interface ReadBody {
  readonly type: 'read';
  readonly id: string;
}

/** Gives a confirmed read point. */
export interface ReadAnswerBody {
  readonly type: 'readAnswer';
  readonly id: string;
  readonly index: number;
}

/** The content of a message. */
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

/** A snapshot that was received whole, as the bytes of its file. */
export interface ReceivedSnapshot {
  readonly index: number;
  readonly term: number;
  readonly file: Buffer;
}

/** A read that a quorum confirmed. */
export interface ConfirmedRead {
  readonly id: string;
  readonly index: number;
  readonly term: number;
}

/**
 * What the driver has to do, in this order: send `urgent`; write `identity`, `install`, `hardState`
 * and `entries` and sync them; send `messages`; apply up to `commit`; report `stored`.
 */
export interface Ready {
  readonly messagesBeforeSync: readonly Message[];
  readonly identity: Identity | undefined;
  readonly install: ReceivedSnapshot | undefined;
  readonly hardState: HardState | undefined;
  /** Entries to append; the first one cuts the log at its index. */
  readonly entries: readonly Entry[];
  readonly messagesAfterSync: readonly Message[];
  readonly commit: number;
  readonly reads: readonly ConfirmedRead[];
  readonly synced: { readonly term: number; readonly index: number };
}

/** What a store held when the process started. */
export interface InitialState {
  readonly identity: Identity;
  readonly hardState: HardState;
  readonly snapshot: SnapshotMeta;
  readonly entries: readonly Entry[];
}

/** Where a snapshot stands in the log. */
export interface SnapshotMeta {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
  /** Size of its file in bytes. */
  readonly size: number;
}

/** Deviations from the rules, for the proof that the checks find them. */
export interface InjectedFaults {
  readonly readsWithoutQuorum?: boolean;
  readonly commitsOlderTerms?: boolean;
}

/** Parts and settings of a core. Times are counted in ticks. */
export interface CoreOptions {
  readonly self: { readonly node: string; readonly address: string };
  /** All hosts of the first group, this one included. */
  readonly peers: readonly { readonly node: string; readonly address: string }[];
  readonly initial: InitialState;
  /** Gives a number from 0 to below 1. */
  readonly random: () => number;
  /** Gives a random id for a new group. */
  readonly createGroupId: () => string;
  /** Most entries of one append; there is a default. */
  readonly maxAppendEntries?: number;
  /**
   * Whether hosts that nobody named may join, and a lost voter leaves a list of even length by
   * itself. Otherwise an operator names who takes a lost host's place.
   */
  readonly hasOpenMembership?: boolean;
  /** Whether the first campaign after a start comes early, so that a whole group is soon back. */
  readonly campaignsEarly?: boolean;
  readonly injectedFaults?: InjectedFaults;
}
