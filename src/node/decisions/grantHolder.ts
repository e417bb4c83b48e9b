import type { Demand, Grant } from './grants';

/** Why an organisation's cap refuses a request now. */
export interface CapRefusal {
  readonly part: 'requestsPerSecond' | 'tokensPerSecond' | 'inFlight';
  readonly retryAfterSeconds: number;
}

/** What an entry holds of the caps, and what it has used of that. */
export interface GrantHolder {
  /** Puts a grant in force; it counts from when it was asked for. */
  readonly install: (organisation: string, grant: Grant, expiresAt: number, now: number) => void;
  /** Takes room for one request, or says why there is none; nothing is taken then. */
  readonly acquire: (
    organisation: string,
    tokens: number,
    isCapped: boolean,
    now: number,
  ) => CapRefusal | undefined;
  /** Gives back the place of a request that ended, and the tokens that it did not use. */
  readonly release: (organisation: string, unusedTokens: number, now: number) => void;
  /** Lists the demands since the last call, per organisation. */
  readonly listDemands: (now: number) => ReadonlyMap<string, Demand>;
  /** Says whether work was refused for want of a grant since the last exchange. */
  readonly isGrantMissing: () => boolean;
}

interface TokenBucket {
  level: number;
  rate: number;
  depth: number;
}

interface OrganisationState {
  grant: Grant | undefined;
  applied: number;
  expiresAt: number;
  refilledAt: number;
  readonly requests: TokenBucket;
  readonly tokens: TokenBucket;
  inFlight: number;
  arrivedRequests: number;
  arrivedTokens: number;
  refusedInFlight: number;
  listedAt: number;
}

const SECOND_MS = 1_000;
const RETRY_LIMIT_SECONDS = 30;
/** Demand is reported above what arrived, so that a grant has room to follow a rise. */
const DEMAND_HEADROOM = 1.2;

const createBucket = (): TokenBucket => ({ level: 0, rate: 0, depth: 0 });

const createOrganisationState = (now: number): OrganisationState => ({
  grant: undefined,
  applied: 0,
  expiresAt: 0,
  refilledAt: now,
  requests: createBucket(),
  tokens: createBucket(),
  inFlight: 0,
  arrivedRequests: 0,
  arrivedTokens: 0,
  refusedInFlight: 0,
  listedAt: now,
});

const advanceBucket = (state: TokenBucket, elapsedMs: number): void => {
  state.level = Math.min(state.depth, state.level + (state.rate * elapsedMs) / SECOND_MS);
};

const computeRetryAfter = (missing: number, rate: number): number =>
  rate > 0 ? Math.min(RETRY_LIMIT_SECONDS, Math.max(1, Math.ceil(missing / rate))) : 1;

/** Creates the holder of one entry's grants; times are in milliseconds on one monotonic clock. */
export const createGrantHolder = (): GrantHolder => {
  const slots = new Map<string, OrganisationState>();
  let hasUngrantedRefusal = false;

  const acquireState = (organisation: string, now: number): OrganisationState => {
    const known = slots.get(organisation);
    if (known) return known;
    const slot = createOrganisationState(now);
    slots.set(organisation, slot);
    return slot;
  };

  // What was saved up under a grant that ran out is void: it may be another entry's by now.
  const advanceBuckets = (slot: OrganisationState, now: number): void => {
    const state = slot;
    const until = Math.min(now, slot.expiresAt);
    const elapsedMs = Math.max(0, until - slot.refilledAt);
    advanceBucket(slot.requests, elapsedMs);
    advanceBucket(slot.tokens, elapsedMs);
    state.refilledAt = now;
    if (now < slot.expiresAt) return;
    state.grant = undefined;
    state.requests.level = 0;
    state.tokens.level = Math.min(0, state.tokens.level);
  };

  const readGrant = (slot: OrganisationState, now: number): Grant | undefined =>
    now < slot.expiresAt ? slot.grant : undefined;

  const findRefusal = (
    slot: OrganisationState,
    tokens: number,
    now: number,
  ): CapRefusal | undefined => {
    const grant = readGrant(slot, now);
    if (!grant) return { part: 'requestsPerSecond', retryAfterSeconds: 1 };
    if (grant.inFlight !== undefined && slot.inFlight + 1 > grant.inFlight) {
      return { part: 'inFlight', retryAfterSeconds: 1 };
    }
    if (grant.requestsPerSecond !== undefined && slot.requests.level < 1) {
      const retryAfterSeconds = computeRetryAfter(1 - slot.requests.level, slot.requests.rate);
      return { part: 'requestsPerSecond', retryAfterSeconds };
    }
    // A request larger than the whole bucket goes when the bucket is full and leaves a debt.
    const needed = Math.min(tokens, slot.tokens.depth);
    const isShort = slot.tokens.depth <= 0 || slot.tokens.level < needed;
    if (grant.tokensPerSecond !== undefined && isShort) {
      const retryAfterSeconds = computeRetryAfter(needed - slot.tokens.level, slot.tokens.rate);
      return { part: 'tokensPerSecond', retryAfterSeconds };
    }
    return undefined;
  };

  const acquire: GrantHolder['acquire'] = (organisation, tokens, isCapped, now) => {
    if (!isCapped) return undefined;
    const slot = acquireState(organisation, now);
    advanceBuckets(slot, now);
    slot.arrivedRequests += 1;
    slot.arrivedTokens += tokens;
    const refusal = findRefusal(slot, tokens, now);
    if (refusal) {
      hasUngrantedRefusal = hasUngrantedRefusal || readGrant(slot, now) === undefined;
      if (refusal.part === 'inFlight') slot.refusedInFlight += 1;
      return refusal;
    }
    slot.requests.level -= 1;
    slot.tokens.level -= tokens;
    slot.inFlight += 1;
    return undefined;
  };

  const readDemand = (slot: OrganisationState, now: number): Demand => {
    const seconds = Math.max(0.2, (now - slot.listedAt) / SECOND_MS);
    return {
      requestsPerSecond: (slot.arrivedRequests / seconds) * DEMAND_HEADROOM,
      tokensPerSecond: (slot.arrivedTokens / seconds) * DEMAND_HEADROOM,
      wantedInFlight: slot.inFlight + slot.refusedInFlight + (slot.arrivedRequests > 0 ? 1 : 0),
      inFlight: slot.inFlight,
      held: readGrant(slot, now),
      applied: slot.applied,
    };
  };

  const startDemandWindow = (slot: OrganisationState, now: number): void => {
    const state = slot;
    state.arrivedRequests = 0;
    state.arrivedTokens = 0;
    state.refusedInFlight = 0;
    state.listedAt = now;
  };

  return {
    install: (organisation, grant, expiresAt, now) => {
      const slot = acquireState(organisation, now);
      advanceBuckets(slot, now);
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
      advanceBuckets(slot, now);
      slot.inFlight = Math.max(0, slot.inFlight - 1);
      if (readGrant(slot, now)) slot.tokens.level += unusedTokens;
      advanceBucket(slot.tokens, 0);
    },
    listDemands: (now) => {
      hasUngrantedRefusal = false;
      const demands = new Map<string, Demand>();
      for (const [organisation, slot] of slots) {
        advanceBuckets(slot, now);
        demands.set(organisation, readDemand(slot, now));
        startDemandWindow(slot, now);
      }
      return demands;
    },
    isGrantMissing: () => hasUngrantedRefusal,
  };
};
