import type { Either } from 'purify-ts';
import type { RouterError } from '../errors';

/** A deterministic state machine that a replication group drives. Its values must be JSON. */
export interface StateMachine<Command, Result> {
  /** Applies a committed command. The result must depend only on the state and the arguments. */
  readonly apply: (index: number, command: Command) => Result;
  /** Returns the whole state as a JSON value. */
  readonly snapshot: () => unknown;
  /** Replaces the whole state with a value returned by `snapshot`. */
  readonly restore: (state: unknown) => void;
}

/** The result of a committed command with its position in the log. */
export interface Applied<Result> {
  readonly index: number;
  readonly term: number;
  readonly result: Result;
}

/** A log position that a quorum has confirmed as current. */
export interface ReadPoint {
  readonly term: number;
  readonly index: number;
}

/** The state of a group as seen by one host. */
export interface ReplicaStatus {
  readonly group: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  /** Node name of the leader, or empty if none is known. */
  readonly leader: string;
  readonly leaderAddress: string;
  readonly committed: number;
  readonly applied: number;
  readonly members: readonly string[];
  /** The members that have a vote. */
  readonly voters: readonly string[];
}

/** The replica of a replication group on one host. */
export interface Replica<Command, Result> {
  /**
   * Commits a command on this host if it is the leader, otherwise through the leader.
   * An error with outcome `not_run` guarantees that the command is not and never will be applied.
   */
  readonly propose: (command: Command) => Promise<Either<RouterError, Applied<Result>>>;
  /** Waits until this host has applied everything that was committed when the call started. */
  readonly confirmRead: () => Promise<Either<RouterError, ReadPoint>>;
  readonly status: () => ReplicaStatus;
  /**
   * Replaces a permanently lost host with another node; works only on the leader. The node joins
   * with a blank disk, catches up and then takes over the lost host's vote.
   */
  readonly replaceMember: (
    lost: string,
    by: { readonly node: string; readonly address: string },
  ) => Promise<Either<RouterError, void>>;
  readonly stop: () => Promise<void>;
}
