import type { DispatchedPrompt } from '../routingControl';
import type { PromptBlock } from './types';

/** A prompt for one model, in the form in which endpoints are asked what they hold of it. */
export interface PromptKey {
  /** Names of the parts, in order. */
  readonly blockKeys: readonly string[];
  /** Tokens from each part on, of all parts and of those that other requests have too. */
  readonly suffixTokens: readonly number[];
  readonly sharedSuffixTokens: readonly number[];
}

/** Tokens of a prompt that an endpoint has likely not read yet. */
export interface UncachedTokens {
  /** Of the parts that other requests have too. */
  readonly shared: number;
  /** Of all parts. */
  readonly total: number;
}

/** What this gateway believes that the endpoints' memories hold: the parts all gateways sent there lately. */
export interface PrefixCacheEstimates {
  /** Counts the tokens after the longest known beginning of a prompt. */
  readonly countUncached: (endpoint: string, prompt: PromptKey) => UncachedTokens;
  /** Takes note of a prompt that this gateway has sent. */
  readonly record: (endpoint: string, model: string, parts: readonly PromptBlock[]) => void;
  /** Takes over what the other gateways have sent. */
  readonly applyPeerPrompts: (reads: readonly DispatchedPrompt[]) => void;
  /** Gives what this gateway has sent since the last call, for the others. */
  readonly drainDispatched: () => readonly DispatchedPrompt[];
  /** Takes news back that did not reach the others. */
  readonly restoreDispatched: (reads: readonly DispatchedPrompt[]) => void;
  /** Forgets endpoints that are not in use any more. */
  readonly expire: () => void;
}

interface EndpointCache {
  /** Tokens by model and part, the least recently used first. */
  readonly blocks: Map<string, number>;
  totalTokens: number;
}

/** Part of an endpoint's memory that cached parts have; answers under way take little. Emulator, small.jsonc. */
const PREFIX_CACHE_FRACTION = 0.85;
/** News that wait while no control host answers; older ones say little of what is held by then. */
const MAX_PENDING_PROMPTS = 500;

const formatBlockKey = (model: string, id: string): string => `${model}|${id}`;

const addBlock = (state: EndpointCache, name: string, tokens: number): void => {
  state.totalTokens += tokens - (state.blocks.get(name) ?? 0);
  state.blocks.delete(name);
  state.blocks.set(name, tokens);
};

const evictOldest = (state: EndpointCache, limit: number): void => {
  for (const [name, tokens] of state.blocks) {
    if (state.totalTokens <= limit) return;
    state.blocks.delete(name);
    state.totalTokens -= tokens;
  }
};

const computeSuffixTokens = (parts: readonly PromptBlock[]): readonly number[] =>
  parts.map((_part, index) => parts.slice(index).reduce((sum, { tokens }) => sum + tokens, 0));

/** Computes the key of a prompt for a model. The last part belongs to the request or its session. */
export const createPromptKey = (model: string, parts: readonly PromptBlock[]): PromptKey => ({
  blockKeys: parts.map(({ id }) => formatBlockKey(model, id)),
  suffixTokens: computeSuffixTokens(parts),
  sharedSuffixTokens: [...computeSuffixTokens(parts.slice(0, -1)), 0],
});

const FULLY_CACHED: UncachedTokens = { shared: 0, total: 0 };

/**
 * Creates beliefs about nothing. `findCacheTokens` gives the tokens that an endpoint's memory holds,
 * or nothing for an endpoint that is not in use.
 */
export const createPrefixCacheEstimates = (
  findCacheTokens: (endpoint: string) => number | undefined,
): PrefixCacheEstimates => {
  const caches = new Map<string, EndpointCache>();
  let pendingPrompts: DispatchedPrompt[] = [];

  const applyPrompt = ({ endpoint, model, parts }: DispatchedPrompt): void => {
    const cacheTokens = findCacheTokens(endpoint);
    if (cacheTokens === undefined) return;
    const state = caches.get(endpoint) ?? { blocks: new Map(), totalTokens: 0 };
    caches.set(endpoint, state);
    parts.forEach(([id, tokens]) => addBlock(state, formatBlockKey(model, id), tokens));
    evictOldest(state, PREFIX_CACHE_FRACTION * cacheTokens);
  };

  return {
    countUncached: (
      endpoint,
      { blockKeys: names, suffixTokens: allFrom, sharedSuffixTokens: sharedFrom },
    ) => {
      const cachedBlocks = caches.get(endpoint)?.blocks;
      const firstUncached = cachedBlocks ? names.findIndex((name) => !cachedBlocks.has(name)) : 0;
      if (firstUncached < 0 || names.length === 0) return FULLY_CACHED;
      return { shared: sharedFrom[firstUncached]!, total: allFrom[firstUncached]! };
    },
    record: (endpoint, model, parts) => {
      const read: DispatchedPrompt = {
        endpoint,
        model,
        parts: parts.map(({ id, tokens }) => [id, tokens]),
      };
      applyPrompt(read);
      pendingPrompts.push(read);
      if (pendingPrompts.length > MAX_PENDING_PROMPTS) pendingPrompts.shift();
    },
    applyPeerPrompts: (reads) => reads.forEach(applyPrompt),
    drainDispatched: () => {
      const drained = pendingPrompts;
      pendingPrompts = [];
      return drained;
    },
    restoreDispatched: (reads) => {
      pendingPrompts = [...reads, ...pendingPrompts].slice(-MAX_PENDING_PROMPTS);
    },
    expire: () => {
      for (const endpoint of caches.keys()) {
        if (findCacheTokens(endpoint) === undefined) caches.delete(endpoint);
      }
    },
  };
};
