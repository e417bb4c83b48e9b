import type { Bill } from '../../ledger';
import type { OrganisationName, RequestKind } from '../cluster';

/** The outcome that an error response reports to the caller. */
export type ReportedOutcome = 'not_run' | 'unknown' | 'ran';

/** The result of a call as seen by its caller. */
export type CallResult =
  | { readonly type: 'answered'; readonly body: string }
  | { readonly type: 'failed'; readonly errorType: string; readonly outcome: ReportedOutcome }
  /** The connection broke or the call timed out. */
  | { readonly type: 'cut'; readonly reason: string };

/** A call as seen by its caller. A retry is another call with the same operation. Times in ms. */
export interface CallRecord {
  readonly operation: string;
  readonly requestId: string;
  readonly organisation: OrganisationName;
  readonly kind: RequestKind;
  readonly isIdempotent: boolean;
  readonly session?: string;
  readonly entry: string;
  readonly startedAt: number;
  readonly endedAt: number;
  readonly result: CallResult;
}

/** A run from a stand-in's record. */
export interface RunRecord {
  readonly operation: string;
  readonly requestId: string;
  readonly endpoint: string;
  /** `model@version`, or the name of a plain service. */
  readonly target: string;
  readonly startedAt: number;
  readonly isDone: boolean;
  readonly sent: string;
  readonly inputTokens: number;
  readonly outputTokens: number;
}

/** A change after which a version or endpoint gets no new work. */
export interface Removal {
  readonly name: string;
  readonly acceptedAt: number;
}

/** A fault injected into a node, or a planned stop of it. */
export interface FaultRecord {
  readonly kind: string;
  readonly node: string;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** The mark of the inventory that was in force on an entry when it was sampled. */
export interface ConfigSample {
  readonly entry: string;
  readonly mark: number;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** An operator's read or write of the inventory. The mark identifies the inventory. */
export interface OperatorRecord {
  readonly startedAt: number;
  /** Absent if there was no answer. The write may then take effect at any later time. */
  readonly endedAt?: number;
  readonly action:
    | { readonly type: 'read'; readonly revision: number; readonly mark: number }
    | {
        readonly type: 'write';
        readonly base: number;
        readonly mark: number;
        readonly answer: 'accepted' | 'conflict' | 'unknown';
      };
}

/** Everything recorded during one schedule run. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly bills: readonly Bill[];
  readonly withdrawals: readonly Removal[];
  readonly leavings: readonly Removal[];
  readonly faults: readonly FaultRecord[];
  readonly samples: readonly ConfigSample[];
  readonly operators: readonly OperatorRecord[];
  /** The endpoint of each agent and the public address of each entry, by node. */
  readonly places: ReadonlyMap<string, string>;
}
