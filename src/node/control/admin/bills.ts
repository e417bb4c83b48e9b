import type { Usage } from '../../ledger';
import type { BillFilter, BillPeriod, BillRow, BillsQuery } from '../../shared';

/** Fields of a bill that are aggregated. */
export interface BillItem {
  readonly organisation: string;
  readonly usage: readonly Usage[];
  /** Time in milliseconds since the epoch. */
  readonly at: number;
}

/** Total of the bills of one hour whose single bills are no longer kept. */
export interface BillTotalItem extends Omit<BillRow, 'period'> {
  /** Start of the hour in milliseconds since the epoch. */
  readonly hour: number;
}

const PERIOD_FORMATS: Readonly<Record<BillPeriod, (time: string) => string>> = {
  hour: (time) => `${time.slice(0, 13)}:00Z`,
  day: (time) => time.slice(0, 10),
  month: (time) => time.slice(0, 7),
  all: () => 'all',
};

const MICRO = 1_000_000;

const mergeRows = (known: BillRow | undefined, row: BillRow): BillRow => {
  if (!known) return row;
  const cost = Math.round((known.cost + row.cost) * MICRO) / MICRO;
  return {
    ...known,
    requests: known.requests + row.requests,
    inputTokens: known.inputTokens + row.inputTokens,
    outputTokens: known.outputTokens + row.outputTokens,
    cost,
  };
};

// Each run counts its own tokens, but a request counts only once, with its last run, which produced
// the answer.
const listBillRows = (bill: BillItem, period: string): readonly BillRow[] =>
  bill.usage.map((usage, index) => ({
    organisation: bill.organisation,
    period,
    model: usage.model,
    version: usage.version,
    requests: index === bill.usage.length - 1 ? 1 : 0,
    inputTokens: usage.inputTokens,
    outputTokens: usage.outputTokens,
    cost: usage.cost,
  }));

const isInTime = (at: number, query: BillFilter): boolean => {
  const isAfter = query.from === undefined || at >= Date.parse(query.from);
  return isAfter && (query.to === undefined || at < Date.parse(query.to));
};

/** Returns the bills that match a filter, one per request. */
export const listMatchingBills = <T extends BillItem>(
  bills: readonly T[],
  filter: BillFilter,
): readonly T[] => {
  const { organisation, model } = filter;
  return bills.filter(
    (bill) =>
      isInTime(bill.at, filter) &&
      (organisation ?? bill.organisation) === bill.organisation &&
      (model === undefined || bill.usage.some((usage) => usage.model === model)),
  );
};

const compareRows = (a: BillRow, b: BillRow): number =>
  a.organisation.localeCompare(b.organisation) ||
  a.period.localeCompare(b.period) ||
  a.model.localeCompare(b.model) ||
  a.version.localeCompare(b.version);

/** Aggregates bills by organisation, period, model and version. */
export const computeBillRows = (
  bills: readonly BillItem[],
  totals: readonly BillTotalItem[],
  query: BillsQuery,
): readonly BillRow[] => {
  const formatPeriod = (at: number): string =>
    PERIOD_FORMATS[query.period](new Date(at).toISOString());
  const billRows = bills
    .filter(({ at }) => isInTime(at, query))
    .flatMap((bill) => listBillRows(bill, formatPeriod(bill.at)));
  const totalRows = totals
    .filter(({ hour }) => isInTime(hour, query))
    .map(({ hour, ...row }) => ({ ...row, period: formatPeriod(hour) }));
  const sums = new Map<string, BillRow>();
  for (const row of [...billRows, ...totalRows]) {
    const isWanted =
      (query.organisation ?? row.organisation) === row.organisation &&
      (query.model ?? row.model) === row.model;
    const key = [row.organisation, row.period, row.model, row.version].join('\n');
    if (isWanted) sums.set(key, mergeRows(sums.get(key), row));
  }
  return [...sums.values()].sort(compareRows);
};
