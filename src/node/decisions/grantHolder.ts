import type { Demand, Grant } from './grants';

/** The part of an organisation's cap that refuses a request, with the time to retry after. */
export interface CapRefusal {
  readonly part: 'requestsPerSecond' | 'tokensPerSecond' | 'inFlight';
  readonly retryAfterSeconds: number;
}

/** The cap grants held by one entry, with token buckets that track their use. */
export interface GrantHolder {
  /** Installs a grant. Its lifetime is counted from the time of the request for it. */
  readonly install: (organisation: string, grant: Grant, expiresAt: number, now: number) => void;
  /** Takes capacity for one request, or returns the refusal and takes nothing. */
  readonly acquire: (
    organisation: string,
    tokens: number,
    isCapped: boolean,
    now: number,
  ) => CapRefusal | undefined;
  /** Returns the in-flight slot of a finished request, and the tokens that it did not use. */
  readonly release: (organisation: string, unusedTokens: number, now: number) => void;
  /** Lists the demands since the last call, per organisation. */
  readonly listDemands: (now: number) => ReadonlyMap<string, Demand>;
  /** Checks whether a request was refused for lack of a grant since the last call of `listDemands`. */
  readonly isStarved: () => boolean;
}

interface Bucket {
  level: number;
  rate: number;
  depth: number;
}

interface Slot {
  grant: Grant | undefined;
  applied: number;
  expiresAt: number;
  readAt: number;
  readonly requests: Bucket;
  readonly tokens: Bucket;
  inFlight: number;
  arrivedRequests: number;
  arrivedTokens: number;
  refusedInFlight: number;
  listedAt: number;
}

const SECOND_MS = 1_000;
const RETRY_LIMIT_SECONDS = 30;
/** Factor on the reported demand, so that the grant leaves room for an increase. */
const HEADROOM = 1.2;

const createBucket = (): Bucket => ({ level: 0, rate: 0, depth: 0 });

const createSlot = (now: number): Slot => ({
  grant: undefined,
  applied: 0,
  expiresAt: 0,
  readAt: now,
  requests: createBucket(),
  tokens: createBucket(),
  inFlight: 0,
  arrivedRequests: 0,
  arrivedTokens: 0,
  refusedInFlight: 0,
  listedAt: now,
});

const advanceBucket = (state: Bucket, elapsedMs: number): void => {
  state.level = Math.min(state.depth, state.level + (state.rate * elapsedMs) / SECOND_MS);
};

const resolveRetry = (missing: number, rate: number): number =>
  rate > 0 ? Math.min(RETRY_LIMIT_SECONDS, Math.max(1, Math.ceil(missing / rate))) : 1;

