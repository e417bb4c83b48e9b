import type { Bill, BillTotal, Owner, RequestRecord } from './types';

/** The version that a session is bound to; `at` is the last day of use. */
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

/** Deferred requests of one organisation that wait or run; bytes in base64. */
export interface DeferredLoad {
  readonly count: number;
  readonly bytes: number;
}

/** All that the ledger keeps. Every value is JSON. */
export interface Tables {
  /** The greatest time that an `expire` command carried, in milliseconds. */
  now: number;
  /** Reports that named another usage or outcome than the first one. */
  differences: number;
  readonly sessions: Map<string, Session>;
  readonly claims: Map<string, Claim>;
  readonly requests: Map<string, RequestRecord>;
  readonly bills: Map<string, Bill>;
  readonly totals: Map<string, BillTotal>;
  /** Ids of deferred requests by organisation and session, in order of arrival. */
  readonly queues: Map<string, readonly string[]>;
  /** Per node, the lowest incarnation that may still run. */
  readonly minLiveIncarnations: Map<string, number>;
  /** Ids of requests that are not settled or whose bill is not final; derived. */
  readonly openRequestIds: Set<string>;
  /** Deferred requests in queues, by organisation; derived. */
  readonly deferredLoads: Map<string, DeferredLoad>;
}

// The separator cannot stand in an organisation's name.
/** Formats a name that belongs to one organisation. */
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

/** Says whether an incarnation was declared gone. */
export const isOwnerGone = (tables: Tables, owner: Owner | undefined): boolean =>
  owner !== undefined && owner.incarnation < (tables.minLiveIncarnations.get(owner.node) ?? 0);

/** Says whether a request has its final state. */
export const isSettled = (record: RequestRecord): boolean =>
  record.state !== 'queued' && record.state !== 'running';

/** Says whether every attempt that may have run has its line of the bill. */
export const hasFinalBill = (record: RequestRecord): boolean =>
  isSettled(record) &&
  record.attempts.every((item) => item.state === 'never' || item.usage !== undefined);

/** Stores a request and keeps what is derived from it. */
export const writeRequest = (tables: Tables, record: RequestRecord): RequestRecord => {
  tables.requests.set(record.requestId, record);
  if (hasFinalBill(record)) tables.openRequestIds.delete(record.requestId);
  else tables.openRequestIds.add(record.requestId);
  return record;
};

const NO_LOAD: DeferredLoad = { count: 0, bytes: 0 };

/** Gives the deferred requests of an organisation that are in queues. */
export const readDeferredLoad = (tables: Tables, organisation: string): DeferredLoad =>
  tables.deferredLoads.get(organisation) ?? NO_LOAD;

/** Counts a deferred request in or out. */
export const updateDeferredLoad = (tables: Tables, record: RequestRecord, sign: 1 | -1): void => {
  const { organisation } = record;
  const known = readDeferredLoad(tables, organisation);
  const count = known.count + sign;
  const bytes = known.bytes + sign * (record.request?.body.length ?? 0);
  if (count > 0) tables.deferredLoads.set(organisation, { count, bytes });
  else tables.deferredLoads.delete(organisation);
};

/** The JSON form of the tables. */
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

/** Gives the tables as one JSON value. */
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

/** Takes the tables from a JSON value. */
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
