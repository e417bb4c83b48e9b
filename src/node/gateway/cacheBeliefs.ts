import type { PromptRead } from '../routingControl';
import type { PromptPart } from './types';

/** A prompt for one model, in the form in which endpoints are asked what they hold of it. */
export interface PromptKey {
  /** Names of the parts, in order. */
  readonly names: readonly string[];
  /** Tokens from each part on, of all parts and of those that other requests have too. */
  readonly allFrom: readonly number[];
  readonly sharedFrom: readonly number[];
}

/** Tokens of a prompt that an endpoint has likely not read yet. */
export interface UnreadTokens {
  /** Of the parts that other requests have too. */
  readonly shared: number;
  /** Of all parts. */
  readonly all: number;
}

/** What this gateway believes that the endpoints' memories hold: the parts all gateways sent there lately. */
export interface CacheBeliefs {
  /** Counts the tokens after the longest known beginning of a prompt. */
  readonly countUnread: (endpoint: string, prompt: PromptKey) => UnreadTokens;
  /** Takes note of a prompt that this gateway has sent. */
  readonly record: (endpoint: string, model: string, parts: readonly PromptPart[]) => void;
  /** Takes over what the other gateways have sent. */
  readonly applyOthers: (reads: readonly PromptRead[]) => void;
  /** Gives what this gateway has sent since the last call, for the others. */
  readonly drainNews: () => readonly PromptRead[];
  /** Takes news back that did not reach the others. */
  readonly restoreNews: (reads: readonly PromptRead[]) => void;
  /** Forgets endpoints that are not in use any more. */
  readonly expire: () => void;
}

interface EndpointCache {
  /** Tokens by model and part, the least recently used first. */
  readonly parts: Map<string, number>;
  total: number;
}

/** Part of an endpoint's memory that cached parts have; answers under way take little. Emulator, small.jsonc. */
const CACHED_PART = 0.85;
/** News that wait while no control host answers; older ones say little of what is held by then. */
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

/** Computes the key of a prompt for a model. The last part belongs to the request or its session. */
export const createPromptKey = (model: string, parts: readonly PromptPart[]): PromptKey => ({
  names: parts.map(({ id }) => formatPart(model, id)),
  allFrom: countFrom(parts),
  sharedFrom: [...countFrom(parts.slice(0, -1)), 0],
});

const NOTHING_UNREAD: UnreadTokens = { shared: 0, all: 0 };

/**
 * Creates beliefs about nothing. `findCacheTokens` gives the tokens that an endpoint's memory holds,
 * or nothing for an endpoint that is not in use.
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
