import { randomUUID } from 'node:crypto';
import { z } from 'zod';
import { PRIORITY_COUNT } from '../decisions';

/** Schema of the load that one gateway puts on one endpoint. */
export const endpointLoadSchema = z.strictObject({
  endpoint: z.string(),
  /** Requests in progress. */
  running: z.number(),
  /** Estimated prefill time that is still pending, in milliseconds. */
  readMs: z.number(),
  /**
   * The part of `readMs` of each engine priority, 0 first; trailing zeros are omitted. Absent from
   * gateways of an older version.
   */
  readMsByPriority: z.array(z.number()).max(PRIORITY_COUNT).readonly().optional(),
});

/** Load that one gateway puts on one endpoint. */
export type EndpointLoad = Readonly<z.infer<typeof endpointLoadSchema>>;

/**
 * Schema of a prompt that was sent to an endpoint. The endpoint's prefix cache holds its blocks
 * from then on.
 */
export const dispatchedPromptSchema = z.strictObject({
  endpoint: z.string(),
  model: z.string(),
  /** Id and token count of each prefix block, in order. */
  parts: z.array(z.tuple([z.string(), z.number()])).readonly(),
});

/** A prompt that was sent to an endpoint. */
export type DispatchedPrompt = Readonly<z.infer<typeof dispatchedPromptSchema>>;

/**
 * Schema of a gateway's position in the prompt log of a load aggregator. `board` is the
 * aggregator's id.
 */
export const promptCursorSchema = z.strictObject({ board: z.string(), next: z.number().int() });

/** Position of a gateway in the prompt log of a load aggregator. */
export type PromptCursor = Readonly<z.infer<typeof promptCursorSchema>>;

/** Schema of the parameters of `load.exchange`. */
export const exchangeLoadParams = z.strictObject({
  gateway: z.string(),
  loads: z.array(endpointLoadSchema).max(5_000).readonly(),
  /** Prompts that this gateway has dispatched since its last call. */
  reads: z.array(dispatchedPromptSchema).max(1_000).readonly(),
  /** Absent in a gateway's first call. */
  cursor: promptCursorSchema.optional(),
});

/** Parameters of `load.exchange`. */
export type ExchangeLoadParams = Readonly<z.infer<typeof exchangeLoadParams>>;

/** Result of `load.exchange`: what all other gateways have reported. */
export interface ExchangeLoadAnswer {
  readonly loads: readonly EndpointLoad[];
  /** Prompts dispatched since the cursor of the call. */
  readonly reads: readonly DispatchedPrompt[];
  readonly cursor: PromptCursor;
  /** Whether loads may have `readMsByPriority`; absent from hosts that refuse such reports. */
  readonly takesPriorities?: boolean;
}

/** Aggregates the recent loads of all gateways, so that each gateway knows what the others send. */
export interface LoadAggregator {
  /**
   * Records the report of a gateway and returns what the others reported. `now` is monotonic, in
   * milliseconds.
   */
  readonly exchange: (params: ExchangeLoadParams, now: number) => ExchangeLoadAnswer;
}

interface GatewayLoads {
  readonly at: number;
  readonly loads: readonly EndpointLoad[];
}

const mergePriorities = (
  first: readonly number[],
  second: readonly number[],
): readonly number[] => {
  const [longer, shorter] = first.length < second.length ? [second, first] : [first, second];
  return longer.map((value, priority) => value + (shorter[priority] ?? 0));
};

/**
 * Adds two loads of one endpoint. Work without a priority is in `readMs` alone: it cannot be
 * attributed to one.
 */
export const mergeEndpointLoads = (first: EndpointLoad, second: EndpointLoad): EndpointLoad => {
  const sums = {
    endpoint: first.endpoint,
    running: first.running + second.running,
    readMs: first.readMs + second.readMs,
  };
  if (!first.readMsByPriority && !second.readMsByPriority) return sums;
  const readMsByPriority = mergePriorities(
    first.readMsByPriority ?? [],
    second.readMsByPriority ?? [],
  );
  return { ...sums, readMsByPriority };
};

/** Loads older than this are stale and are dropped. */
const LOAD_MAX_AGE_MS = 1_000;
/**
 * Maximum number of prompts in one answer. This many take about 60 KB, which a gateway on a slow
 * link receives well within the call timeout. A gateway that has just started or lags behind misses
 * the older prompts.
 */
const MAX_PROMPTS = 500;

interface RecentPrompt {
  readonly gateway: string;
  readonly prompt: DispatchedPrompt;
}

/** Creates an aggregator without any loads. */
export const createLoadAggregator = (aggregatorId: string = randomUUID()): LoadAggregator => {
  const loadsByGateway = new Map<string, GatewayLoads>();
  let recent: RecentPrompt[] = [];
  /** Log index of the oldest prompt that is kept. */
  let firstIndex = 0;

  const mergeOthers = (gateway: string, now: number): readonly EndpointLoad[] => {
    const sums = new Map<string, EndpointLoad>();
    for (const [name, gatewayLoads] of loadsByGateway) {
      if (now - gatewayLoads.at > LOAD_MAX_AGE_MS) {
        loadsByGateway.delete(name);
      } else if (name !== gateway) {
        for (const load of gatewayLoads.loads) {
          const known = sums.get(load.endpoint);
          sums.set(load.endpoint, known ? mergeEndpointLoads(known, load) : load);
        }
      }
    }
    return [...sums.values()];
  };

  const appendPrompts = (gateway: string, prompts: readonly DispatchedPrompt[]): void => {
    recent.push(...prompts.map((prompt) => ({ gateway, prompt })));
    // Truncates rarely, because truncation copies the list.
    if (recent.length < 2 * MAX_PROMPTS) return;
    firstIndex += recent.length - MAX_PROMPTS;
    recent = recent.slice(-MAX_PROMPTS);
  };

  // A gateway without a cursor of this aggregator may have restarted and lost its own prompts: it
  // gets them too.
  const listPrompts = (
    gateway: string,
    cursor: PromptCursor | undefined,
  ): readonly DispatchedPrompt[] => {
    const isFollowing = cursor?.board === aggregatorId;
    const start = isFollowing ? Math.max(0, cursor.next - firstIndex) : 0;
    return recent
      .slice(Math.max(start, recent.length - MAX_PROMPTS))
      .filter((item) => !isFollowing || item.gateway !== gateway)
      .map(({ prompt }) => prompt);
  };

  return {
    exchange: ({ gateway, loads, reads, cursor }, now) => {
      loadsByGateway.set(gateway, { at: now, loads });
      const newPrompts = listPrompts(gateway, cursor);
      appendPrompts(gateway, reads);
      return {
        loads: mergeOthers(gateway, now),
        reads: newPrompts,
        cursor: { board: aggregatorId, next: firstIndex + recent.length },
        takesPriorities: true,
      };
    },
  };
};
