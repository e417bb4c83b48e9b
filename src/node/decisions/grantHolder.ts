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
  /**
   * Checks whether a request was refused for lack of a grant since the last call of `listDemands`.
   */
  readonly isGrantMissing: () => boolean;
}

interface TokenBucket {
  level: number;
  rate: number;
  depth: number;
}

interface OrganisationUsage {
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
/** Factor on the reported demand, so that the grant leaves room for an increase. */
const DEMAND_HEADROOM = 1.2;

const createBucket = (): TokenBucket => ({ level: 0, rate: 0, depth: 0 });

const createUsage = (now: number): OrganisationUsage => ({
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

/**
 * Creates an empty grant holder for one entry; times are in milliseconds of one monotonic clock.
 */
export const createGrantHolder = (): GrantHolder => {
  const usages = new Map<string, OrganisationUsage>();
  let hasUngrantedRefusal = false;

  const acquireUsage = (organisation: string, now: number): OrganisationUsage => {
    const known = usages.get(organisation);
    if (known) return known;
    const usage = createUsage(now);
    usages.set(organisation, usage);
    return usage;
  };

  // The burst saved under an expired grant is discarded: the capacity may be granted to another
  // entry.
  const advanceBuckets = (usage: OrganisationUsage, now: number): void => {
    const state = usage;
    const until = Math.min(now, usage.expiresAt);
    const elapsedMs = Math.max(0, until - usage.refilledAt);
    advanceBucket(usage.requests, elapsedMs);
    advanceBucket(usage.tokens, elapsedMs);
    state.refilledAt = now;
    if (now < usage.expiresAt) return;
    state.grant = undefined;
    state.requests.level = 0;
    state.tokens.level = Math.min(0, state.tokens.level);
  };

  const readGrant = (usage: OrganisationUsage, now: number): Grant | undefined =>
    now < usage.expiresAt ? usage.grant : undefined;

  const findRefusal = (
    usage: OrganisationUsage,
    tokens: number,
    now: number,
  ): CapRefusal | undefined => {
    const grant = readGrant(usage, now);
    if (!grant) return { part: 'requestsPerSecond', retryAfterSeconds: 1 };
    if (grant.inFlight !== undefined && usage.inFlight + 1 > grant.inFlight) {
      return { part: 'inFlight', retryAfterSeconds: 1 };
    }
    if (grant.requestsPerSecond !== undefined && usage.requests.level < 1) {
      const retryAfterSeconds = computeRetryAfter(1 - usage.requests.level, usage.requests.rate);
      return { part: 'requestsPerSecond', retryAfterSeconds };
    }
    // A request larger than the bucket is admitted when the bucket is full and leaves a negative
    // level.
    const needed = Math.min(tokens, usage.tokens.depth);
    const isShort = usage.tokens.depth <= 0 || usage.tokens.level < needed;
    if (grant.tokensPerSecond !== undefined && isShort) {
      const retryAfterSeconds = computeRetryAfter(needed - usage.tokens.level, usage.tokens.rate);
      return { part: 'tokensPerSecond', retryAfterSeconds };
    }
    return undefined;
  };

  const acquire: GrantHolder['acquire'] = (organisation, tokens, isCapped, now) => {
    if (!isCapped) return undefined;
    const usage = acquireUsage(organisation, now);
    advanceBuckets(usage, now);
    usage.arrivedRequests += 1;
    usage.arrivedTokens += tokens;
    const refusal = findRefusal(usage, tokens, now);
    if (refusal) {
      hasUngrantedRefusal = hasUngrantedRefusal || readGrant(usage, now) === undefined;
      if (refusal.part === 'inFlight') usage.refusedInFlight += 1;
      return refusal;
    }
    usage.requests.level -= 1;
    usage.tokens.level -= tokens;
    usage.inFlight += 1;
    return undefined;
  };

  const readDemand = (usage: OrganisationUsage, now: number): Demand => {
    const seconds = Math.max(0.2, (now - usage.listedAt) / SECOND_MS);
    return {
      requestsPerSecond: (usage.arrivedRequests / seconds) * DEMAND_HEADROOM,
      tokensPerSecond: (usage.arrivedTokens / seconds) * DEMAND_HEADROOM,
      wantedInFlight: usage.inFlight + usage.refusedInFlight + (usage.arrivedRequests > 0 ? 1 : 0),
      inFlight: usage.inFlight,
      held: readGrant(usage, now),
      applied: usage.applied,
    };
  };

  const startDemandWindow = (usage: OrganisationUsage, now: number): void => {
    const state = usage;
    state.arrivedRequests = 0;
    state.arrivedTokens = 0;
    state.refusedInFlight = 0;
    state.listedAt = now;
  };

  return {
    install: (organisation, grant, expiresAt, now) => {
      const usage = acquireUsage(organisation, now);
      advanceBuckets(usage, now);
      if (grant.sequence <= usage.applied) return;
      usage.applied = grant.sequence;
      usage.grant = grant;
      usage.expiresAt = expiresAt;
      usage.requests.rate = grant.requestsPerSecond ?? 0;
      usage.requests.depth = grant.requestBurst ?? 0;
      usage.tokens.rate = grant.tokensPerSecond ?? 0;
      usage.tokens.depth = grant.tokenBurst ?? 0;
      advanceBucket(usage.requests, 0);
      advanceBucket(usage.tokens, 0);
    },
    acquire,
    release: (organisation, unusedTokens, now) => {
      const usage = usages.get(organisation);
      if (!usage) return;
      advanceBuckets(usage, now);
      usage.inFlight = Math.max(0, usage.inFlight - 1);
      if (readGrant(usage, now)) usage.tokens.level += unusedTokens;
      advanceBucket(usage.tokens, 0);
    },
    listDemands: (now) => {
      hasUngrantedRefusal = false;
      const demands = new Map<string, Demand>();
      for (const [organisation, usage] of usages) {
        advanceBuckets(usage, now);
        demands.set(organisation, readDemand(usage, now));
        startDemandWindow(usage, now);
      }
      return demands;
    },
    isGrantMissing: () => hasUngrantedRefusal,
  };
};
