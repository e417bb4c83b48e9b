import { formatIncarnation } from './incarnation';
import type { EndpointRecord, EndpointReport } from './types';

/** An endpoint as seen by a gateway, merged from the records of all control hosts. */
export interface KnownEndpoint {
  readonly report: EndpointReport;
  /** Whether the endpoint accepts new work. */
  readonly isReady: boolean;
  /** Whether no control host has heard from the endpoint lately, so that it may be cold. */
  readonly isOverdue?: boolean;
}

const ORDER: Readonly<Record<EndpointRecord['state'], number>> = {
  silent: 0,
  ready: 1,
  draining: 2,
  gone: 3,
};

// Within one incarnation the state of an endpoint only advances towards its end. `silent` ranks
// lowest: reports missing at one host do not outweigh a report received at another.
const isPreferred = (a: EndpointRecord, b: EndpointRecord): boolean => {
  if (a.report.startedAt !== b.report.startedAt) return a.report.startedAt > b.report.startedAt;
  if (ORDER[a.state] !== ORDER[b.state]) return ORDER[a.state] > ORDER[b.state];
  return a.report.sequence > b.report.sequence;
};

const chooseByKey = (
  records: readonly EndpointRecord[],
  readKey: (record: EndpointRecord) => string,
): readonly EndpointRecord[] => {
  const best = new Map<string, EndpointRecord>();
  for (const record of records) {
    const key = readKey(record);
    const known = best.get(key);
    if (!known || isPreferred(record, known)) best.set(key, record);
  }
  return [...best.values()];
};

const listHeard = (records: readonly EndpointRecord[]): ReadonlySet<string> =>
  new Set(
    records
      .filter(({ state, isOverdue }) => state === 'ready' && isOverdue !== true)
      .map(({ report }) => formatIncarnation(report)),
  );

/**
 * Merges the records of several control hosts to the newest incarnation per endpoint and address.
 */
export const mergeRecords = (
  lists: readonly (readonly EndpointRecord[])[],
): readonly KnownEndpoint[] => {
  const records = lists.flat();
  const heard = listHeard(records);
  const byId = chooseByKey(records, (record) => record.report.id);
  return chooseByKey(byId, (record) => record.report.address)
    .filter((record) => record.state === 'ready' || record.state === 'draining')
    .map((record) => {
      const isReady = record.state === 'ready';
      const isOverdue = isReady && !heard.has(formatIncarnation(record.report));
      const endpoint = { report: record.report, isReady };
      return isOverdue ? { ...endpoint, isOverdue } : endpoint;
    });
};
