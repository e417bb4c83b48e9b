import { hasFinalBill, isSettled, hasOwnerEnded, writeRequest, type Tables } from './tables';
import type { AttemptRecord, AttemptReport, Owner, RequestRecord, Usage } from './types';

const MICRO = 1_000_000;

const computeCost = (usage: readonly Usage[]): number =>
  Math.round(usage.reduce((sum, line) => sum + line.cost, 0) * MICRO) / MICRO;

// A request has one bill, with one line for the usage of each attempt.
/** Writes the bill of a request if any of its attempts has usage. */
export const writeBill = (tables: Tables, record: RequestRecord, at: number): void => {
  const usage = record.attempts.flatMap((item) => (item.usage ? [item.usage] : []));
  if (usage.length === 0) return;
  const { requestId, organisation } = record;
  const first = tables.bills.get(requestId)?.at ?? at;
  const bill = { requestId, organisation, usage, cost: computeCost(usage), at: first };
  tables.bills.set(requestId, { ...bill, final: hasFinalBill(record) });
};

interface MergedAttempt {
  readonly attempt: AttemptRecord;
  readonly isFirst: boolean;
  readonly differs: boolean;
}

const isSameUsage = (a: Usage | undefined, b: Usage | undefined): boolean =>
  a === undefined ||
  b === undefined ||
  (a.inputTokens === b.inputTokens && a.outputTokens === b.outputTokens && a.model === b.model);

// A later report replaces the states `open` and `unknown`. Any other state is kept.
const mergeReport = (known: AttemptRecord, report: AttemptReport): MergedAttempt => {
  const isUndecided = known.state === 'open' || known.state === 'unknown';
  const state = isUndecided ? report.outcome : known.state;
  const hasRun = state === 'ran';
  // A bill line without tokens, written by `closeEndedAttempts`, is replaced by the reported usage.
  const isClosedByRule = known.state === 'unknown';
  const reportedUsage = hasRun ? report.usage : undefined;
  const usage =
    isClosedByRule && state !== 'unknown' ? reportedUsage : (known.usage ?? reportedUsage);
  const contradicts =
    !isUndecided && report.outcome !== 'unknown' && report.outcome !== known.state;
  const differs = contradicts || (!isClosedByRule && !isSameUsage(known.usage, report.usage));
  const isFirst = state !== known.state || usage !== known.usage;
  return { attempt: { ...known, state, usage }, isFirst, differs };
};

const createAttemptRecord = (report: Omit<AttemptRecord, 'state' | 'usage'>): AttemptRecord => {
  const { attempt, agent, incarnation, model, version } = report;
  return { attempt, agent, incarnation, model, version, state: 'open' };
};

const replaceAttempt = (
  attempts: readonly AttemptRecord[],
  attempt: AttemptRecord,
): readonly AttemptRecord[] => [
  ...attempts.filter((item) => item.attempt !== attempt.attempt),
  attempt,
];

/** Adds an open attempt unless the record already has it. */
export const addAttempt = (
  record: RequestRecord,
  fields: Omit<AttemptRecord, 'state' | 'usage'>,
): RequestRecord => {
  if (record.attempts.some((item) => item.attempt === fields.attempt)) return record;
  return { ...record, attempts: [...record.attempts, createAttemptRecord(fields)] };
};

/**
 * A record after a report, whether the report changed it, and whether it contradicts an earlier
 * one.
 */
export interface ReportedRecord {
  readonly record: RequestRecord;
  readonly isFirst: boolean;
  readonly differs: boolean;
}

/** Merges a report into a record. The first report of an attempt takes precedence. */
export const addReport = (record: RequestRecord, report: AttemptReport): ReportedRecord => {
  const known = record.attempts.find((item) => item.attempt === report.attempt);
  const { attempt, isFirst, differs } = mergeReport(known ?? createAttemptRecord(report), report);
  const attempts = replaceAttempt(record.attempts, attempt);
  return { record: { ...record, attempts }, isFirst: isFirst || !known, differs };
};

/** Merges several reports into a record and counts those that contradict earlier ones. */
export const addReports = (
  tables: Tables,
  record: RequestRecord,
  reports: readonly AttemptReport[],
): RequestRecord =>
  reports.reduce((sum, report) => {
    const next = addReport(sum, report);
    if (next.differs) tables.differences += 1;
    return next.record;
  }, record);

/** Computes the outcome of a request: `not_run` only if no attempt ran or can still run. */
export const computeOutcome = (record: RequestRecord): 'ran' | 'not_run' | 'unknown' => {
  const states = record.attempts.map((item) => item.state);
  if (states.every((state) => state === 'never')) return 'not_run';
  return states.includes('ran') ? 'ran' : 'unknown';
};

const STATE_BY_OUTCOME = { ran: 'done', not_run: 'not_run', unknown: 'unknown' } as const;

const closeAttemptOfEndedAgent = (tables: Tables, item: AttemptRecord): AttemptRecord => {
  const { agent, incarnation, model, version } = item;
  const owner: Owner = { node: agent, incarnation };
  if (item.state === 'never' || item.usage !== undefined) return item;
  if (!hasOwnerEnded(tables, owner)) return item;
  const usage = { model, version, inputTokens: 0, outputTokens: 0, cost: 0 };
  return { ...item, state: item.state === 'ran' ? 'ran' : 'unknown', usage };
};

/**
 * Closes attempts whose agent incarnation has ended. Unless they have been reported as run,
 * their outcome is unknown. Their bill line has no tokens, because only the agent counted them.
 */
export const closeEndedAttempts = (tables: Tables, record: RequestRecord): RequestRecord => {
  const attempts = record.attempts.map((item) => closeAttemptOfEndedAgent(tables, item));
  return { ...record, attempts };
};

/**
 * Settles a request whose entry has ended, once none of its attempts is open. Requests with a key
 * and deferred requests are left to their next owner.
 */
export const settleOrphan = (tables: Tables, record: RequestRecord, at: number): RequestRecord => {
  const isOrphan = record.state === 'running' && hasOwnerEnded(tables, record.owner);
  const canBeTakenOver = record.key !== undefined || record.request !== undefined;
  const hasOpen = record.attempts.some((item) => item.state === 'open');
  if (!isOrphan || canBeTakenOver || hasOpen || isSettled(record)) return record;
  return { ...record, state: STATE_BY_OUTCOME[computeOutcome(record)], settledAt: at };
};

/** Stores a record and its bill. */
export const writeRecord = (tables: Tables, record: RequestRecord, at: number): void => {
  writeRequest(tables, record);
  writeBill(tables, record, at);
};
