import type { EndpointRecord, EndpointReport } from './types';

/** Settings of a registry. */
export interface RegistryOptions {
  /** Silence in milliseconds after which an endpoint counts as lost. */
  readonly reportTimeoutMs: number;
  /** Time in milliseconds for which an ended endpoint is remembered, against late reports. */
  readonly retentionMs: number;
}

/** What became of a report. */
export type ReportOutcome = 'added' | 'changed' | 'refreshed' | 'late';

/** The endpoints that have reported to this process. Times are steady milliseconds. */
export interface Registry {
  readonly applyReport: (report: EndpointReport, now: number) => ReportOutcome;
  /** Notes that an endpoint has left; false when it is not known. */
  readonly applyLeave: (id: string, startedAt: number | undefined, now: number) => boolean;
  /** Marks endpoints that have fallen silent, forgets old ones and gives the ids that changed. */
  readonly expire: (now: number) => readonly string[];
  readonly find: (id: string) => EndpointRecord | undefined;
  readonly list: () => readonly EndpointRecord[];
  /** Counts changes other than refreshed reports. */
  readonly revision: () => number;
  /** Lists the records that changed after a revision. */
  readonly listSince: (revision: number) => readonly EndpointRecord[];
}

interface Row {
  readonly record: EndpointRecord;
  readonly revision: number;
}

const isNewer = (a: EndpointReport, b: EndpointReport): boolean =>
  a.startedAt > b.startedAt || (a.startedAt === b.startedAt && a.sequence > b.sequence);

const isSameContent = (a: EndpointReport, b: EndpointReport): boolean =>
  a.startedAt === b.startedAt &&
  a.service === b.service &&
  a.address === b.address &&
  a.zone === b.zone &&
  a.version === b.version &&
  a.slots === b.slots &&
  a.warmupMs > 0 === b.warmupMs > 0;

/** Creates an empty registry: soft state that the next reports of the endpoints fill again. */
export const createRegistry = (options: RegistryOptions): Registry => {
  const rows = new Map<string, Row>();
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
    const isSameLife = known.report.startedAt === report.startedAt;
    // Leaving is final for an incarnation; only a new start brings the endpoint back.
    const isEnded = isSameLife && known.state === 'gone';
    if (isEnded || !isNewer(report, known.report)) return 'late';
    const wasDraining = isSameLife && known.report.state === 'draining';
    const state = wasDraining ? 'draining' : report.state;
    const record: EndpointRecord = { report: { ...report, state }, state, heardAt: now };
    if (known.state === state && isSameContent(known.report, report)) {
      const row = rows.get(report.id)!;
      rows.set(report.id, { ...row, record });
      return 'refreshed';
    }
    updateRow(record);
    return 'changed';
  };

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
        } else if (!isLive && age > options.retentionMs) {
          rows.delete(id);
        }
      }
      return changed;
    },
    find: (id) => rows.get(id)?.record,
    list: () => [...rows.values()].map(({ record }) => record),
    revision: () => revision,
    listSince: (since) =>
      [...rows.values()].filter((row) => row.revision > since).map(({ record }) => record),
  };
};
