import type { PromptPart } from './types';

/** Tokens of a prompt that an endpoint has likely not read yet. */
export interface UnreadTokens {
  /** Of the parts that other requests have too. */
  readonly shared: number;
  /** Of the last part, which belongs to the request or its session. */
  readonly own: number;
}

/** What this gateway believes that the endpoints' caches hold: the parts it sent there lately. */
export interface CacheBeliefs {
  /** Counts the tokens after the longest known beginning of a prompt. */
  readonly countUnread: (
    endpoint: string,
    model: string,
    parts: readonly PromptPart[],
  ) => UnreadTokens;
  /** Takes note that an endpoint has been sent a prompt; `cacheTokens` is what its memory holds. */
  readonly record: (
    endpoint: string,
    model: string,
    parts: readonly PromptPart[],
    cacheTokens: number,
  ) => void;
}

interface EndpointCache {
  /** Tokens by model and part, the least recently used first. */
  readonly parts: Map<string, number>;
  total: number;
}

/** Part of an endpoint's memory that cached parts may have; the rest is for running requests. */
const CACHED_PART = 0.6;

const formatPart = (model: string, part: PromptPart): string => `${model}|${part.id}`;

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

/** Creates beliefs about nothing. */
export const createCacheBeliefs = (): CacheBeliefs => {
  const caches = new Map<string, EndpointCache>();
  return {
    countUnread: (endpoint, model, parts) => {
      const held = caches.get(endpoint)?.parts;
      const first = parts.findIndex((part) => !held?.has(formatPart(model, part)));
      if (first < 0) return { shared: 0, own: 0 };
      const shared = parts.slice(first, -1).reduce((sum, { tokens }) => sum + tokens, 0);
      return { shared, own: parts.at(-1)!.tokens };
    },
    record: (endpoint, model, parts, cacheTokens) => {
      const state = caches.get(endpoint) ?? { parts: new Map(), total: 0 };
      caches.set(endpoint, state);
      parts.forEach((part) => addPart(state, formatPart(model, part), part.tokens));
      removeOldest(state, CACHED_PART * cacheTokens);
    },
  };
};
