import type { Bill } from '../../ledger';
import type { OrganisationName, RequestKind } from '../cluster';

/** What the caller was told of the work when a call ended in an error. */
export type ReportedOutcome = 'not_run' | 'unknown' | 'ran';

/** How one call ended for its caller. */
export type CallResult =
  | { readonly type: 'answered'; readonly body: string }
  | { readonly type: 'failed'; readonly errorType: string; readonly outcome: ReportedOutcome }
  /** The connection broke or nothing came in time. */
  | { readonly type: 'cut'; readonly reason: string };

/** One call as its caller saw it; a retry is another call with the same operation. Times in ms. */
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

/** One run in a stand-in's own record. */
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

/** A change after which something gets no new work. */
export interface Removal {
  readonly name: string;
  readonly acceptedAt: number;
}

/** A disturbance of one node, or a planned stop of it. */
export interface FaultRecord {
  readonly kind: string;
  readonly node: string;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** What one entry showed of the configuration: the mark of the inventory in force there. */
export interface ConfigSample {
  readonly entry: string;
  readonly mark: number;
  readonly startedAt: number;
  readonly endedAt: number;
}

/** An operator's read or write of the inventory; marks tell inventories apart. */
export interface OperatorRecord {
  readonly startedAt: number;
  /** Absent when no answer came: the write may still take effect at any later time. */
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

/** All that is known of one run of the system. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly bills: readonly Bill[];
  readonly withdrawals: readonly Removal[];
  readonly leavings: readonly Removal[];
  readonly faults: readonly FaultRecord[];
  readonly samples: readonly ConfigSample[];
  readonly operators: readonly OperatorRecord[];
  /** The endpoint and the caller address of each node, where it has one. */
  readonly places: ReadonlyMap<string, string>;
}
