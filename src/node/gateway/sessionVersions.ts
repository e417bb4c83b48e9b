/** Remembers, for each session, the version that its latest request through this gateway ran on. */
export interface SessionVersions {
  readonly find: (service: string, session: string, now: number) => string | undefined;
  readonly record: (service: string, session: string, version: string, now: number) => void;
  /** Removes sessions that have ended. */
  readonly expire: (now: number) => void;
}

interface Row {
  readonly version: string;
  readonly at: number;
}

/** Creates an empty table. A session ends `sessionMs` milliseconds after its latest request. */
export const createSessionVersions = (sessionMs: number): SessionVersions => {
  const rows = new Map<string, Row>();
  return {
    find: (service, session, now) => {
      const row = rows.get(`${service}|${session}`);
      return row && now - row.at <= sessionMs ? row.version : undefined;
    },
    record: (service, session, version, now) => {
      const name = `${service}|${session}`;
      // Deleting the row first moves it to the end, so rows stay in the order in which they expire.
      rows.delete(name);
      rows.set(name, { version, at: now });
    },
    expire: (now) => {
      for (const [name, { at }] of rows) {
        if (now - at <= sessionMs) return;
        rows.delete(name);
      }
    },
  };
};
