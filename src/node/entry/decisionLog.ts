import Denque from 'denque';
import { createMethod, type RpcMethods } from '../rpc';
import { entryExplainParams, type DecisionRecord } from '../shared';
import type { RunRequest } from './runTypes';
import type { Choice, TargetChooser } from './targetChoice';

/** The latest decisions of one entry, bounded in number; the oldest go first. */
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
    // Operators ask seldom and each request decides often: the search bears the cost.
    find: (requestId) =>
      records
        .toArray()
        .filter((record) => record.requestId === requestId)
        .map(convertRecord),
  };
};

/** Creates the method that tells control what this entry decided on a request. */
export const createExplainMethods = (decisions: DecisionLog): RpcMethods => ({
  'entry.explain': createMethod(entryExplainParams, ({ requestId }) => ({
    decisions: decisions.find(requestId),
  })),
});

/** What is told of each decision besides the log. */
export interface DecisionListeners {
  readonly decisions: DecisionLog;
  /** Called for each attempt after a request's first. */
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

/** Wraps a chooser so that its choices are kept for `explain`. */
export const createRecordingChooser = (
  chooser: TargetChooser,
  listeners: DecisionListeners,
): TargetChooser => {
  const { decisions, recordRetry } = listeners;

  return {
    ...chooser,
    log: (request, choice, attempt) => {
      if (attempt > 0) recordRetry();
      decisions.add(request.requestId, 'routed', listChoiceFields(request, choice, attempt));
      chooser.log(request, choice, attempt);
    },
  };
};
