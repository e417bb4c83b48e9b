import { randomUUID } from 'node:crypto';
import { z } from 'zod';

/** Schema of the load that one gateway puts on one endpoint. */
export const endpointLoadSchema = z.strictObject({
  endpoint: z.string(),
  /** Requests in progress. */
  running: z.number(),
  /** Estimated prefill time that is still pending, in milliseconds. */
  readMs: z.number(),
});

/** Load that one gateway puts on one endpoint. */
export type EndpointLoad = Readonly<z.infer<typeof endpointLoadSchema>>;

/** Schema of a prompt that was sent to an endpoint. The endpoint's prefix cache holds its blocks from then on. */
export const promptReadSchema = z.strictObject({
  endpoint: z.string(),
  model: z.string(),
  /** Id and token count of each prefix block, in order. */
  parts: z.array(z.tuple([z.string(), z.number()])).readonly(),
});

/** A prompt that was sent to an endpoint. */
export type PromptRead = Readonly<z.infer<typeof promptReadSchema>>;

/** Schema of a gateway's position in the prompt log of a load aggregator. */
export const readCursorSchema = z.strictObject({ board: z.string(), next: z.number().int() });

/** Position of a gateway in the prompt log of a load aggregator. */
export type ReadCursor = Readonly<z.infer<typeof readCursorSchema>>;

/** Schema of the parameters of `load.exchange`. */
export const exchangeLoadParams = z.strictObject({
  gateway: z.string(),
  loads: z.array(endpointLoadSchema).max(5_000).readonly(),
  /** Prompts that this gateway has dispatched since its last call. */
  reads: z.array(promptReadSchema).max(1_000).readonly(),
  /** Absent in a gateway's first call. */
  cursor: readCursorSchema.optional(),
});

/** Parameters of `load.exchange`. */
export type ExchangeLoadParams = Readonly<z.infer<typeof exchangeLoadParams>>;

/** Result of `load.exchange`: what all other gateways have reported. */
export interface ExchangeLoadAnswer {
  readonly loads: readonly EndpointLoad[];
  /** Prompts dispatched since the cursor of the call. */
  readonly reads: readonly PromptRead[];
  readonly cursor: ReadCursor;
}

/** Aggregates the recent loads of all gateways, so that each gateway knows what the others send. */
export interface LoadBoard {
  /** Records the report of a gateway and returns what the others reported. `now` is monotonic, in milliseconds. */
  readonly exchange: (params: ExchangeLoadParams, now: number) => ExchangeLoadAnswer;
}

interface Row {
  readonly at: number;
  readonly loads: readonly EndpointLoad[];
}

/** Loads older than this are stale and are dropped. */
const FRESH_MS = 1_000;
/**
 * Maximum number of prompts in one answer. This many take about 60 KB, which a gateway on a slow link receives
 * well within the call timeout. A gateway that has just started or lags behind misses the older prompts.
 */
const READS_LIMIT = 500;

interface KeptRead {
  readonly gateway: string;
  readonly read: PromptRead;
}

/** Creates an aggregator without any loads. */
export const createLoadBoard = (board: string = randomUUID()): LoadBoard => {
  const rows = new Map<string, Row>();
  let kept: KeptRead[] = [];
  /** Log index of the oldest prompt that is kept. */
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
    // Truncates rarely, because truncation copies the list.
    if (kept.length < 2 * READS_LIMIT) return;
    first += kept.length - READS_LIMIT;
    kept = kept.slice(-READS_LIMIT);
  };

  // A gateway without a cursor of this aggregator may have restarted and lost its own prompts: it gets them too.
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
