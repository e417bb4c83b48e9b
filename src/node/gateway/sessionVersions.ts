/** The version that a session is bound to. */
export interface SessionVersion {
  readonly version: string;
  /** Milliseconds since the session's latest request was sent or ended. */
  readonly ageMs: number;
}

/** Remembers, for each session, the version that its latest request through this gateway ran on. */
export interface SessionVersions {
  readonly find: (service: string, session: string, now: number) => SessionVersion | undefined;
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
      if (!row || now - row.at > sessionMs) return undefined;
      return { version: row.version, ageMs: now - row.at };
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
