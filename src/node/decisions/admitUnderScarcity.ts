// Load pattern: callers of several ranks send more work to one service than its endpoints can serve
// in time, for example a burst of long, less urgent prompts followed by one of urgent prompts. Many
// gateways decide at the same time on loads that are up to half a second old.

/** Target latency of a route of the service, with the rank of its requests. */
export interface RankTarget {
  /** Urgency, 0 is the most urgent. */
  readonly rank: number;
  readonly targetMs: number;
}

/** Load of the endpoints of a service, from all gateways as far as known. */
export interface PoolLoad {
  /** Mean prefill work that is pending at a usable endpoint, in milliseconds. */
  readonly pendingMs: number;
  /** Requests in flight divided by the places of the usable endpoints. */
  readonly takenFraction: number;
  /** Usable endpoints. */
  readonly endpoints: number;
  /** Whether the load was estimated from the requests of this gateway alone. */
  readonly isOwnOnly?: boolean;
  /** Age of what the other gateways reported, in milliseconds. */
  readonly ageMs: number;
}

/** Input for the admission of one request. */
export interface ScarcityInput {
  /** Rank of the request: that of its organisation, or of its route. */
  readonly rank: number;
  /** Ranks and targets of all routes of the service. */
  readonly targets: readonly RankTarget[];
  /** Target latency of the request's route. */
  readonly targetMs: number;
  /** Milliseconds left until the target is missed; negative when it is. */
  readonly targetLeftMs: number;
  /** Milliseconds left until the caller's limit or the route's timeout. */
  readonly limitLeftMs: number;
  /** Prefill work ahead of the request at the best endpoint, and its own there. */
  readonly queueMs: number;
  readonly prefillMs: number;
  readonly pool: PoolLoad;
  /** Work per endpoint that waits at this gateway and goes before this request. */
  readonly waitingAheadMs: number;
  /** Whether any request that goes before this one waits at this gateway. */
  readonly isAnyAhead: boolean;
  /** Whether any other request waits at this gateway. */
  readonly isAnyWaiting: boolean;
  /** Whether the caller was refused before and has returned. */
  readonly isReturner: boolean;
  /** Recent use of the organisation divided by its fair share. */
  readonly useRatio: number;
  /** Whether the queue at this gateway has room for the request. */
  readonly canWait: boolean;
  /** Number from 0 to 1 that spreads the returns of refused callers. */
  readonly spread: number;
}

/** Why a request that may not run now waits or is refused. */
export type ScarcityReason = 'pool' | 'queue' | 'hopeless' | 'queue_full';

/** Whether a request runs now, waits at the gateway, or is refused. */
export type ScarcityVerdict = {
  /** Limit of the pool's pending work that applies to the request, in milliseconds. */
  readonly limitMs: number;
} & (
  | { readonly type: 'run' }
  | { readonly type: 'wait'; readonly waitMs: number; readonly reason: ScarcityReason }
  | { readonly type: 'refuse'; readonly retryAfterMs: number; readonly reason: ScarcityReason }
);

/**
 * Fraction of a request's own target that the pending work may take: the rest is left for the
 * request's own prefill and for endpoints that are above the mean.
 */
const OWN_TARGET_FRACTION = 0.85;
/**
 * Fraction of the shortest target of the more urgent routes that the second most urgent rank may
 * fill with pending work. Each further rank has `RANK_STEP` of
 * the one before it.
 */
const RESERVED_TARGET_FRACTION = 0.7;
const RANK_STEP = 0.8;
/**
 * Factor of the limit for the work of larger models. It leaves room for first runs, so that under
 * scarcity a request gets a smaller model before another one is refused. At 1, larger models fill
 * the pool up to the limit (emulator pattern scarce.jsonc).
 */
const LARGER_MODEL_FACTOR = 0.6;
/** Fraction of the places that each more urgent rank has for itself. */
const RESERVED_PLACES_FRACTION = 0.1;
/** Factor of the limit of requests that can no longer be on time. */
const LATE_FACTOR = 0.5;
/** Factor of the limit of a returning request, so that it goes before new ones at all gateways. */
const RETURNER_FACTOR = 1.15;
/** An organisation above this multiple of its fair share has a lower limit. */
const MAX_USE_RATIO = 1.5;
/** Lowest factor of that limit, so that no organisation is refused altogether. */
const MIN_USE_FACTOR = 0.25;
/**
 * An endpoint whose own queue is below this fraction of the limit is about to be idle, whatever the
 * mean says. Work that starts there at once delays no other request by much.
 */
const IDLE_QUEUE_FRACTION = 0.25;
/**
 * Below this fraction of taken places nothing is refused, unless other requests wait, here or at the
 * endpoints. Prompts that wait for their prefill take few of an engine's places.
 */
const FREE_PLACES_FRACTION = 0.5;
/** Bounds of the time after which a refused caller may return. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 10_000;
/** Returns are spread over this range of the predicted time. */
const SPREAD_FROM = 0.9;
const SPREAD_WIDTH = 0.8;

