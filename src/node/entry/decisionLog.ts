import Denque from 'denque';
import { createMethod, type RpcMethods } from '../rpc';
import { entryExplainParams, type DecisionRecord } from '../shared';
import type { RunRequest } from './runTypes';
import type { Choice, TargetChooser } from './targetChoice';

/** The latest decisions of one entry. At capacity, the oldest are dropped. */
export interface DecisionLog {
  readonly add: (
    requestId: string,
    decision: string,
    fields: Readonly<Record<string, unknown>>,
  ) => void;
  readonly find: (requestId: string) => readonly DecisionRecord[];
}

const MAX_RECORDS = 20_000;

interface StoredRecord {
  readonly requestId: string;
  readonly at: number;
  readonly decision: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

const convertRecord = (record: StoredRecord): DecisionRecord => ({
  ...record,
  at: new Date(record.at).toISOString(),
});

/** Creates an empty decision log. */
export const createDecisionLog = (capacity = MAX_RECORDS): DecisionLog => {
  const records = new Denque<StoredRecord>([], { capacity });
  return {
    add: (requestId, decision, fields) => {
      records.push({ requestId, at: Date.now(), decision, fields });
    },
    // Lookups are rare and additions frequent, so a lookup scans all records.
    find: (requestId) =>
      records
        .toArray()
        .filter((record) => record.requestId === requestId)
        .map(convertRecord),
  };
};

/** Creates the RPC method that returns the decisions of this entry on a request. */
export const createExplainMethods = (decisions: DecisionLog): RpcMethods => ({
  'entry.explain': createMethod(entryExplainParams, ({ requestId }) => ({
    decisions: decisions.find(requestId),
  })),
});

/** Where decisions and retries are recorded, besides the log. */
export interface DecisionRecorders {
  readonly decisions: DecisionLog;
  /** Called for each attempt after the first of a request. */
  readonly recordRetry: () => void;
}

const listChoiceFields = (
  request: RunRequest,
  choice: Choice,
  attempt: number,
): Readonly<Record<string, unknown>> => {
  const { member, ...rest } = choice;
  return {
    organisation: request.organisation.name,
    task: request.task.name,
    asked: request.service ?? request.model,
    session: request.session,
    attempt,
    ...rest,
    endpoint: member.endpoint,
    zone: member.zone,
  };
};

/** Wraps a chooser to record its choices for `explain`. */
export const createRecordingChooser = (
  chooser: TargetChooser,
  recorders: DecisionRecorders,
): TargetChooser => {
  const { decisions, recordRetry } = recorders;

  return {
    ...chooser,
    log: (request, choice, attempt) => {
      if (attempt > 0) recordRetry();
      decisions.add(request.requestId, 'routed', listChoiceFields(request, choice, attempt));
      chooser.log(request, choice, attempt);
    },
  };
};
