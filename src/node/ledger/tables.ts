import type { Bill, BillTotal, Owner, RequestRecord } from './types';

/** The version that a session is bound to. `at` is the time of its last use, to the day. */
export interface Session {
  readonly model: string;
  readonly version: string;
  readonly at: number;
}

/** The request that holds an idempotency key. */
export interface Claim {
  readonly bodyHash: string;
  readonly requestId: string;
  readonly at: number;
}

/**
 * Deferred requests of one organisation that wait or run. `bytes` counts their bodies in base64.
 */
export interface DeferredLoad {
  readonly count: number;
  readonly bytes: number;
}

/** The state of the ledger. Every value is JSON. */
export interface Tables {
  /** Latest time of an `expire` command, in milliseconds. */
  now: number;
  /** Number of reports whose usage or outcome contradicted an earlier report. */
  differences: number;
  readonly sessions: Map<string, Session>;
  readonly claims: Map<string, Claim>;
  readonly requests: Map<string, RequestRecord>;
  readonly bills: Map<string, Bill>;
  readonly totals: Map<string, BillTotal>;
  /** Ids of deferred requests in order of arrival, by organisation and session. */
  readonly queues: Map<string, readonly string[]>;
  /** Lowest incarnation of each node that may still run. Lower ones have ended. */
  readonly minLiveIncarnations: Map<string, number>;
  /** Ids of requests that are not settled or have no final bill; derived from `requests`. */
  readonly openRequestIds: Set<string>;
  /** Deferred requests in queues, by organisation; derived from `queues` and `requests`. */
  readonly deferredLoads: Map<string, DeferredLoad>;
}

// The name of an organisation cannot contain the separator.
/** Formats a table key from an organisation and a name within it. */
export const formatScopedName = (organisation: string, name: string): string =>
  `${organisation}\n${name}`;

/** Creates empty tables. */
export const createTables = (): Tables => ({
  now: 0,
  differences: 0,
  sessions: new Map(),
  claims: new Map(),
  requests: new Map(),
  bills: new Map(),
  totals: new Map(),
  queues: new Map(),
  minLiveIncarnations: new Map(),
  openRequestIds: new Set(),
  deferredLoads: new Map(),
});

/** Returns whether an `endIncarnation` command has ended the incarnation of an owner. */
export const hasOwnerEnded = (tables: Tables, owner: Owner | undefined): boolean =>
  owner !== undefined && owner.incarnation < (tables.minLiveIncarnations.get(owner.node) ?? 0);

/** Returns whether a request has reached its final state. */
export const isSettled = (record: RequestRecord): boolean =>
  record.state !== 'queued' && record.state !== 'running';

/** Returns whether a request is settled and every attempt that may have run has a bill line. */
export const hasFinalBill = (record: RequestRecord): boolean =>
  isSettled(record) &&
  record.attempts.every((item) => item.state === 'never' || item.usage !== undefined);

/** Stores a request and updates the derived set of open requests. */
export const writeRequest = (tables: Tables, record: RequestRecord): RequestRecord => {
  tables.requests.set(record.requestId, record);
  if (hasFinalBill(record)) tables.openRequestIds.delete(record.requestId);
  else tables.openRequestIds.add(record.requestId);
  return record;
};

const NO_LOAD: DeferredLoad = { count: 0, bytes: 0 };

/** Returns the number and size of an organisation's deferred requests in queues. */
export const readDeferredLoad = (tables: Tables, organisation: string): DeferredLoad =>
  tables.deferredLoads.get(organisation) ?? NO_LOAD;

/** Adds a deferred request to the load of its organisation, or subtracts it. */
export const updateDeferredLoad = (tables: Tables, record: RequestRecord, sign: 1 | -1): void => {
  const { organisation } = record;
  const known = readDeferredLoad(tables, organisation);
  const count = known.count + sign;
  const bytes = known.bytes + sign * (record.request?.body.length ?? 0);
  if (count > 0) tables.deferredLoads.set(organisation, { count, bytes });
  else tables.deferredLoads.delete(organisation);
};

/** The tables as stored in a snapshot. */
export interface LedgerSnapshot {
  readonly now: number;
  readonly differences: number;
  readonly sessions: readonly (readonly [string, Session])[];
  readonly claims: readonly (readonly [string, Claim])[];
  readonly requests: readonly RequestRecord[];
  readonly bills: readonly Bill[];
  readonly totals: readonly (readonly [string, BillTotal])[];
  readonly queues: readonly (readonly [string, readonly string[]])[];
  readonly gone: readonly (readonly [string, number])[];
}

/** Converts the tables to a JSON value. */
export const snapshotTables = (tables: Tables): LedgerSnapshot => ({
  now: tables.now,
  differences: tables.differences,
  sessions: [...tables.sessions],
  claims: [...tables.claims],
  requests: [...tables.requests.values()],
  bills: [...tables.bills.values()],
  totals: [...tables.totals],
  queues: [...tables.queues],
  gone: [...tables.minLiveIncarnations],
});

/** Restores the tables from a JSON value. */
export const restoreTables = (saved: LedgerSnapshot): Tables => {
  const tables: Tables = {
    ...createTables(),
    now: saved.now,
    differences: saved.differences,
    sessions: new Map(saved.sessions),
    claims: new Map(saved.claims),
    bills: new Map(saved.bills.map((bill) => [bill.requestId, bill])),
    totals: new Map(saved.totals),
    queues: new Map(saved.queues),
    minLiveIncarnations: new Map(saved.gone),
  };
  saved.requests.forEach((record) => writeRequest(tables, record));
  for (const id of [...tables.queues.values()].flat()) {
    updateDeferredLoad(tables, tables.requests.get(id)!, 1);
  }
  return tables;
};