const computeUseFactor = (useRatio: number): number =>
  Math.max(MIN_USE_FACTOR, Math.min(1, MAX_USE_RATIO / Math.max(useRatio, 1e-9)));

/**
 * Computes the limit of the pool's pending work for a rank: less than what would make a request of a
 * more urgent route of the service miss its target, and lower with each rank.
 */
export const computeRankLimitMs = (
  rank: number,
  targetMs: number,
  targets: readonly RankTarget[],
): number => {
  const ownLimitMs = OWN_TARGET_FRACTION * targetMs;
  const urgent = targets.filter((target) => target.rank < rank);
  if (urgent.length === 0) return ownLimitMs;
  const steps = new Set(urgent.map((target) => target.rank)).size;
  const shortestMs = Math.min(...urgent.map((target) => target.targetMs));
  const reservedMs = RESERVED_TARGET_FRACTION * shortestMs * RANK_STEP ** (steps - 1);
  return Math.min(ownLimitMs, reservedMs);
};

/**
 * Computes the fraction of the pool's places up to which a rank may take them. The most urgent rank
 * has no limit of its own; endpoints refuse it when they are full.
 */
export const computePlacesLimit = (rank: number, targets: readonly RankTarget[]): number => {
  const ranks = new Set(targets.map((target) => target.rank).filter((other) => other < rank));
  return ranks.size === 0 ? Infinity : 1 - RESERVED_PLACES_FRACTION * ranks.size;
};

const computeLimitMs = (input: ScarcityInput): number => {
  const { rank, targetMs, targets, isReturner, useRatio, targetLeftMs } = input;
  return (
    computeRankLimitMs(rank, targetMs, targets) *
    (isReturner ? RETURNER_FACTOR : 1) *
    (targetLeftMs <= 0 ? LATE_FACTOR : 1) *
    computeUseFactor(useRatio)
  );
};

/**
 * Whether requests wait at the endpoints: the pending work is above what even the most urgent route
 * leaves to it.
 */
export const isWaitingAtEndpoints = (
  { pendingMs }: Pick<PoolLoad, 'pendingMs'>,
  targets: readonly RankTarget[],
): boolean =>
  pendingMs > OWN_TARGET_FRACTION * Math.min(...targets.map(({ targetMs }) => targetMs));

/** Computes the time after which a refused caller may return, when the pool has drained so far. */
export const computeRetryAfterMs = (drainMs: number, spread: number): number =>
  Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, drainMs) * (SPREAD_FROM + SPREAD_WIDTH * spread));

/**
 * Decides whether a request runs now. It runs while the pool's pending work is below the limit of
 * its rank and no request that goes before it waits. It waits while an offer would still be in time,
 * and is refused otherwise.
 */
export const admitUnderScarcity = (input: ScarcityInput): ScarcityVerdict => {
  const { pool, queueMs, prefillMs, targetLeftMs, limitLeftMs, waitingAheadMs } = input;
  const limitMs = computeLimitMs(input);
  const isBelowLimit =
    pool.pendingMs <= limitMs || (!pool.isOwnOnly && queueMs <= IDLE_QUEUE_FRACTION * limitMs);
  const isPlaceFree = pool.takenFraction < computePlacesLimit(input.rank, input.targets);
  if (isBelowLimit && isPlaceFree && !input.isAnyAhead) return { type: 'run', limitMs };
  const isAnyWaiting = input.isAnyWaiting || isWaitingAtEndpoints(pool, input.targets);
  const isCalm = !isAnyWaiting && pool.takenFraction < FREE_PLACES_FRACTION;
  const drainMs = Math.max(0, pool.pendingMs - limitMs) + waitingAheadMs;
  // At the latest time of an offer, the work ahead is at the limit; a prompt that is too long to be
  // on time behind it may still be offered in the first half of its target.
  const afterOfferMs = Math.min(limitMs + prefillMs, input.targetMs / 2);
  const latestOfferMs = Math.min(targetLeftMs, limitLeftMs) - afterOfferMs;
  const reason = input.isAnyAhead ? 'queue' : 'pool';
  if (input.canWait && latestOfferMs > 0 && (drainMs <= latestOfferMs || isCalm))
    return { type: 'wait', waitMs: latestOfferMs, reason, limitMs };
  if (isCalm) return { type: 'run', limitMs };
  const refusalReason = ((): ScarcityReason => {
    if (!input.canWait) return 'queue_full';
    return drainMs > latestOfferMs && latestOfferMs > 0 ? reason : 'hopeless';
  })();
  const retryAfterMs = computeRetryAfterMs(drainMs, input.spread);
  return { type: 'refuse', retryAfterMs, reason: refusalReason, limitMs };
};

/** Whether the pool has room for a larger model than the smallest one. */
export const hasRoomForLarger = (
  rank: number,
  targetMs: number,
  targets: readonly RankTarget[],
  pendingMs: number,
): boolean => pendingMs <= LARGER_MODEL_FACTOR * computeRankLimitMs(rank, targetMs, targets);
