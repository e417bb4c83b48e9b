/** The version that the latest request of each session ran on at this gateway. */
export interface SessionVersions {
  readonly find: (service: string, session: string, now: number) => string | undefined;
  readonly record: (service: string, session: string, version: string, now: number) => void;
  /** Forgets sessions whose time is over. */
  readonly expire: (now: number) => void;
}

interface Row {
  readonly version: string;
  readonly at: number;
}

/** Creates an empty table; a session ends `sessionMs` after its latest request. */
export const createSessionVersions = (sessionMs: number): SessionVersions => {
  const rows = new Map<string, Row>();
  return {
    find: (service, session, now) => {
      const row = rows.get(`${service}|${session}`);
      return row && now - row.at <= sessionMs ? row.version : undefined;
    },
    record: (service, session, version, now) => {
      const name = `${service}|${session}`;
      // Rows stand in the order of their latest use, which is the order in which they end.
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
