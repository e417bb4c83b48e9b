import {
  addDoubt,
  isDoubted,
  resolveColdState,
  updateObservation,
  type ColdObservation,
  type ColdState,
} from '../decisions';
import type { Logger } from '../log';
import { formatIncarnation, type EndpointReport, type KnownEndpoint } from '../registry';
import type { SharedDoubt } from '../routingControl';

/**
 * Knows which endpoints are warm or cold, and of which this is not known. Times are monotonic, in
 * milliseconds.
 */
export interface ColdStates {
  /** Whether an endpoint is known to be warm. */
  readonly isWarm: (endpoint: EndpointReport, now: number) => boolean;
  /** Whether no report has arrived that was made after the latest doubt. */
  readonly isDoubted: (endpoint: EndpointReport) => boolean;
  /** Records the latest reports of endpoints, and whether reports are missing. */
  readonly recordEndpoints: (endpoints: readonly KnownEndpoint[], now: number) => void;
  /** Records that an endpoint's connection was lost; `reports` are the ones that arrived before. */
  readonly recordLoss: (
    endpoint: EndpointReport,
    reports: readonly EndpointReport[],
    now: number,
  ) => void;
  /** Records the doubt of another gateway. */
  readonly recordPeerDoubt: (doubt: SharedDoubt, now: number) => void;
  /** Lists the doubts that no report has settled. */
  readonly listDoubts: (now: number) => readonly SharedDoubt[];
  /** Removes endpoints that were not seen for a while. */
  readonly expire: (now: number) => void;
}

interface Row {
  readonly seen: ColdObservation;
  /** Whether the latest record said that reports are missing. */
  readonly isOverdue: boolean;
  readonly state: ColdState;
  /** Time of the latest look at the endpoint. */
  readonly usedAt: number;
}

/** Rows of endpoints that are gone are dropped after this time, in milliseconds. */
const ROW_MEMORY_MS = 60_000;
/** How often it is recorded that an endpoint is still there, in milliseconds. */
const USE_RECORD_MS = 10_000;
/**
 * Doubts of other gateways that differ by less than this are the same one: their ages include the
 * time that an answer took, 400 ms at most.
 */
const SAME_DOUBT_MS = 500;

/** Doubts about endpoints that no control host has reported yet are kept for this time. */
const EARLY_DOUBT_MS = 10_000;

/** Creates an empty table. */
export const createColdStates = (log: Logger): ColdStates => {
  /** By incarnation. */
  const rows = new Map<string, Row>();
  /** Times of other gateways' doubts about endpoints that this one does not know yet. */
  const earlyDoubts = new Map<string, number>();

  const updateRow = (key: string, next: Omit<Row, 'state' | 'usedAt'>, now: number): Row => {
    const { seen, isOverdue } = next;
    const before = rows.get(key)?.state ?? 'warm';
    const state = resolveColdState(seen, now);
    const row = { ...next, state, usedAt: now };
    rows.set(key, row);
    if (state === before) return row;
    const { sequence, warmupMs, arrivedAt, doubt } = seen;
    const ages = {
      reportAgeMs: Math.round(now - arrivedAt),
      doubtAgeMs: doubt && Math.round(now - doubt.at),
    };
    log.info(
      { incarnation: key, before, state, sequence, warmupMs, ...ages, isOverdue },
      'endpoint changed its cold state',
    );
    return row;
  };

  const isUnchanged = (row: Row, { sequence }: EndpointReport, now: number): boolean =>
    sequence <= row.seen.sequence &&
    resolveColdState(row.seen, now) === row.state &&
    now - row.usedAt < USE_RECORD_MS;

  // Called for every endpoint of every choice.
  const recordReport = (report: EndpointReport, now: number): Row => {
    const key = formatIncarnation(report);
    const known = rows.get(key);
    if (known && isUnchanged(known, report, now)) return known;
    const updated = updateObservation(known?.seen, report, now);
    const doubtedAt = known ? undefined : earlyDoubts.get(key);
    const seen = doubtedAt === undefined ? updated : addDoubt(updated, doubtedAt);
    return updateRow(key, { seen, isOverdue: known?.isOverdue === true }, now);
  };

  return {
    isWarm: (endpoint, now) => {
      const { state, isOverdue } = recordReport(endpoint, now);
      return state === 'warm' && !isOverdue;
    },
    isDoubted: (endpoint) => {
      const row = rows.get(formatIncarnation(endpoint));
      return row !== undefined && isDoubted(row.seen);
    },
    recordEndpoints: (endpoints, now) =>
      endpoints.forEach(({ report, isOverdue = false }) => {
        const row = recordReport(report, now);
        if (isOverdue === row.isOverdue) return;
        const seen = isOverdue ? addDoubt(row.seen, now) : row.seen;
        updateRow(formatIncarnation(report), { seen, isOverdue }, now);
      }),
    recordLoss: (endpoint, reports, now) => {
      // Reports that have arrived by now were made before the loss.
      reports.forEach((report) => recordReport(report, now));
      const row = recordReport(endpoint, now);
      updateRow(formatIncarnation(endpoint), { ...row, seen: addDoubt(row.seen, now) }, now);
    },
    recordPeerDoubt: ({ endpoint, ageMs }, now) => {
      const row = rows.get(endpoint);
      const at = now - ageMs;
      if (!row) earlyDoubts.set(endpoint, at);
      if (!row || (row.seen.doubt && at - row.seen.doubt.at < SAME_DOUBT_MS)) return;
      updateRow(endpoint, { ...row, seen: addDoubt(row.seen, at) }, now);
    },
    listDoubts: (now) =>
      [...rows].flatMap(([endpoint, { seen }]) =>
        seen.doubt && isDoubted(seen) ? [{ endpoint, ageMs: now - seen.doubt.at }] : [],
      ),
    expire: (now) => {
      for (const [key, { usedAt }] of rows) {
        if (now - usedAt > ROW_MEMORY_MS) rows.delete(key);
      }
      for (const [key, at] of earlyDoubts) {
        if (now - at > EARLY_DOUBT_MS) earlyDoubts.delete(key);
      }
    },
  };
};
