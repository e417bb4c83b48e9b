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
export const dispatchedPromptSchema = z.strictObject({
  endpoint: z.string(),
  model: z.string(),
  /** Id and tokens of each part, in order. */
  parts: z.array(z.tuple([z.string(), z.number()])).readonly(),
});

/** A prompt that was sent to an endpoint. */
export type DispatchedPrompt = Readonly<z.infer<typeof dispatchedPromptSchema>>;

/** How far a gateway has followed the prompts that a board was told of. */
export const promptCursorSchema = z.strictObject({ board: z.string(), next: z.number().int() });

/** How far a gateway has followed a board. */
export type PromptCursor = Readonly<z.infer<typeof promptCursorSchema>>;

/** Parameters of `load.exchange`. */
export const exchangeLoadParams = z.strictObject({
  gateway: z.string(),
  loads: z.array(endpointLoadSchema).max(5_000).readonly(),
  /** Prompts that this gateway has sent since its last call. */
  reads: z.array(dispatchedPromptSchema).max(1_000).readonly(),
  /** Absent at a gateway's first call. */
  cursor: promptCursorSchema.optional(),
});

/** Parameters of `load.exchange`. */
export type ExchangeLoadParams = Readonly<z.infer<typeof exchangeLoadParams>>;

/** What all other gateways have told of. */
export interface ExchangeLoadAnswer {
  readonly loads: readonly EndpointLoad[];
  /** Prompts sent since the cursor of the call. */
  readonly reads: readonly DispatchedPrompt[];
  readonly cursor: PromptCursor;
}

/** Keeps the gateways' loads for a moment, so that each sees what the others send. */
export interface LoadAggregator {
  /** Takes what a gateway tells and gives what the others told; `now` is steady milliseconds. */
  readonly exchange: (params: ExchangeLoadParams, now: number) => ExchangeLoadAnswer;
}

interface GatewayLoads {
  readonly at: number;
  readonly loads: readonly EndpointLoad[];
}

/** What was told before this many milliseconds says little of now. */
const LOAD_MAX_AGE_MS = 1_000;
/**
 * Prompts that an answer holds at most, the newest: some 60 KB, which a gateway with a narrow link gets
 * well inside the time of the call. A gateway that starts or lags goes without the older ones.
 */
const MAX_PROMPTS = 500;

interface RecentPrompt {
  readonly gateway: string;
  readonly prompt: DispatchedPrompt;
}

/** Creates a board without any loads. */
export const createLoadAggregator = (board: string = randomUUID()): LoadAggregator => {
  const loadsByGateway = new Map<string, GatewayLoads>();
  let recent: RecentPrompt[] = [];
  /** Number of the first read that is kept. */
  let firstIndex = 0;

  const mergeOthers = (gateway: string, now: number): readonly EndpointLoad[] => {
    const sums = new Map<string, EndpointLoad>();
    for (const [name, row] of loadsByGateway) {
      if (now - row.at > LOAD_MAX_AGE_MS) {
        loadsByGateway.delete(name);
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

  const appendPrompts = (gateway: string, prompts: readonly DispatchedPrompt[]): void => {
    recent.push(...prompts.map((prompt) => ({ gateway, prompt })));
    // Cut rarely, since cutting copies the list.
    if (recent.length < 2 * MAX_PROMPTS) return;
    firstIndex += recent.length - MAX_PROMPTS;
    recent = recent.slice(-MAX_PROMPTS);
  };

  // A gateway that has just started does not know of its own earlier ones either.
  const listPrompts = (
    gateway: string,
    cursor: PromptCursor | undefined,
  ): readonly DispatchedPrompt[] => {
    const isFollowing = cursor?.board === board;
    const start = isFollowing ? Math.max(0, cursor.next - firstIndex) : 0;
    return recent
      .slice(Math.max(start, recent.length - MAX_PROMPTS))
      .filter((item) => !isFollowing || item.gateway !== gateway)
      .map(({ prompt: read }) => read);
  };

  return {
    exchange: ({ gateway, loads, reads, cursor }, now) => {
      loadsByGateway.set(gateway, { at: now, loads });
      const newPrompts = listPrompts(gateway, cursor);
      appendPrompts(gateway, reads);
      return {
        loads: mergeOthers(gateway, now),
        reads: newPrompts,
        cursor: { board, next: firstIndex + recent.length },
      };
    },
  };
};
