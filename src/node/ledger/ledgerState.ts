import type { StateMachine } from '../replication';
import {
  addAttempt,
  addReport,
  addReports,
  closeEndedAttempts,
  computeOutcome,
  settleOrphan,
  writeRecord,
} from './attempts';
import { claimKey } from './claims';
import { applyDefer, applyRelease, applyTake, releaseOrphan, removeFromQueue } from './deferred';
import { applyExpiry } from './retention';
import {
  createTables,
  formatScopedName,
  hasOwnerEnded,
  isSettled,
  restoreTables,
  snapshotTables,
  writeRequest,
  type LedgerSnapshot,
  type Tables,
} from './tables';
import type {
  AttemptRecord,
  Bill,
  BillTotal,
  LedgerCommand,
  LedgerResult,
  Owner,
  RequestRecord,
  Usage,
} from './types';

/** The version that a session is bound to. */
export interface SessionBinding {
  readonly model: string;
  readonly version: string;
}

/**
 * An open attempt that no entry will report on any more. The agent may never have received it,
 * because the entry announces an attempt before it starts it.
 */
export interface OrphanAttempt {
  readonly requestId: string;
  readonly organisation: string;
  readonly attempt: AttemptRecord;
}

/** The `ledger` state machine with its queries. */
export interface LedgerState extends StateMachine<LedgerCommand, LedgerResult> {
  readonly findRequest: (organisation: string, requestId: string) => RequestRecord | undefined;
  readonly findBinding: (organisation: string, session: string) => SessionBinding | undefined;
  readonly listBills: () => readonly Bill[];
  /** Lists hourly totals of bills that are no longer kept individually. */
  readonly listTotals: () => readonly BillTotal[];
  /** Returns the number of sessions with deferred requests that wait or run. */
  readonly countQueues: () => number;
  /** Returns the number of requests that are not settled or have no final bill. */
  readonly countOpen: () => number;
  /** Lists the entries and agents that open requests refer to and that have not ended. */
  readonly listOpenOwners: () => readonly Owner[];
  /** Lists open attempts that no entry will report on any more. */
  readonly listOrphanAttempts: () => readonly OrphanAttempt[];
  /** Returns the number of reports that contradicted an earlier one. */
  readonly countConflictingReports: () => number;
}

type Handlers = {
  readonly [T in LedgerCommand['type']]: (
    tables: Tables,
    command: Extract<LedgerCommand, { readonly type: T }>,
  ) => LedgerResult;
};

const NO_REQUEST: LedgerResult = {
  type: 'refused',
  reason: 'request not found in this organisation',
};

const isSameOwner = (a: Owner | undefined, b: Owner): boolean =>
  a?.node === b.node && a.incarnation === b.incarnation;

const handleBindSession: Handlers['bindSession'] = (tables, command) => {
  const name = formatScopedName(command.organisation, command.session);
  const { model, version } = tables.sessions.get(name) ?? command;
  tables.sessions.delete(name);
  tables.sessions.set(name, { model, version, at: command.at });
  return { type: 'bound', model, version };
};

const handleClaim: Handlers['claim'] = (tables, command) => {
  const { requestId, organisation, key, owner, at } = command;
  if (hasOwnerEnded(tables, owner))
    return { type: 'refused', reason: 'the incarnation of the entry has ended' };
  const known = tables.requests.get(requestId);
  if (known) return { type: 'claimed', requestId };
  const claimRefusal = claimKey(tables, command);
  if (claimRefusal) return claimRefusal;
  writeRequest(tables, {
    requestId,
    organisation,
    state: 'running',
    attempts: [],
    owner,
    key,
    at,
  });
  return { type: 'claimed', requestId };
};

const createRunningRequest = (
  command: Pick<RequestRecord, 'requestId' | 'organisation' | 'owner' | 'at'>,
): RequestRecord => {
  const { requestId, organisation, owner, at } = command;
  return { requestId, organisation, state: 'running', attempts: [], owner, at };
};

