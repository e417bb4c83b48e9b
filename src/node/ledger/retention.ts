import { settleOrphan, computeOutcome, writeRecord } from './attempts';
import { hasOwnerEnded, isSettled, type Tables } from './tables';
import type { Bill, RequestRecord, Usage } from './types';

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const DAY_MS = 86_400_000;

/** How long an idempotency key is kept. Its answer is kept for `ANSWER_RETENTION_MS`. */
export const KEY_RETENTION_MS = 30 * DAY_MS;
/** How long a settled request with a key is kept, together with its answer. */
export const ANSWER_RETENTION_MS = DAY_MS;
/** How long the result of a settled deferred request is kept. */
export const RESULT_RETENTION_MS = 7 * DAY_MS;
/** How long any other settled request is kept. */
export const REQUEST_RETENTION_MS = 15 * MINUTE_MS;
/** Maximum time for which an agent keeps an attempt for its entry. */
export const ATTEMPT_RETENTION_MS = HOUR_MS;
/** A deferred request that could not be run within this time fails. */
export const DEFERRED_LIFETIME_MS = DAY_MS;
/** How long the binding of a session is kept after its last use. */
export const SESSION_RETENTION_MS = 90 * DAY_MS;
/** How long an individual bill is kept. Afterwards it is added to the total of its hour. */
export const BILL_RETENTION_MS = DAY_MS;
/** How long an hourly total is kept. */
export const TOTAL_RETENTION_MS = 400 * DAY_MS;

const computeRetention = (record: RequestRecord): number => {
  if (record.request) return RESULT_RETENTION_MS;
  return record.key === undefined ? REQUEST_RETENTION_MS : ANSWER_RETENTION_MS;
};

const expireRequests = (tables: Tables): void => {
  for (const record of tables.requests.values()) {
    const age = tables.now - (record.settledAt ?? tables.now);
    if (isSettled(record) && age > computeRetention(record)) {
      tables.requests.delete(record.requestId);
      tables.openRequestIds.delete(record.requestId);
    }
  }
};

// Agents keep attempts no longer than this, so nothing can complete an older request.
const settleAbandoned = (tables: Tables, record: RequestRecord): RequestRecord => {
  const isAbandoned =
    record.state === 'running' &&
    hasOwnerEnded(tables, record.owner) &&
    tables.now - record.at > ATTEMPT_RETENTION_MS;
  if (!isAbandoned) return record;
  const neverRan = computeOutcome(record) === 'not_run';
  return { ...record, state: neverRan ? 'not_run' : 'unknown', settledAt: tables.now };
};

const settleOpen = (tables: Tables): void => {
  for (const id of [...tables.openRequestIds]) {
    const record = tables.requests.get(id)!;
    const next = settleAbandoned(tables, settleOrphan(tables, record, tables.now));
    if (next !== record) writeRecord(tables, next, tables.now);
  }
};

const formatTotalName = (bill: Bill, usage: Usage, hour: number): string =>
  [bill.organisation, usage.model, usage.version, hour].join('\n');

const addToTotals = (tables: Tables, bill: Bill): void => {
  const hour = Math.floor(bill.at / HOUR_MS) * HOUR_MS;
  bill.usage.forEach((usage, index) => {
    const name = formatTotalName(bill, usage, hour);
    const { organisation } = bill;
    const { model, version } = usage;
    const known = tables.totals.get(name);
    tables.totals.set(name, {
      organisation,
      model,
      version,
      hour,
      requests: (known?.requests ?? 0) + (index === 0 ? 1 : 0),
      inputTokens: (known?.inputTokens ?? 0) + usage.inputTokens,
      outputTokens: (known?.outputTokens ?? 0) + usage.outputTokens,
      cost: (known?.cost ?? 0) + usage.cost,
    });
  });
};

const expireBills = (tables: Tables): void => {
  for (const bill of tables.bills.values()) {
    if (tables.now - bill.at <= BILL_RETENTION_MS) break;
    if (tables.requests.has(bill.requestId)) continue;
    addToTotals(tables, bill);
    tables.bills.delete(bill.requestId);
  }
};

// Claims and sessions are ordered by their last use, so the oldest come first.
const expireOldest = <T extends { readonly at: number }>(
  table: Map<string, T>,
  oldest: number,
): void => {
  for (const [name, value] of table) {
    if (value.at >= oldest) break;
    table.delete(name);
  }
};

const expireTotals = (tables: Tables): void => {
  for (const [name, total] of tables.totals) {
    if (total.hour < tables.now - TOTAL_RETENTION_MS) tables.totals.delete(name);
  }
};

/**
 * Advances the clock of the ledger and removes records that have exceeded their retention period.
 */
export const applyExpiry = (tables: Tables, at: number): void => {
  tables.now = Math.max(tables.now, at);
  settleOpen(tables);
  expireRequests(tables);
  expireBills(tables);
  expireTotals(tables);
  expireOldest(tables.claims, tables.now - KEY_RETENTION_MS);
  expireOldest(tables.sessions, tables.now - SESSION_RETENTION_MS);
};
