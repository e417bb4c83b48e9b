/** The version that a session is bound to. */
export interface SessionVersion {
  readonly version: string;
  /** Milliseconds since the session's latest request was sent or ended. */
  readonly ageMs: number;
}

/** A session with its version. */
export interface SessionRecord {
  readonly service: string;
  readonly session: string;
  readonly version: string;
}

/** Remembers, for each session, the version that its latest request ran on. */
export interface SessionVersions {
  readonly find: (service: string, session: string, now: number) => SessionVersion | undefined;
  readonly record: (record: SessionRecord, now: number) => void;
  /**
   * Records a request that is sent. The session does not end before the returned function has been
   * called with the time at which the request ended.
   */
  readonly start: (record: SessionRecord, now: number) => (endedAt: number) => void;
  /** Lists the sessions that were recorded or in use after `since`. */
  readonly listRecent: (since: number) => readonly SessionRecord[];
  /** Removes sessions that have ended. */
  readonly expire: (now: number) => void;
}

interface Row extends SessionRecord {
  readonly at: number;
  /** Requests in progress. */
  readonly running: number;
}

/** Creates an empty table. A session ends `sessionMs` milliseconds after its latest request. */
export const createSessionVersions = (sessionMs: number): SessionVersions => {
  const rows = new Map<string, Row>();

  // Deleting the row first moves it to the end, so rows stay in the order of their times.
  const updateRow = (record: SessionRecord, at: number, startedRequests: number): void => {
    const key = `${record.service}|${record.session}`;
    const running = Math.max(0, (rows.get(key)?.running ?? 0) + startedRequests);
    const { service, session, version } = record;
    rows.delete(key);
    rows.set(key, { service, session, version, at, running });
  };

  return {
    find: (service, session, now) => {
      const row = rows.get(`${service}|${session}`);
      if (!row || (row.running === 0 && now - row.at > sessionMs)) return undefined;
      return { version: row.version, ageMs: now - row.at };
    },
    record: (record, now) => updateRow(record, now, 0),
    start: (record, now) => {
      updateRow(record, now, 1);
      let isOpen = true;
      return (endedAt) => {
        if (isOpen) updateRow(record, endedAt, -1);
        isOpen = false;
      };
    },
    listRecent: (since) => [...rows.values()].filter(({ at }) => at >= since),
    expire: (now) => {
      for (const [key, row] of rows) {
        const ageMs = now - row.at;
        if (ageMs <= sessionMs / 2) return;
        // A request in progress keeps its session alive, here and for the other gateways.
        if (row.running > 0) updateRow(row, now, 0);
        else if (ageMs > sessionMs) rows.delete(key);
      }
    },
  };
};