const handleIntent: Handlers['intent'] = (tables, command) => {
  const { requestId, organisation, owner, at } = command;
  const record = tables.requests.get(requestId) ?? createRunningRequest(command);
  if (record.organisation !== organisation) return NO_REQUEST;
  const isKnown = record.attempts.some((item) => item.attempt === command.attempt);
  if (isKnown) return { type: 'recorded', first: false };
  if (isSettled(record)) return { type: 'refused', reason: 'the request is already settled' };
  if (hasOwnerEnded(tables, owner))
    return { type: 'refused', reason: 'the incarnation of the entry has ended' };
  if (record.owner && !isSameOwner(record.owner, owner)) {
    return { type: 'refused', reason: 'the request belongs to another owner' };
  }
  const next = closeEndedAttempts(tables, addAttempt(record, command));
  writeRecord(tables, next, at);
  return { type: 'recorded', first: true };
};

const handleReport: Handlers['report'] = (tables, command) => {
  const { requestId, organisation, at } = command;
  const known = tables.requests.get(requestId);
  if (!known && tables.bills.has(requestId)) return { type: 'recorded', first: false };
  const before = known ?? createRunningRequest(command);
  if (before.organisation !== organisation) return NO_REQUEST;
  const { record, isFirst, differs } = addReport(before, command.report);
  if (differs) tables.differences += 1;
  writeRecord(tables, settleOrphan(tables, record, at), at);
  return { type: 'recorded', first: isFirst, differs };
};

const STATE_BY_OUTCOME = { ran: 'done', not_run: 'not_run', unknown: 'unknown' } as const;

// The outcome `not_run` must be true, so it is replaced if the attempts contradict it.
const computeState = (
  record: RequestRecord,
  command: Extract<LedgerCommand, { readonly type: 'settle' }>,
): RequestRecord['state'] => {
  const isConsistent = command.outcome !== 'not_run' || computeOutcome(record) === 'not_run';
  const outcome = isConsistent ? command.outcome : computeOutcome(record);
  if (record.request !== undefined && command.error && outcome !== 'unknown') return 'failed';
  return STATE_BY_OUTCOME[outcome];
};

const handleSettle: Handlers['settle'] = (tables, command) => {
  const { requestId, organisation, owner, answer, error, at } = command;
  const before = tables.requests.get(requestId) ?? createRunningRequest(command);
  if (before.organisation !== organisation) return NO_REQUEST;
  const reported = addReports(tables, before, command.reports);
  const record = closeEndedAttempts(tables, reported);
  const isOwn = record.owner === undefined || isSameOwner(record.owner, owner);
  if (isSettled(record) || !isOwn) {
    writeRecord(tables, record, at);
    return { type: 'settled', first: false, state: record.state };
  }
  const state = computeState(record, command);
  writeRecord(tables, { ...record, state, answer, error, settledAt: at }, at);
  removeFromQueue(tables, record);
  return { type: 'settled', first: true, state };
};

const handleTakeOver: Handlers['takeOver'] = (tables, command) => {
  const { requestId, organisation, owner } = command;
  const record = tables.requests.get(requestId);
  if (record?.organisation !== organisation) return NO_REQUEST;
  const ownerHasEnded = hasOwnerEnded(tables, record.owner);
  const canTake = record.state === 'running' && record.request === undefined && ownerHasEnded;
  if (!canTake || hasOwnerEnded(tables, owner)) return { type: 'taken', records: [] };
  return { type: 'taken', records: [writeRequest(tables, { ...record, owner })] };
};

const handleEndIncarnation: Handlers['endIncarnation'] = (tables, { node, below, at }) => {
  if ((tables.minLiveIncarnations.get(node) ?? 0) >= below)
    return { type: 'recorded', first: false };
  tables.minLiveIncarnations.set(node, below);
  for (const id of [...tables.openRequestIds]) {
    const closed = closeEndedAttempts(tables, tables.requests.get(id)!);
    writeRecord(tables, settleOrphan(tables, closed, at), at);
    releaseOrphan(tables, tables.requests.get(id)!, at);
  }
  return { type: 'recorded', first: true };
};

