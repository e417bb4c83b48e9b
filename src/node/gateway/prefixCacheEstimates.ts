import type { DispatchedPrompt } from '../routingControl';
import type { PromptBlock } from './types';

/** The block keys and token counts of a prompt for one model, used to look up cached prefixes. */
export interface PromptKey {
  /** Keys of the prompt's blocks, in order. */
  readonly blockKeys: readonly string[];
  /**
   * For each block, the tokens from it to the end: of all blocks, and of the shared blocks only.
   */
  readonly suffixTokens: readonly number[];
  readonly sharedSuffixTokens: readonly number[];
}

/** Prompt tokens that are probably not in an endpoint's prefix cache. */
export interface UncachedTokens {
  /** Uncached tokens in blocks that other requests share. */
  readonly shared: number;
  /** Uncached tokens in all blocks. */
  readonly total: number;
}

/**
 * Estimates which prompt blocks the endpoints' prefix caches hold, from the prompts that all
 * gateways sent recently.
 */
export interface PrefixCacheEstimates {
  /**
   * Counts the tokens after the longest prefix of a prompt that the endpoint probably has in its
   * cache.
   */
  readonly countUncached: (endpoint: string, prompt: PromptKey) => UncachedTokens;
  /** Records a prompt that this gateway has sent. */
  readonly record: (endpoint: string, model: string, blocks: readonly PromptBlock[]) => void;
  /** Records prompts that other gateways have sent. */
  readonly applyPeerPrompts: (prompts: readonly DispatchedPrompt[]) => void;
  /**
   * Returns the prompts that this gateway has sent since the last call, to report them to the other
   * gateways.
   */
  readonly drainDispatched: () => readonly DispatchedPrompt[];
  /** Puts back drained prompts that could not be reported, so that the next call reports them. */
  readonly restoreDispatched: (prompts: readonly DispatchedPrompt[]) => void;
  /** Removes the estimates of endpoints that are no longer in use. */
  readonly expire: () => void;
}

interface EndpointCache {
  /** Token counts by model and block, least recently used first. */
  readonly blocks: Map<string, number>;
  totalTokens: number;
}

/** Fraction of an endpoint's cache that holds prompt blocks; running answers need little of it. */
const PREFIX_CACHE_FRACTION = 0.85;
/**
 * Maximum number of prompts kept while no control host answers. Older prompts say little about what
 * the caches hold by then.
 */
const MAX_PENDING_PROMPTS = 500;

const formatBlockKey = (model: string, id: string): string => `${model}|${id}`;

const addBlock = (state: EndpointCache, key: string, tokens: number): void => {
  state.totalTokens += tokens - (state.blocks.get(key) ?? 0);
  state.blocks.delete(key);
  state.blocks.set(key, tokens);
};

const evictOldest = (state: EndpointCache, limit: number): void => {
  for (const [key, tokens] of state.blocks) {
    if (state.totalTokens <= limit) return;
    state.blocks.delete(key);
    state.totalTokens -= tokens;
  }
};

const computeSuffixTokens = (blocks: readonly PromptBlock[]): readonly number[] =>
  blocks.map((_block, index) => blocks.slice(index).reduce((sum, { tokens }) => sum + tokens, 0));

/**
 * Creates the key of a prompt for a model. The last block is specific to the request or its
 * session, so it is not shared.
 */
export const createPromptKey = (model: string, blocks: readonly PromptBlock[]): PromptKey => ({
  blockKeys: blocks.map(({ id }) => formatBlockKey(model, id)),
  suffixTokens: computeSuffixTokens(blocks),
  sharedSuffixTokens: [...computeSuffixTokens(blocks.slice(0, -1)), 0],
});

const FULLY_CACHED: UncachedTokens = { shared: 0, total: 0 };

/**
 * Creates estimates with empty caches. `findCacheTokens` returns the cache size of an endpoint in
 * tokens, or undefined for an endpoint that is not in use.
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
    countUncached: (endpoint, { blockKeys, suffixTokens, sharedSuffixTokens }) => {
      const cachedBlocks = caches.get(endpoint)?.blocks;
      const firstUncached = cachedBlocks ? blockKeys.findIndex((key) => !cachedBlocks.has(key)) : 0;
      if (firstUncached < 0 || blockKeys.length === 0) return FULLY_CACHED;
      return { shared: sharedSuffixTokens[firstUncached]!, total: suffixTokens[firstUncached]! };
    },
    record: (endpoint, model, blocks) => {
      const prompt: DispatchedPrompt = {
        endpoint,
        model,
        parts: blocks.map(({ id, tokens }) => [id, tokens]),
      };
      applyPrompt(prompt);
      pendingPrompts.push(prompt);
      if (pendingPrompts.length > MAX_PENDING_PROMPTS) pendingPrompts.shift();
    },
    applyPeerPrompts: (prompts) => prompts.forEach(applyPrompt),
    drainDispatched: () => {
      const drained = pendingPrompts;
      pendingPrompts = [];
      return drained;
    },
    restoreDispatched: (prompts) => {
      pendingPrompts = [...prompts, ...pendingPrompts].slice(-MAX_PENDING_PROMPTS);
    },
    expire: () => {
      for (const endpoint of caches.keys()) {
        if (findCacheTokens(endpoint) === undefined) caches.delete(endpoint);
      }
    },
  };
};
