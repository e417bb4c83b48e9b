import { randomUUID } from 'node:crypto';
import { z } from 'zod';

/** Work of one gateway at one endpoint. */
export const endpointLoadSchema = z.strictObject({
  endpoint: z.string(),
  /** Requests under way. */
  running: z.number(),
  /** Reading of prompts that has not ended yet, in milliseconds. */
  readMs: z.number(),
});

/** Work of one gateway at one endpoint. */
export type EndpointLoad = Readonly<z.infer<typeof endpointLoadSchema>>;

/** A prompt that was sent to an endpoint, whose memory holds its parts from then on. */
export const promptReadSchema = z.strictObject({
  endpoint: z.string(),
  model: z.string(),
  /** Id and tokens of each part, in order. */
  parts: z.array(z.tuple([z.string(), z.number()])).readonly(),
});

/** A prompt that was sent to an endpoint. */
export type PromptRead = Readonly<z.infer<typeof promptReadSchema>>;

/** How far a gateway has followed the prompts that a board was told of. */
export const readCursorSchema = z.strictObject({ board: z.string(), next: z.number().int() });

/** How far a gateway has followed a board. */
export type ReadCursor = Readonly<z.infer<typeof readCursorSchema>>;

/** Parameters of `load.exchange`. */
export const exchangeLoadParams = z.strictObject({
  gateway: z.string(),
  loads: z.array(endpointLoadSchema).max(5_000).readonly(),
  /** Prompts that this gateway has sent since its last call. */
  reads: z.array(promptReadSchema).max(1_000).readonly(),
  /** Absent at a gateway's first call. */
  cursor: readCursorSchema.optional(),
});

/** Parameters of `load.exchange`. */
export type ExchangeLoadParams = Readonly<z.infer<typeof exchangeLoadParams>>;

/** What all other gateways have told of. */
export interface ExchangeLoadAnswer {
  readonly loads: readonly EndpointLoad[];
  /** Prompts sent since the cursor of the call. */
  readonly reads: readonly PromptRead[];
  readonly cursor: ReadCursor;
}

/** Keeps the gateways' loads for a moment, so that each sees what the others send. */
export interface LoadBoard {
  /** Takes what a gateway tells and gives what the others told; `now` is steady milliseconds. */
  readonly exchange: (params: ExchangeLoadParams, now: number) => ExchangeLoadAnswer;
}

interface Row {
  readonly at: number;
  readonly loads: readonly EndpointLoad[];
}

/** What was told before this many milliseconds says little of now. */
const FRESH_MS = 1_000;
/**
 * Prompts that an answer holds at most, the newest: some 60 KB, which a gateway with a narrow link gets
 * well inside the time of the call. A gateway that starts or lags goes without the older ones.
 */
const READS_LIMIT = 500;

interface KeptRead {
  readonly gateway: string;
  readonly read: PromptRead;
}

/** Creates a board without any loads. */
export const createLoadBoard = (board: string = randomUUID()): LoadBoard => {
  const rows = new Map<string, Row>();
  let kept: KeptRead[] = [];
  /** Number of the first read that is kept. */
  let first = 0;

  const mergeOthers = (gateway: string, now: number): readonly EndpointLoad[] => {
    const sums = new Map<string, EndpointLoad>();
    for (const [name, row] of rows) {
      if (now - row.at > FRESH_MS) {
        rows.delete(name);
      } else if (name !== gateway) {
        for (const { endpoint, running, readMs } of row.loads) {
          const known = sums.get(endpoint);
          sums.set(endpoint, {
            endpoint,
            running: (known?.running ?? 0) + running,
            readMs: (known?.readMs ?? 0) + readMs,
          });
        }
      }
    }
    return [...sums.values()];
  };

  const addReads = (gateway: string, reads: readonly PromptRead[]): void => {
    kept.push(...reads.map((read) => ({ gateway, read })));
    // Cut rarely, since cutting copies the list.
    if (kept.length < 2 * READS_LIMIT) return;
    first += kept.length - READS_LIMIT;
    kept = kept.slice(-READS_LIMIT);
  };

  // A gateway that has just started does not know of its own earlier ones either.
  const listReads = (gateway: string, cursor: ReadCursor | undefined): readonly PromptRead[] => {
    const isFollowing = cursor?.board === board;
    const since = isFollowing ? Math.max(0, cursor.next - first) : 0;
    return kept
      .slice(Math.max(since, kept.length - READS_LIMIT))
      .filter((item) => !isFollowing || item.gateway !== gateway)
      .map(({ read }) => read);
  };

  return {
    exchange: ({ gateway, loads, reads, cursor }, now) => {
      rows.set(gateway, { at: now, loads });
      const answered = listReads(gateway, cursor);
      addReads(gateway, reads);
      return {
        loads: mergeOthers(gateway, now),
        reads: answered,
        cursor: { board, next: first + kept.length },
      };
    },
  };
};
