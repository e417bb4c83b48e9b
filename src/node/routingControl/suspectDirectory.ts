import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import {
  computeHoldMs,
  createSuspect,
  isForgotten,
  mergeSuspects,
  type Suspect,
} from '../decisions';

/** Schema of the kind of a suspect on the wire; a shared prompt block has none. */
const wireKindSchema = z.literal('request').optional();

/** Schema of what a gateway or the directory knows about a suspect; times are ages in milliseconds. */
export const suspectReportSchema = z.strictObject({
  service: z.string(),
  kind: wireKindSchema,
  /** Id of the prompt block, or fingerprint of the request. */
  block: z.string(),
  /** Position in the prompt; 0 for a request. */
  depth: z.number().int(),
  losses: z
    .array(
      z.strictObject({
        incarnation: z.string(),
        startedAgeMs: z.number(),
        lostAgeMs: z.number(),
        isAnswering: z.boolean(),
        companions: z.array(z.string()).max(50).readonly(),
        /** Absent in reports of earlier versions. */
        requests: z.array(z.string()).max(50).readonly().optional(),
      }),
    )
    .max(50)
    .readonly(),
  answeredAgeMs: z.number().optional(),
  quarantine: z.strictObject({ level: z.number().int(), ageMs: z.number() }).optional(),
});

/** What a gateway or the directory knows about a suspect. */
export type SuspectReport = Readonly<z.infer<typeof suspectReportSchema>>;

/** Schema of a gateway's position in the changes of a directory. */
export const suspectCursorSchema = z.strictObject({
  directory: z.string(),
  revision: z.number().int(),
});

/** Position of a gateway in the changes of a directory. */
export type SuspectCursor = Readonly<z.infer<typeof suspectCursorSchema>>;

/** Schema of a gateway's report on suspect blocks. */
export const shareSuspectsParams = z.strictObject({
  suspects: z.array(suspectReportSchema).max(500).readonly(),
  /** Absent in a gateway's first call. */
  cursor: suspectCursorSchema.optional(),
});

/** A gateway's report on suspect blocks. */
export type ShareSuspectsParams = Readonly<z.infer<typeof shareSuspectsParams>>;

/** What the other gateways have reported since the cursor of the call. */
export interface ShareSuspectsAnswer {
  readonly suspects: readonly SuspectReport[];
  readonly cursor: SuspectCursor;
}

/** Schema of the parameters of `suspect.probe`: a gateway asks to send one quarantined request. */
export const claimProbeParams = z.strictObject({
  service: z.string(),
  kind: wireKindSchema,
  block: z.string(),
  /** Level of the quarantine that the gateway knows. */
  level: z.number().int(),
});

/** Parameters of `suspect.probe`. */
export type ClaimProbeParams = Readonly<z.infer<typeof claimProbeParams>>;

/** Result of `suspect.probe`. */
export interface ClaimProbeAnswer {
  readonly isGranted: boolean;
  /** The suspect's record after the call; absent if the directory has none. */
  readonly suspect?: SuspectReport;
}

/** Knows what any gateway suspects, and grants their probes to one gateway at a time. */
export interface SuspectDirectory {
  /** Merges a gateway's report. `now` is monotonic time in milliseconds. */
  readonly share: (params: ShareSuspectsParams, now: number) => ShareSuspectsAnswer;
  readonly claimProbe: (params: ClaimProbeParams, now: number) => ClaimProbeAnswer;
}

/** With more suspects than this, the ones that changed least recently are dropped. */
const MAX_SUSPECTS = 2_000;
/**
 * Maximum number of records on each page of an answer, about 4 KB; the rest follows with the next
 * calls.
 */
const MAX_ANSWER = 10;

/**
 * Losses of a request from which on all gateways hear of it. An endpoint that fails takes many
 * requests with it, and nearly all of them are answered on their next attempt.
 */
const MIN_PUBLIC_LOSSES = 2;

interface Row {
  readonly suspect: Suspect;
  readonly revision: number;
  /** Whether the gateways are told; once they are, they also hear how it ends. */
  readonly isPublic: boolean;
}

/** Formats the key of a suspect. A block has the same one at any position of a prompt. */
export const formatSuspectKey = ({
  service,
  kind,
  id,
}: Pick<Suspect, 'service' | 'kind' | 'id'>): string =>
  `${service}|${kind === 'request' ? 'request' : 'block'}|${id}`;

/** Names a suspect in a message between processes. */
export const encodeSuspectName = ({
  service,
  kind,
  id,
}: Pick<Suspect, 'service' | 'kind' | 'id'>): Pick<SuspectReport, 'service' | 'kind' | 'block'> =>
  kind === 'request' ? { service, kind, block: id } : { service, block: id };

const decodeSuspectName = ({
  service,
  kind = undefined,
  block,
}: Pick<SuspectReport, 'service' | 'kind' | 'block'>): Pick<
  Suspect,
  'service' | 'kind' | 'id'
> => ({
  service,
  // Last blocks of prompts are not shared.
  kind: kind ?? 'shared_block',
  id: block,
});