/** Creates an empty grant holder for one entry; times are in milliseconds of one monotonic clock. */
export const createGrantHolder = (): GrantHolder => {
  const slots = new Map<string, Slot>();
  let isWanting = false;

  const acquireSlot = (organisation: string, now: number): Slot => {
    const known = slots.get(organisation);
    if (known) return known;
    const slot = createSlot(now);
    slots.set(organisation, slot);
    return slot;
  };

  // The burst saved under an expired grant is discarded: the capacity may be granted to another entry.
  const advanceSlot = (slot: Slot, now: number): void => {
    const state = slot;
    const until = Math.min(now, slot.expiresAt);
    const elapsedMs = Math.max(0, until - slot.readAt);
    advanceBucket(slot.requests, elapsedMs);
    advanceBucket(slot.tokens, elapsedMs);
    state.readAt = now;
    if (now < slot.expiresAt) return;
    state.grant = undefined;
    state.requests.level = 0;
    state.tokens.level = Math.min(0, state.tokens.level);
  };

  const readGrant = (slot: Slot, now: number): Grant | undefined =>
    now < slot.expiresAt ? slot.grant : undefined;

  const findRefusal = (slot: Slot, tokens: number, now: number): CapRefusal | undefined => {
    const grant = readGrant(slot, now);
    if (!grant) return { part: 'requestsPerSecond', retryAfterSeconds: 1 };
    if (grant.inFlight !== undefined && slot.inFlight + 1 > grant.inFlight) {
      return { part: 'inFlight', retryAfterSeconds: 1 };
    }
    if (grant.requestsPerSecond !== undefined && slot.requests.level < 1) {
      const retryAfterSeconds = resolveRetry(1 - slot.requests.level, slot.requests.rate);
      return { part: 'requestsPerSecond', retryAfterSeconds };
    }
    // A request larger than the bucket is admitted when the bucket is full and leaves a negative level.
    const needed = Math.min(tokens, slot.tokens.depth);
    const isShort = slot.tokens.depth <= 0 || slot.tokens.level < needed;
    if (grant.tokensPerSecond !== undefined && isShort) {
      const retryAfterSeconds = resolveRetry(needed - slot.tokens.level, slot.tokens.rate);
      return { part: 'tokensPerSecond', retryAfterSeconds };
    }
    return undefined;
  };

  const acquire: GrantHolder['acquire'] = (organisation, tokens, isCapped, now) => {
    if (!isCapped) return undefined;
    const slot = acquireSlot(organisation, now);
    advanceSlot(slot, now);
    slot.arrivedRequests += 1;
    slot.arrivedTokens += tokens;
    const refusal = findRefusal(slot, tokens, now);
    if (refusal) {
      isWanting = isWanting || readGrant(slot, now) === undefined;
      if (refusal.part === 'inFlight') slot.refusedInFlight += 1;
      return refusal;
    }
    slot.requests.level -= 1;
    slot.tokens.level -= tokens;
    slot.inFlight += 1;
    return undefined;
  };

  const readDemand = (slot: Slot, now: number): Demand => {
    const seconds = Math.max(0.2, (now - slot.listedAt) / SECOND_MS);
    return {
      requestsPerSecond: (slot.arrivedRequests / seconds) * HEADROOM,
      tokensPerSecond: (slot.arrivedTokens / seconds) * HEADROOM,
      wantedInFlight: slot.inFlight + slot.refusedInFlight + (slot.arrivedRequests > 0 ? 1 : 0),
      inFlight: slot.inFlight,
      held: readGrant(slot, now),
      applied: slot.applied,
    };
  };

  const closeDemand = (slot: Slot, now: number): void => {
    const state = slot;
    state.arrivedRequests = 0;
    state.arrivedTokens = 0;
    state.refusedInFlight = 0;
    state.listedAt = now;
  };

  return {
    install: (organisation, grant, expiresAt, now) => {
      const slot = acquireSlot(organisation, now);
      advanceSlot(slot, now);
      if (grant.sequence <= slot.applied) return;
      slot.applied = grant.sequence;
      slot.grant = grant;
      slot.expiresAt = expiresAt;
      slot.requests.rate = grant.requestsPerSecond ?? 0;
      slot.requests.depth = grant.requestBurst ?? 0;
      slot.tokens.rate = grant.tokensPerSecond ?? 0;
      slot.tokens.depth = grant.tokenBurst ?? 0;
      advanceBucket(slot.requests, 0);
      advanceBucket(slot.tokens, 0);
    },
    acquire,
    release: (organisation, unusedTokens, now) => {
      const slot = slots.get(organisation);
      if (!slot) return;
      advanceSlot(slot, now);
      slot.inFlight = Math.max(0, slot.inFlight - 1);
      if (readGrant(slot, now)) slot.tokens.level += unusedTokens;
      advanceBucket(slot.tokens, 0);
    },
    listDemands: (now) => {
      isWanting = false;
      const demands = new Map<string, Demand>();
      for (const [organisation, slot] of slots) {
        advanceSlot(slot, now);
        demands.set(organisation, readDemand(slot, now));
        closeDemand(slot, now);
      }
      return demands;
    },
    isStarved: () => isWanting,
  };
};
