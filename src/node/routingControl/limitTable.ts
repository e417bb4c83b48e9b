import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import {
  computeGrant,
  computeRefill,
  createTokenBucket,
  resolveSentRate,
  type TokenBucket,
} from '../decisions';

/** Schema of what a gateway knows about the request limit of an endpoint's incarnation. */
export const limitReportSchema = z.strictObject({
  endpoint: z.string(),
  /** Requests per second from all gateways together; absent if the limit has ended. */
  requestsPerSecond: z.number().min(0).optional(),
  /** Milliseconds since the response that named or ended the limit. */
  ageMs: z.number(),
  /** Requests that the gateway would send before the tokens are void. */
  wanted: z.number().int().min(0).max(100),
});

/** What a gateway knows about the request limit of an endpoint's incarnation. */
export type LimitReport = Readonly<z.infer<typeof limitReportSchema>>;

/** Maximum number of limits in one report of a gateway. */
export const MAX_REPORTED_LIMITS = 500;

/** Schema of a gateway's position in the changes of a table. */
export const limitCursorSchema = z.strictObject({ table: z.string(), revision: z.number().int() });

/** Position of a gateway in the changes of a table. */
export type LimitCursor = Readonly<z.infer<typeof limitCursorSchema>>;

/** Schema of a gateway's report on request limits. */
export const shareLimitsParams = z.strictObject({
  limits: z.array(limitReportSchema).max(MAX_REPORTED_LIMITS).readonly(),
  /** Absent in a gateway's first call. */
  cursor: limitCursorSchema.optional(),
});

/** A gateway's report on request limits. */
export type ShareLimitsParams = Readonly<z.infer<typeof shareLimitsParams>>;

/** The limit of an endpoint, or its end, with the requests that the caller may send. */
export interface SharedLimit {
  readonly endpoint: string;
  /** Absent if the limit has ended. */
  readonly requestsPerSecond?: number;
  readonly ageMs: number;
  readonly granted: number;
}

/** The limits that changed since the cursor of the call, and those that tokens were wanted for. */
export interface ShareLimitsAnswer {
  readonly limits: readonly SharedLimit[];
  readonly cursor: LimitCursor;
}

/** Knows the request limits of all endpoints, and shares their requests among the gateways. */
export interface LimitTable {
  /** Merges a gateway's report and grants tokens. `now` is monotonic time in milliseconds. */
  readonly share: (params: ShareLimitsParams, now: number) => ShareLimitsAnswer;
}

/** Limits without news are forgotten after this time, in milliseconds; the endpoint may be gone. */
export const LIMIT_MEMORY_MS = 60_000;
/** More than all endpoints of a deployment. */
const MAX_LIMITS = 5_000;
/** Maximum number of changed limits in one answer; the rest follows with the next call. */
const MAX_CHANGES = 200;

interface Row {
  readonly endpoint: string;
  readonly requestsPerSecond: number | undefined;
  /** Monotonic time in milliseconds of the latest response that named or ended the limit. */
  readonly at: number;
  readonly bucket: TokenBucket;
  readonly revision: number;
}

/** Creates an empty table. */
export const createLimitTable = (tableId: string = randomUUID()): LimitTable => {
  /** In the order of their revisions. */
  const rows = new Map<string, Row>();
  let revision = 0;

  const expire = (now: number): void => {
    for (const [key, { at }] of rows) {
      if (now - at > LIMIT_MEMORY_MS) rows.delete(key);
    }
  };

  const addRow = (row: Omit<Row, 'revision'>): void => {
    revision += 1;
    // Deleting the row first moves it to the end.
    rows.delete(row.endpoint);
    rows.set(row.endpoint, { ...row, revision });
    if (rows.size > MAX_LIMITS) rows.delete(rows.keys().next().value!);
  };

  const mergeReport = (report: LimitReport, now: number): void => {
    const { endpoint, requestsPerSecond } = report;
    const at = now - report.ageMs;
    const known = rows.get(endpoint);
    if (known && at <= known.at) return;
    const isUnchanged = known && known.requestsPerSecond === requestsPerSecond;
    if (isUnchanged) {
      rows.set(endpoint, { ...known, at });
      return;
    }
    const wasLimited = known?.requestsPerSecond !== undefined;
    const bucket =
      wasLimited && known ? known.bucket : createTokenBucket(requestsPerSecond ?? 0, now);
    addRow({ endpoint, requestsPerSecond, at, bucket });
  };

  const grant = (endpoint: string, wanted: number, now: number): number => {
    const row = rows.get(endpoint);
    if (row?.requestsPerSecond === undefined) return 0;
    const bucket = computeRefill(row.bucket, resolveSentRate(row.requestsPerSecond), now);
    const granted = computeGrant(bucket, wanted);
    rows.set(endpoint, { ...row, bucket: { ...bucket, tokens: bucket.tokens - granted } });
    return granted;
  };

  const createAnswer = (
    { endpoint, requestsPerSecond, at }: Row,
    granted: number,
    now: number,
  ) => ({
    endpoint,
    requestsPerSecond,
    ageMs: now - at,
    granted,
  });

  return {
    share: ({ limits, cursor }, now) => {
      expire(now);
      limits.forEach((report) => mergeReport(report, now));
      const since = cursor?.table === tableId ? cursor.revision : 0;
      const changed = [...rows.values()]
        .filter((row) => row.revision > since)
        .slice(0, MAX_CHANGES);
      const names = new Set(changed.map(({ endpoint }) => endpoint));
      const granted = new Map(
        limits.map(({ endpoint, wanted }) => [endpoint, grant(endpoint, wanted, now)]),
      );
      const asked = limits.flatMap(({ endpoint }) => {
        const row = rows.get(endpoint);
        return row && !names.has(endpoint) ? [row] : [];
      });
      return {
        limits: [...changed, ...asked].map((row) =>
          createAnswer(row, granted.get(row.endpoint) ?? 0, now),
        ),
        cursor: {
          table: tableId,
          revision: changed.length === MAX_CHANGES ? changed.at(-1)!.revision : revision,
        },
      };
    },
  };
};
