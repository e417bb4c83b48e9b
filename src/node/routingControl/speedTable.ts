import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import { addSpeedSample, computeRecentSpeed, type SpeedEstimate } from '../decisions';

/** Schema of the kinds of work in which the speeds of endpoints are compared. */
export const speedKindSchema = z.enum(['prefill', 'decode', 'answer']);

/** A kind of work in which the speeds of endpoints are compared. */
export type SpeedKind = z.infer<typeof speedKindSchema>;

/** Maximum number of samples in one report of a gateway. */
export const MAX_REPORTED_SPEEDS = 150;

/** Schema of a gateway's report on the speeds of endpoints. */
export const shareSpeedsParams = z.strictObject({
  samples: z
    .array(
      z.strictObject({
        /** The endpoint's incarnation. */
        endpoint: z.string(),
        kind: speedKindSchema,
        /** Logarithm of the time, divided by that of the pool as the gateway knows it. */
        logRatio: z.number().min(-5).max(5),
      }),
    )
    .max(MAX_REPORTED_SPEEDS)
    .readonly(),
  /** Absent in a gateway's first call. */
  cursor: z.strictObject({ table: z.string(), revision: z.number().int() }).optional(),
});

/** A gateway's report on the speeds of endpoints. */
export type ShareSpeedsParams = Readonly<z.infer<typeof shareSpeedsParams>>;

/** Position of a gateway in the changes of a table. */
export type SpeedCursor = NonNullable<ShareSpeedsParams['cursor']>;

/** What the samples of all gateways show about an endpoint. */
export interface SharedSpeedRow {
  readonly endpoint: string;
  readonly kind: SpeedKind;
  /** Long-term mean of the logarithm of the time ratio, and the number of samples in it. */
  readonly base: number;
  readonly count: number;
  /** Median of the last second, with its weight. */
  readonly median: number;
  readonly weight: number;
  /** Milliseconds since the latest sample. */
  readonly ageMs: number;
}

/** The speeds that changed since the cursor of the call. */
export interface ShareSpeedsAnswer {
  readonly speeds: readonly SharedSpeedRow[];
  readonly cursor: SpeedCursor;
}

/** Merges the speeds that all gateways measure, into one estimate for each endpoint. */
export interface SpeedTable {
  /** Merges a gateway's samples. `now` is monotonic time in milliseconds. */
  readonly share: (params: ShareSpeedsParams, now: number) => ShareSpeedsAnswer;
}

interface Row {
  readonly endpoint: string;
  readonly kind: SpeedKind;
  readonly estimate: SpeedEstimate;
  readonly revision: number;
  /** The speed as of that revision, and its time. */
  readonly sentBase: number;
  readonly sentMedian: number;
  readonly sentAt: number;
}

/** Endpoints without samples for this time are forgotten, in milliseconds. */
const MEMORY_MS = 120_000;
const EXPIRE_INTERVAL_MS = 10_000;
/** More than all endpoints of a deployment, for two kinds of work. */
const MAX_ROWS = 8_000;
/** Maximum number of changed speeds in one answer; the rest follows with the next call. */
const MAX_CHANGES = 100;
/** Smaller changes of a logarithm are not worth a message. */
const MIN_CHANGE = 0.1;
/** Deviations of the last second from which on a row is sent often, since they are soon outdated. */
const MIN_DEVIATION = 0.35;
const DEVIATION_RESEND_MS = 250;
/** Rows are sent after this time even without a change, as their number of samples grows. */
const RESEND_MS = 30_000;

const convertToRounded = (value: number): number => Math.round(value * 1_000) / 1_000;

/** Creates an empty table. */
export const createSpeedTable = (tableId: string = randomUUID()): SpeedTable => {
  /** In the order of their revisions. */
  const rows = new Map<string, Row>();
  let revision = 0;
  let expiredAt = -Infinity;

  const expire = (now: number): void => {
    if (now - expiredAt < EXPIRE_INTERVAL_MS) return;
    expiredAt = now;
    for (const [key, { estimate }] of rows) {
      if (now - estimate.at > MEMORY_MS) rows.delete(key);
    }
  };

  const isNews = ({ estimate, sentBase, sentMedian, sentAt }: Row, now: number): boolean => {
    const { median } = computeRecentSpeed(estimate, now);
    const isDeviating = Math.abs(median - estimate.base) > MIN_DEVIATION;
    if (isDeviating && now - sentAt >= DEVIATION_RESEND_MS) return true;
    const wasDeviating = Math.abs(sentMedian - sentBase) > MIN_DEVIATION;
    if (wasDeviating !== isDeviating) return true;
    return Math.abs(estimate.base - sentBase) > MIN_CHANGE || now - sentAt > RESEND_MS;
  };

  const addSample = (
    { endpoint, kind, logRatio }: ShareSpeedsParams['samples'][number],
    now: number,
  ): void => {
    const key = `${kind}|${endpoint}`;
    const known = rows.get(key);
    const estimate = addSpeedSample(known?.estimate, logRatio, now);
    const next = known && { ...known, estimate };
    if (next && !isNews(next, now)) {
      rows.set(key, next);
      return;
    }
    revision += 1;
    // Deleting the row first moves it to the end.
    rows.delete(key);
    const { median: sentMedian } = computeRecentSpeed(estimate, now);
    const sent = { sentBase: estimate.base, sentMedian, sentAt: now };
    rows.set(key, { endpoint, kind, estimate, revision, ...sent });
    if (rows.size > MAX_ROWS) rows.delete(rows.keys().next().value!);
  };

  const createSharedRow = ({ endpoint, kind, estimate }: Row, now: number): SharedSpeedRow => {
    const { median, weight } = computeRecentSpeed(estimate, now);
    return {
      endpoint,
      kind,
      base: convertToRounded(estimate.base),
      count: convertToRounded(estimate.count),
      median: convertToRounded(median),
      weight: convertToRounded(weight),
      ageMs: Math.round(now - estimate.at),
    };
  };

  return {
    share: ({ samples, cursor }, now) => {
      expire(now);
      samples.forEach((sample) => addSample(sample, now));
      const since = cursor?.table === tableId ? cursor.revision : 0;
      const changed = [...rows.values()]
        .filter((row) => row.revision > since)
        .slice(0, MAX_CHANGES);
      return {
        speeds: changed.map((row) => createSharedRow(row, now)),
        cursor: {
          table: tableId,
          revision: changed.length === MAX_CHANGES ? changed.at(-1)!.revision : revision,
        },
      };
    },
  };
};
