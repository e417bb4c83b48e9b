import type { EndpointRecord, EndpointReport } from './types';

/** Options of a registry. */
export interface RegistryOptions {
  /** Time without a report after which an endpoint is marked `silent`, in milliseconds. */
  readonly reportTimeoutMs: number;
  /**
   * Time for which the record of an ended endpoint is kept to reject late reports, in milliseconds.
   */
  readonly retentionMs: number;
  /**
   * Time without a report after which an endpoint may have become cold unnoticed, in milliseconds.
   */
  readonly overdueMs?: number;
  /** Whether it matters if endpoints of a service are cold. */
  readonly hasColdStart?: (service: string) => boolean;
}

/** Result of applying a report. */
export type ReportOutcome = 'added' | 'changed' | 'refreshed' | 'late';

/**
 * The endpoints that have reported to this process. Times are milliseconds of a monotonic clock.
 */
export interface Registry {
  readonly applyReport: (report: EndpointReport, now: number) => ReportOutcome;
  /**
   * Records that an endpoint has left; returns false if it is unknown or has started again since.
   */
  readonly applyLeave: (id: string, startedAt: number | undefined, now: number) => boolean;
  /**
   * Marks endpoints whose reports are overdue or have stopped, removes old records and returns the
   * ids of the newly marked endpoints.
   */
  readonly expire: (now: number) => readonly string[];
  /** Counts each report of these endpoints as a change for a while; a gateway doubts them. */
  readonly follow: (ids: readonly string[], now: number) => void;
  readonly find: (id: string) => EndpointRecord | undefined;
  readonly list: () => readonly EndpointRecord[];
  /** Number of changes so far, not counting refreshed reports. */
  readonly revision: () => number;
  /** Reads up to `limit` of the records that changed after a revision, the earliest first. */
  readonly readChanges: (since: number, limit: number) => RegistryChanges;
}

/** Some of the records that changed after a revision. */
export interface RegistryChanges {
  readonly records: readonly EndpointRecord[];
  /** The revision up to which the records are complete. */
  readonly revision: number;
  readonly hasMore: boolean;
}

interface Row {
  readonly record: EndpointRecord;
  readonly revision: number;
}

/** How long the reports of an endpoint count as changes after a gateway has asked for them. */
const FOLLOW_MS = 3_000;

const isNewer = (a: EndpointReport, b: EndpointReport): boolean =>
  a.startedAt > b.startedAt || (a.startedAt === b.startedAt && a.sequence > b.sequence);

const hasSameContent = (a: EndpointReport, b: EndpointReport): boolean =>
  a.startedAt === b.startedAt &&
  a.service === b.service &&
  a.address === b.address &&
  a.zone === b.zone &&
  a.version === b.version &&
  a.slots === b.slots &&
  a.warmupMs > 0 === b.warmupMs > 0 &&
  // Otherwise it has become cold again in the meantime.
  b.warmupMs <= a.warmupMs;

/** Creates an empty registry. It holds soft state that endpoint reports restore after a restart. */
export const createRegistry = (options: RegistryOptions): Registry => {
  const rows = new Map<string, Row>();
  const followedUntil = new Map<string, number>();
  let revision = 0;

  const updateRow = (record: EndpointRecord): void => {
    revision += 1;
    rows.set(record.report.id, { record, revision });
  };

  // An address belongs to the newest incarnation that has reported from it.
  const removeReplaced = (report: EndpointReport, now: number): void => {
    for (const { record } of rows.values()) {
      const isOther = record.report.id !== report.id && record.state !== 'gone';
      const isEarlier = record.report.startedAt < report.startedAt;
      if (isOther && isEarlier && record.report.address === report.address) {
        updateRow({ ...record, state: 'gone', heardAt: now });
      }
    }
  };

  const hasNewerAtAddress = (report: EndpointReport): boolean =>
    [...rows.values()].some(
      ({ record }) =>
        record.report.id !== report.id &&
        record.report.address === report.address &&
        record.report.startedAt > report.startedAt,
    );

  const applyKnown = (known: EndpointRecord, report: EndpointReport, now: number) => {
    const isSameIncarnation = known.report.startedAt === report.startedAt;
    // Leaving is final for an incarnation; the endpoint only returns with a new start.
    const isEnded = isSameIncarnation && known.state === 'gone';
    if (isEnded || !isNewer(report, known.report)) return 'late';
    const wasDraining = isSameIncarnation && known.report.state === 'draining';
    const state = wasDraining ? 'draining' : report.state;
    const record: EndpointRecord = { report: { ...report, state }, state, heardAt: now };
    if (known.state === state && hasSameContent(known.report, report)) {
      const row = rows.get(report.id)!;
      const isFollowed = (followedUntil.get(report.id) ?? 0) > now;
      if (known.isOverdue || isFollowed) updateRow(record);
      else rows.set(report.id, { ...row, record });
      return 'refreshed';
    }
    updateRow(record);
    return 'changed';
  };

  const isNewlyOverdue = ({ report, isOverdue }: EndpointRecord, age: number): boolean =>
    isOverdue !== true &&
    age > (options.overdueMs ?? Infinity) &&
    options.hasColdStart?.(report.service) === true;

  return {
    applyReport: (report, now) => {
      if (hasNewerAtAddress(report)) return 'late';
      const known = rows.get(report.id)?.record;
      if (!known) updateRow({ report, state: report.state, heardAt: now });
      const outcome = known ? applyKnown(known, report, now) : 'added';
      if (outcome !== 'late') removeReplaced(report, now);
      return outcome;
    },
    applyLeave: (id, startedAt, now) => {
      const known = rows.get(id)?.record;
      if (!known) return false;
      if (startedAt !== undefined && startedAt < known.report.startedAt) return false;
      if (known.state !== 'gone') updateRow({ ...known, state: 'gone', heardAt: now });
      return true;
    },
    expire: (now) => {
      const changed: string[] = [];
      for (const [id, { record }] of rows) {
        const age = now - record.heardAt;
        const isLive = record.state === 'ready' || record.state === 'draining';
        if (isLive && age > options.reportTimeoutMs) {
          updateRow({ ...record, state: 'silent' });
          changed.push(id);
        } else if (isLive && isNewlyOverdue(record, age)) {
          updateRow({ ...record, isOverdue: true });
          changed.push(id);
        } else if (!isLive && age > options.retentionMs) {
          rows.delete(id);
        }
      }
      for (const [id, until] of followedUntil) {
        if (until <= now) followedUntil.delete(id);
      }
      return changed;
    },
    follow: (ids, now) => ids.forEach((id) => followedUntil.set(id, now + FOLLOW_MS)),
    find: (id) => rows.get(id)?.record,
    list: () => [...rows.values()].map(({ record }) => record),
    revision: () => revision,
    readChanges: (since, limit) => {
      const changed = [...rows.values()].filter((row) => row.revision > since);
      const hasMore = changed.length > limit;
      const first = hasMore
        ? changed.sort((a, b) => a.revision - b.revision).slice(0, limit)
        : changed;
      return {
        records: first.map(({ record }) => record),
        revision: hasMore ? first.at(-1)!.revision : revision,
        hasMore,
      };
    },
  };
};