/** Converts a record's times to ages. */
export const encodeSuspect = (suspect: Suspect, now: number): SuspectReport => {
  const { depth, losses, answeredAt, quarantine } = suspect;
  return {
    ...encodeSuspectName(suspect),
    depth,
    losses: losses.map((loss) => ({
      incarnation: loss.incarnation,
      isAnswering: loss.isAnswering,
      companions: loss.companions,
      requests: loss.requests,
      startedAgeMs: now - loss.startedAt,
      lostAgeMs: now - loss.lostAt,
    })),
    answeredAgeMs: answeredAt === undefined ? undefined : now - answeredAt,
    quarantine: quarantine && { level: quarantine.level, ageMs: now - quarantine.since },
  };
};

/** Converts a report's ages to times of this process. */
export const decodeSuspect = (report: SuspectReport, now: number): Suspect => {
  const { depth, losses, answeredAgeMs, quarantine } = report;
  return {
    ...decodeSuspectName(report),
    depth,
    losses: losses.map((loss) => ({
      incarnation: loss.incarnation,
      isAnswering: loss.isAnswering,
      companions: loss.companions,
      requests: loss.requests ?? [],
      startedAt: now - loss.startedAgeMs,
      lostAt: now - loss.lostAgeMs,
    })),
    answeredAt: answeredAgeMs === undefined ? undefined : now - answeredAgeMs,
    quarantine: quarantine && { level: quarantine.level, since: now - quarantine.ageMs },
  };
};

const isPublicSuspect = ({ kind, losses, quarantine }: Suspect): boolean =>
  kind !== 'request' || quarantine !== undefined || losses.length >= MIN_PUBLIC_LOSSES;

// In an outage, many blocks and requests are suspected. What is quarantined must not wait for the
// others, and blocks not for requests.
const choosePage = ({ kind, quarantine }: Suspect): number =>
  (quarantine === undefined ? 2 : 0) + (kind === 'request' ? 1 : 0);

const formatState = ({ losses, answeredAt, quarantine }: Suspect): string =>
  JSON.stringify([losses.map(({ incarnation }) => incarnation), answeredAt, quarantine?.level]);

/** Creates an empty directory. */
export const createSuspectDirectory = (directoryId: string = randomUUID()): SuspectDirectory => {
  /** In the order of their revisions. */
  const rows = new Map<string, Row>();
  let revision = 0;

  const findOldest = (): string => {
    for (const [key, { suspect }] of rows) if (!suspect.quarantine) return key;
    return rows.keys().next().value!;
  };

  // Deleting the row first moves it to the end.
  const updateRow = (suspect: Suspect): void => {
    revision += 1;
    const key = formatSuspectKey(suspect);
    const isPublic = rows.get(key)?.isPublic === true || isPublicSuspect(suspect);
    rows.delete(key);
    rows.set(key, { suspect, revision, isPublic });
    // A quarantined suspect stays as long as there are others.
    if (rows.size > MAX_SUSPECTS) rows.delete(findOldest());
  };

  const expire = (now: number): void => {
    for (const [key, { suspect }] of rows) {
      if (isForgotten(suspect, now)) rows.delete(key);
    }
  };

  const listPages = (since: number): readonly (readonly Row[])[] => {
    const pages: readonly Row[][] = [[], [], [], []];
    for (const row of rows.values()) {
      if (!row.isPublic || row.revision <= since) continue;
      const page = pages[choosePage(row.suspect)]!;
      if (page.length < MAX_ANSWER) page.push(row);
    }
    return pages;
  };

  const mergeReport = (report: SuspectReport, now: number): void => {
    const received = decodeSuspect(report, now);
    const known = rows.get(formatSuspectKey(received))?.suspect;
    const before = known ?? createSuspect(received);
    const merged = mergeSuspects(before, received);
    // Unchanged records must not be sent to all gateways again.
    if (!known || formatState(before) !== formatState(merged)) updateRow(merged);
  };

  return {
    share: ({ suspects, cursor }, now) => {
      expire(now);
      suspects.forEach((report) => mergeReport(report, now));
      const since = cursor?.directory === directoryId ? cursor.revision : 0;
      const pages = listPages(since);
      const sent = pages.flat();
      // The rest of a full page comes after its last record.
      const ends = pages
        .filter(({ length }) => length === MAX_ANSWER)
        .map((page) => page.at(-1)!.revision);
      return {
        suspects: sent.map(({ suspect }) => encodeSuspect(suspect, now)),
        cursor: { directory: directoryId, revision: Math.min(revision, ...ends) },
      };
    },
    claimProbe: ({ level, ...name }, now) => {
      const key = formatSuspectKey(decodeSuspectName(name));
      const known = rows.get(key)?.suspect;
      if (!known) return { isGranted: false };
      const { quarantine } = known;
      const isDue = quarantine !== undefined && now - quarantine.since >= computeHoldMs(quarantine);
      const isGranted = isDue && quarantine.level === level;
      if (isGranted) updateRow({ ...known, quarantine: { level: level + 1, since: now } });
      const { suspect } = rows.get(key)!;
      return { isGranted, suspect: encodeSuspect(suspect, now) };
    },
  };
};
