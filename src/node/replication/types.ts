import type { Either } from 'purify-ts';
import type { RouterError } from '../errors';

/** A deterministic state machine that a replicated group drives. Values must be JSON. */
export interface StateMachine<Command, Result> {
  /** Applies a committed command at its log index; must depend on nothing but its arguments. */
  readonly apply: (index: number, command: Command) => Result;
  /** Gives the whole state as a JSON value. */
  readonly snapshot: () => unknown;
  /** Replaces the whole state by a value of `snapshot`. */
  readonly restore: (state: unknown) => void;
}

/** The result of a committed command with its place in the log. */
export interface Applied<Result> {
  readonly index: number;
  readonly term: number;
  readonly result: Result;
}

/** A point in the log that a quorum confirmed as current. */
export interface ReadPoint {
  readonly term: number;
  readonly index: number;
}

/** What one host knows of its group. */
export interface ReplicaStatus {
  readonly group: string;
  readonly role: 'leader' | 'follower' | 'candidate' | 'learner';
  readonly term: number;
  /** Node name of the leader, or empty when none is known. */
  readonly leader: string;
  readonly leaderAddress: string;
  readonly committed: number;
  readonly applied: number;
  readonly members: readonly string[];
  /** Those of the members that have a vote. */
  readonly voters: readonly string[];
}

/** One host's part of a replicated group. */
export interface Replica<Command, Result> {
  /**
   * Commits a command, on this host when it leads, else through the leader.
   * `not_run` in an error is a promise that the command is not and never will be committed.
   */
  readonly propose: (command: Command) => Promise<Either<RouterError, Applied<Result>>>;
  /** Waits until this host's state holds all that was committed when the call began. */
  readonly confirmRead: () => Promise<Either<RouterError, ReadPoint>>;
  readonly status: () => ReplicaStatus;
  /**
   * Gives the place of a host that is lost for good to another node, at the leader only. The node
   * joins with a blank disk, catches up and then takes over the lost host's vote.
   */
  readonly replaceMember: (
    lost: string,
    by: { readonly node: string; readonly address: string },
  ) => Promise<Either<RouterError, void>>;
  readonly stop: () => Promise<void>;
}
