import type { PromptRead } from '../routingControl';
import type { PromptPart } from './types';

/** The block keys and token counts of a prompt for one model, used to look up cached prefixes. */
export interface PromptKey {
  /** Keys of the prompt's blocks, in order. */
  readonly names: readonly string[];
  /** For each block, the tokens from it to the end: of all blocks, and of the shared blocks only. */
  readonly allFrom: readonly number[];
  readonly sharedFrom: readonly number[];
}

/** Prompt tokens that are probably not in an endpoint's prefix cache. */
export interface UnreadTokens {
  /** Uncached tokens in blocks that other requests share. */
  readonly shared: number;
  /** Uncached tokens in all blocks. */
  readonly all: number;
}

/**
 * Estimates which prompt blocks the endpoints' prefix caches hold, from the prompts that all
 * gateways sent recently.
 */
export interface CacheBeliefs {
  /**
   * Counts the tokens after the longest prefix of a prompt that the endpoint probably has in its
   * cache.
   */
  readonly countUnread: (endpoint: string, prompt: PromptKey) => UnreadTokens;
  /** Records a prompt that this gateway has sent. */
  readonly record: (endpoint: string, model: string, parts: readonly PromptPart[]) => void;
  /** Records prompts that other gateways have sent. */
  readonly applyOthers: (reads: readonly PromptRead[]) => void;
  /**
   * Returns the prompts that this gateway has sent since the last call, to report them to the other
   * gateways.
   */
  readonly drainNews: () => readonly PromptRead[];
  /** Puts back drained prompts that could not be reported, so that the next call reports them. */
  readonly restoreNews: (reads: readonly PromptRead[]) => void;
  /** Removes the estimates of endpoints that are no longer in use. */
  readonly expire: () => void;
}

interface EndpointCache {
  /** Token counts by model and block, least recently used first. */
  readonly parts: Map<string, number>;
  total: number;
}

/**
 * Fraction of an endpoint's cache that holds prompt blocks; running answers need little of it.
 * The value comes from the emulator with small.jsonc.
 */
const CACHED_PART = 0.85;
/**
 * Maximum number of prompts kept while no control host answers. Older prompts say little about what
 * the caches hold by then.
 */
const NEWS_LIMIT = 500;

const formatPart = (model: string, id: string): string => `${model}|${id}`;

const addPart = (state: EndpointCache, name: string, tokens: number): void => {
  state.total += tokens - (state.parts.get(name) ?? 0);
  state.parts.delete(name);
  state.parts.set(name, tokens);
};

const removeOldest = (state: EndpointCache, limit: number): void => {
  for (const [name, tokens] of state.parts) {
    if (state.total <= limit) return;
    state.parts.delete(name);
    state.total -= tokens;
  }
};

const countFrom = (parts: readonly PromptPart[]): readonly number[] =>
  parts.map((_part, index) => parts.slice(index).reduce((sum, { tokens }) => sum + tokens, 0));

/**
 * Creates the key of a prompt for a model. The last block is specific to the request or its
 * session, so it is not shared.
 */
export const createPromptKey = (model: string, parts: readonly PromptPart[]): PromptKey => ({
  names: parts.map(({ id }) => formatPart(model, id)),
  allFrom: countFrom(parts),
  sharedFrom: [...countFrom(parts.slice(0, -1)), 0],
});

const NOTHING_UNREAD: UnreadTokens = { shared: 0, all: 0 };

/**
 * Creates estimates with empty caches. `findCacheTokens` returns the cache size of an endpoint in
 * tokens, or undefined for an endpoint that is not in use.
 */
export const createCacheBeliefs = (
  findCacheTokens: (endpoint: string) => number | undefined,
): CacheBeliefs => {
  const caches = new Map<string, EndpointCache>();
  let news: PromptRead[] = [];

  const addRead = ({ endpoint, model, parts }: PromptRead): void => {
    const cacheTokens = findCacheTokens(endpoint);
    if (cacheTokens === undefined) return;
    const state = caches.get(endpoint) ?? { parts: new Map(), total: 0 };
    caches.set(endpoint, state);
    parts.forEach(([id, tokens]) => addPart(state, formatPart(model, id), tokens));
    removeOldest(state, CACHED_PART * cacheTokens);
  };

  return {
    countUnread: (endpoint, { names, allFrom, sharedFrom }) => {
      const held = caches.get(endpoint)?.parts;
      const first = held ? names.findIndex((name) => !held.has(name)) : 0;
      if (first < 0 || names.length === 0) return NOTHING_UNREAD;
      return { shared: sharedFrom[first]!, all: allFrom[first]! };
    },
    record: (endpoint, model, parts) => {
      const read: PromptRead = {
        endpoint,
        model,
        parts: parts.map(({ id, tokens }) => [id, tokens]),
      };
      addRead(read);
      news.push(read);
      if (news.length > NEWS_LIMIT) news.shift();
    },
    applyOthers: (reads) => reads.forEach(addRead),
    drainNews: () => {
      const drained = news;
      news = [];
      return drained;
    },
    restoreNews: (reads) => {
      news = [...reads, ...news].slice(-NEWS_LIMIT);
    },
    expire: () => {
      for (const endpoint of caches.keys()) {
        if (findCacheTokens(endpoint) === undefined) caches.delete(endpoint);
      }
    },
  };
};