const handlers: Handlers = {
  bindSession: handleBindSession,
  claim: handleClaim,
  intent: handleIntent,
  report: handleReport,
  settle: handleSettle,
  takeOver: handleTakeOver,
  defer: applyDefer,
  take: applyTake,
  release: applyRelease,
  endIncarnation: handleEndIncarnation,
  expire: (tables, { at }) => {
    applyExpiry(tables, at);
    return { type: 'recorded', first: true };
  },
};

const listOwners = (record: RequestRecord): readonly Owner[] => {
  const agents = record.attempts
    .filter((item) => item.state !== 'never' && item.usage === undefined)
    .map(({ agent: node, incarnation }) => ({ node, incarnation }));
  const isRunning = record.state === 'running' && record.owner !== undefined;
  return isRunning ? [record.owner, ...agents] : agents;
};

const listOpenOwners = (tables: Tables): readonly Owner[] => {
  const owners = new Map<string, Owner>();
  for (const id of tables.openRequestIds) {
    for (const owner of listOwners(tables.requests.get(id)!)) {
      const isLive = !hasOwnerEnded(tables, owner);
      if (isLive) owners.set(`${owner.node}\n${owner.incarnation}`, owner);
    }
  }
  return [...owners.values()];
};

// A running request that has a key or is deferred gets another owner, which settles its attempts.
const isUnattended = (tables: Tables, record: RequestRecord): boolean => {
  if (isSettled(record)) return true;
  const { owner, key, request } = record;
  const ownerHasEnded = owner !== undefined && hasOwnerEnded(tables, owner);
  return record.state === 'running' && ownerHasEnded && key === undefined && request === undefined;
};

const listOrphanAttempts = (tables: Tables): readonly OrphanAttempt[] =>
  [...tables.openRequestIds]
    .map((id) => tables.requests.get(id)!)
    .filter((record) => isUnattended(tables, record))
    .flatMap(({ requestId, organisation, attempts }) =>
      attempts
        .filter((item) => item.state === 'open')
        .map((attempt) => ({ requestId, organisation, attempt })),
    );

/** Creates an empty `ledger` state machine. */
export const createLedgerState = (): LedgerState => {
  let tables = createTables();
  return {
    apply: (_index, command) => {
      const handle = handlers[command.type] as (t: Tables, c: LedgerCommand) => LedgerResult;
      return handle(tables, command);
    },
    snapshot: () => snapshotTables(tables),
    restore: (state) => {
      tables = restoreTables(state as LedgerSnapshot);
    },
    findRequest: (organisation, requestId) => {
      const known = tables.requests.get(requestId);
      return known?.organisation === organisation ? known : undefined;
    },
    findBinding: (organisation, session) => {
      const known = tables.sessions.get(formatScopedName(organisation, session));
      return known && { model: known.model, version: known.version };
    },
    listBills: () => [...tables.bills.values()],
    listTotals: () => [...tables.totals.values()],
    countQueues: () => tables.queues.size,
    countOpen: () => tables.openRequestIds.size,
    listOpenOwners: () => listOpenOwners(tables),
    listOrphanAttempts: () => listOrphanAttempts(tables),
    countConflictingReports: () => tables.differences,
  };
};

const MICRO = 1_000_000;
const TOKENS_PER_PRICE_UNIT = 1_000;

/** Prices of a model per 1,000 tokens, in the currency unit of the operator. */
export interface TokenPrices {
  readonly inputCostPerThousand: number;
  readonly outputCostPerThousand: number;
}

/**
 * Adds the cost, rounded to a millionth of the price unit, to the usage of one attempt. A plain
 * service has no prices and costs nothing.
 */
export const computeUsage = (prices: TokenPrices | undefined, used: Omit<Usage, 'cost'>): Usage => {
  const input = (prices?.inputCostPerThousand ?? 0) * used.inputTokens;
  const output = (prices?.outputCostPerThousand ?? 0) * used.outputTokens;
  const cost = Math.round(((input + output) / TOKENS_PER_PRICE_UNIT) * MICRO) / MICRO;
  return { ...used, cost };
};
