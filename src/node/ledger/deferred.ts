import { addReports, closeEndedAttempts, writeRecord } from './attempts';
import { claimKey } from './claims';
import { DEFERRED_LIFETIME_MS } from './retention';
import {
  formatScopedName,
  hasOwnerEnded,
  isSettled,
  readDeferredLoad,
  updateDeferredLoad,
  writeRequest,
  type Tables,
} from './tables';
import type { LedgerCommand, LedgerResult, Owner, RequestRecord } from './types';

type Command<T extends LedgerCommand['type']> = Extract<LedgerCommand, { readonly type: T }>;

/** Maximum number of deferred requests in the queues of one organisation. */
export const DEFERRED_COUNT_LIMIT = 10_000;
/** Maximum size of the deferred requests in the queues of one organisation, in bytes of base64. */
export const DEFERRED_BYTES_LIMIT = 67_108_864;

const formatQueueName = (record: RequestRecord): string =>
  formatScopedName(record.organisation, record.session!);

const findLimitReason = (tables: Tables, command: Command<'defer'>): string | undefined => {
  const { count, bytes } = readDeferredLoad(tables, command.organisation);
  if (count >= DEFERRED_COUNT_LIMIT) return 'too many deferred requests are waiting';
  if (bytes + command.request.body.length <= DEFERRED_BYTES_LIMIT) return undefined;
  return 'the waiting deferred requests are too large in total';
};

const addToQueue = (tables: Tables, record: RequestRecord): void => {
  const name = formatQueueName(record);
  tables.queues.set(name, [...(tables.queues.get(name) ?? []), record.requestId]);
  updateDeferredLoad(tables, record, 1);
};

/** Removes a settled deferred request from the queue of its session. */
export const removeFromQueue = (tables: Tables, record: RequestRecord): void => {
  if (record.request === undefined) return;
  const name = formatQueueName(record);
  const known = tables.queues.get(name) ?? [];
  if (!known.includes(record.requestId)) return;
  const rest = known.filter((id) => id !== record.requestId);
  if (rest.length > 0) tables.queues.set(name, rest);
  else tables.queues.delete(name);
  updateDeferredLoad(tables, record, -1);
};

/** Appends a deferred request to the queue of its session, or refuses it. */
export const applyDefer = (tables: Tables, command: Command<'defer'>): LedgerResult => {
  const { requestId, organisation, session, idempotent, request, claim, at } = command;
  if (tables.requests.has(requestId)) return { type: 'recorded', first: false };
  const reason = findLimitReason(tables, command);
  if (reason !== undefined) return { type: 'refused', reason };
  const claimRefusal = claim && claimKey(tables, { organisation, requestId, at, ...claim });
  if (claimRefusal) return claimRefusal;
  const record: RequestRecord = {
    requestId,
    organisation,
    state: 'queued',
    attempts: [],
    key: claim?.key,
    session,
    idempotent,
    request,
    at,
  };
  writeRequest(tables, record);
  addToQueue(tables, record);
  return { type: 'recorded', first: true };
};

const settleDeferred = (
  tables: Tables,
  record: RequestRecord,
  state: 'failed' | 'unknown',
  at: number,
): void => {
  writeRecord(tables, { ...record, state, settledAt: at }, at);
  removeFromQueue(tables, record);
};

const canRunAgain = (record: RequestRecord): boolean =>
  record.idempotent === true || record.attempts.every((item) => item.state === 'never');

/** Returns a deferred request to its queue if its owner has ended, or settles it as `unknown`. */
export const releaseOrphan = (tables: Tables, record: RequestRecord, at: number): void => {
  const isOrphan = record.state === 'running' && hasOwnerEnded(tables, record.owner);
  if (record.request === undefined || !isOrphan) return;
  if (canRunAgain(record))
    writeRecord(tables, { ...record, state: 'queued', owner: undefined }, at);
  else settleDeferred(tables, record, 'unknown', at);
};

const isSameOwner = (a: Owner | undefined, b: Owner): boolean =>
  a?.node === b.node && a.incarnation === b.incarnation;

const isReadyToRun = (record: RequestRecord, at: number): boolean =>
  record.state === 'queued' && (record.notBefore ?? 0) <= at;

// The answer to an earlier `take` may have been lost. The owner does not know the request then.
const isUnknownToOwner = (record: RequestRecord, command: Command<'take'>): boolean =>
  record.state === 'running' &&
  isSameOwner(record.owner, command.owner) &&
  !command.holds.includes(record.requestId);

const acquireRecord = (tables: Tables, record: RequestRecord, owner: Owner): RequestRecord =>
  writeRequest(tables, { ...record, state: 'running', owner, takes: (record.takes ?? 0) + 1 });

/** Assigns the first queued request of up to `limit` sessions to an owner. */
export const applyTake = (tables: Tables, command: Command<'take'>): LedgerResult => {
  const { owner, limit, at } = command;
  const records: RequestRecord[] = [];
  if (hasOwnerEnded(tables, owner)) return { type: 'taken', records };
  for (const ids of [...tables.queues.values()]) {
    if (records.length >= limit) break;
    const record = tables.requests.get(ids[0]!)!;
    const isLost = isUnknownToOwner(record, command);
    if (isLost && !canRunAgain(record)) settleDeferred(tables, record, 'unknown', at);
    else if (isLost || isReadyToRun(record, at)) records.push(acquireRecord(tables, record, owner));
  }
  return { type: 'taken', records };
};

/** Returns an unfinished request to the head of its session's queue, or settles it. */
export const applyRelease = (tables: Tables, command: Command<'release'>): LedgerResult => {
  const { requestId, organisation, owner, reports, notBefore, at } = command;
  const known = tables.requests.get(requestId);
  if (known?.organisation !== organisation || known.request === undefined) {
    return { type: 'refused', reason: 'deferred request not found in this organisation' };
  }
  const record = closeEndedAttempts(tables, addReports(tables, known, reports));
  writeRecord(tables, record, at);
  const isOwn = record.owner?.node === owner.node && record.owner.incarnation === owner.incarnation;
  if (isSettled(record) || !isOwn) return { type: 'recorded', first: false };
  if (!canRunAgain(record)) settleDeferred(tables, record, 'unknown', at);
  else if (at - record.at > DEFERRED_LIFETIME_MS) settleDeferred(tables, record, 'failed', at);
  else writeRequest(tables, { ...record, state: 'queued', owner: undefined, notBefore });
  return { type: 'recorded', first: true };
};
