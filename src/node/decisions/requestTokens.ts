// Load pattern: an endpoint in need takes a few requests a second from all gateways together, while
// many gateways have more requests for it than that, in bursts and unevenly. Gateways start, stop
// and lose the control host that knows how much the others send.

/** Requests that may be sent to an endpoint; refilled at the rate that the endpoint takes. */
export interface TokenBucket {
  readonly tokens: number;
  /** Monotonic time in milliseconds of the latest refill. */
  readonly at: number;
}

/** Input for the number of tokens that a gateway asks for. */
export interface TokenDemand {
  /** Requests per second of the gateway that the endpoint could serve. */
  readonly requestsPerSecond: number;
  /** Endpoints that share these requests. */
  readonly endpoints: number;
  /** Tokens that the gateway holds. */
  readonly held: number;
}

/** Time after which an unused token is void, in milliseconds. */
export const TOKEN_LIFETIME_MS = 1_500;
/** Most tokens that are kept while no gateway asks for any. */
const MAX_TOKENS = 2;
/** Bounds what one gateway takes from the others at once. */
const MAX_WANTED = 10;
/**
 * Requests per second that all gateways together send to an endpoint with a lower limit. Only a
 * response shows that a limit has ended.
 */
const MIN_REQUESTS_PER_SECOND = 0.2;
const MS_PER_SECOND = 1_000;

/** Resolves the requests per second that an endpoint with a limit is sent by all gateways. */
export const resolveSentRate = (requestsPerSecond: number): number =>
  Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);

/**
 * Creates the bucket of an endpoint that has just named its limit, or whose limit a new control host
 * has just learnt. The debt covers tokens that may still be held.
 */
export const createTokenBucket = (requestsPerSecond: number, now: number): TokenBucket => ({
  tokens: (-requestsPerSecond * TOKEN_LIFETIME_MS) / MS_PER_SECOND,
  at: now,
});

/** Adds what the endpoint takes since the latest refill. */
export const computeRefill = (
  { tokens, at }: TokenBucket,
  requestsPerSecond: number,
  now: number,
): TokenBucket => ({
  tokens: Math.min(MAX_TOKENS, tokens + (requestsPerSecond * (now - at)) / MS_PER_SECOND),
  at: now,
});

/** Computes the whole tokens that a bucket grants of those wanted. */
export const computeGrant = ({ tokens }: TokenBucket, wanted: number): number =>
  Math.max(0, Math.min(wanted, Math.floor(tokens)));

/** Computes how many tokens a gateway asks for: what it can use before they are void. */
export const computeWantedTokens = (demand: TokenDemand): number => {
  const { requestsPerSecond, endpoints, held } = demand;
  if (requestsPerSecond === 0) return 0;
  const perLifetime = (requestsPerSecond / Math.max(1, endpoints)) * TOKEN_LIFETIME_MS;
  const target = Math.min(MAX_WANTED, Math.ceil(perLifetime / MS_PER_SECOND));
  return Math.max(0, target - held);
};
