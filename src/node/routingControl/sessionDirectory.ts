import { randomUUID } from 'node:crypto';
import { z } from 'zod';

/** Schema of a session of a service that is bound to a version. */
export const boundSessionSchema = z.strictObject({
  service: z.string(),
  session: z.string(),
  version: z.string(),
});

/** A session of a service that is bound to a version. */
export type BoundSession = Readonly<z.infer<typeof boundSessionSchema>>;

/** Schema of the parameters of `session.bind`. */
export const bindSessionsParams = z.strictObject({
  gateway: z.string(),
  /** Idle time after which a session ends, in milliseconds. */
  sessionMs: z.number().min(0),
  /** Sessions that this gateway has served since its last call. */
  recorded: z.array(boundSessionSchema).max(20_000).readonly(),
  /** Sessions that this gateway does not know, with the version that it would bind them to. */
  claimed: z.array(boundSessionSchema).max(1_000).readonly(),
});

/** Parameters of `session.bind`. */
export type BindSessionsParams = Readonly<z.infer<typeof bindSessionsParams>>;

/** Result of `session.bind`. */
export interface BindSessionsAnswer {
  /** Id of the directory. Another id means that the gateway must report all its sessions again. */
  readonly directory: string;
  /** The claimed sessions with the versions that they are bound to. */
  readonly bound: readonly BoundSession[];
  /** Whether sessions of other gateways may still be missing, so that no claim was granted. */
  readonly isIncomplete: boolean;
}

/** Knows the versions of the sessions of all gateways while a roll-out runs. */
export interface SessionDirectory {
  /** Records the sessions of a gateway and answers its claims. `now` is monotonic, in ms. */
  readonly bind: (params: BindSessionsParams, now: number) => BindSessionsAnswer;
}

interface Row {
  readonly version: string;
  readonly endsAt: number;
}

/** Longer than the interval of the gateways' reports, so that every gateway has reported by then. */
const COLLECTION_MS = 1_000;
/** Sessions of one minute at the target load; with more, the least recently used are dropped. */
const MAX_SESSIONS = 20_000;

const formatKey = ({ service, session }: Pick<BoundSession, 'service' | 'session'>): string =>
  `${service}|${session}`;

/** Creates an empty directory. */
export const createSessionDirectory = (directoryId: string = randomUUID()): SessionDirectory => {
  const rows = new Map<string, Row>();
  /** Start of the current series of calls, and its latest call. */
  let collectingSince = -Infinity;
  let calledAt = -Infinity;

  const recordRow = (key: string, row: Row): void => {
    // Deleting the row first moves it to the end, so the first row is the least recently used.
    rows.delete(key);
    rows.set(key, row);
    if (rows.size > MAX_SESSIONS) rows.delete(rows.keys().next().value!);
  };

  const expire = (now: number): void => {
    for (const [key, { endsAt }] of rows) {
      if (endsAt > now) return;
      rows.delete(key);
    }
  };

  // Gateways call only the leading control host, and only during a roll-out. After a pause this
  // host has missed sessions.
  const updateCollection = (now: number): void => {
    if (now - calledAt > COLLECTION_MS) collectingSince = now;
    calledAt = now;
  };

  return {
    bind: ({ sessionMs, recorded, claimed }, now) => {
      updateCollection(now);
      expire(now);
      const endsAt = now + sessionMs;
      recorded.forEach((item) => recordRow(formatKey(item), { version: item.version, endsAt }));
      const isIncomplete = now - collectingSince < COLLECTION_MS;
      const bound = claimed.flatMap((item) => {
        const key = formatKey(item);
        const known = rows.get(key);
        if (!known && isIncomplete) return [];
        const version = known?.version ?? item.version;
        recordRow(key, { version, endsAt });
        return [{ ...item, version }];
      });
      return { directory: directoryId, bound, isIncomplete };
    },
  };
};
