import murmurhash from 'murmurhash';

// Load pattern: long prompts with shared prefixes arrive while the caches are empty, after a start
// or with a new version. Prefill is the bottleneck, and several gateways choose endpoints
// concurrently. Long prompts delay waiting requests and the streams that run beside them.

/** An engine endpoint that may take a request. */
export interface EngineCandidate {
  readonly id: string;
  readonly isOwnZone: boolean;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  /** Requests in flight at the endpoint, from all gateways as far as known. */
  readonly running: number;
  /** Prefill work queued ahead of a new request, in milliseconds. */
  readonly queueMs: number;
  /** Prefill work of less urgent requests, which this request goes before, in milliseconds. */
  readonly displacedMs?: number;
  /** Prefill time of the part of this prompt that the endpoint has not cached, in milliseconds. */
  readonly prefillMs: number;
  /** Tokens of the shared prompt prefix that the endpoint has not cached. */
  readonly uncachedPrefixTokens: number;
  readonly isWarmingUp: boolean;
  /** Whether the endpoint is ejected after failures. */
  readonly isEjected: boolean;
  /** Time of a decode step, divided by the mean of the pool; 1 if absent. */
  readonly stepFactor?: number;
}

/** Input for the placement of an engine request. */
export interface EnginePlacementInput<T extends EngineCandidate> {
  readonly candidates: readonly T[];
  /** Affinity key: the model and the shared prompt prefix. */
  readonly affinity: string;
  /** Milliseconds left until the first token misses its latency target. */
  readonly timeLeftMs: number;
  /** Longest pause of a stream that is on time, in milliseconds; undefined if there is no limit. */
  readonly pauseTargetMs?: number | undefined;
}

/** The placement of a request with the predicted time to its first token, or the refusal. */
export type EnginePlacement<T extends EngineCandidate> =
  | { readonly type: 'placed'; readonly candidate: T; readonly predictedMs: number }
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** Time that one running request adds to the time to the first token: about one decode step. */
const RUNNING_REQUEST_MS = 2;
/**
 * Penalty for another zone. It slightly exceeds the network delay, so ties stay in the own zone.
 */
const OTHER_ZONE_MS = 12;
/** Slow-down of an endpoint during warm-up, which its reports do not include. */
const WARMUP_FACTOR = 2;
/**
 * Cost to other requests of prefilling a shared prefix token again. It uses engine time and evicts
 * another prefix from the cache. The value suits loads of 1 to 2 times the capacity.
 */
const REPREFILL_MS_PER_TOKEN = 0.2;
/** Fraction of that cost at the prefix's preferred endpoint, where later requests can reuse it. */
const PREFERRED_REPREFILL_FRACTION = 0.3;
/** Fraction of the time left within which an earlier first token has little value to the caller. */
const EARLY_FRACTION = 0.3;
/** Weight of a millisecond within that time. */
const EARLY_WEIGHT = 0.25;
/**
 * Weight of a millisecond of less urgent work that the request goes before. At 0, urgent requests
 * gather where they delay others most; at 1, they follow the least total work and pass nothing.
 */
const DISPLACED_WEIGHT = 0.25;
/**
 * Cost, for each running request, of a millisecond of prefill without a break beyond a fraction of
 * the pause target. At 0.5, requests themselves wait longer than the pauses gain.
 */
const PAUSE_WEIGHT = 0.1;
const PAUSE_FRACTION = 0.5;
/** Requests per slot above which an endpoint is full; requests beyond its slots only wait there. */
const QUEUE_FACTOR = 1.25;
/** Retry time without endpoints, by which new endpoint reports may have arrived. */
const NO_ENDPOINT_RETRY_MS = 500;
/** Retry time of a full pool; slots become free within about the time of one answer. */
const FULL_RETRY_MS = 700;

const findPreferred = <T extends EngineCandidate>({
  candidates,
  affinity,
}: EnginePlacementInput<T>): T => {
  const affinityHash = murmurhash.v3(affinity);
  let preferred = candidates[0]!;
  let bestScore = -1;
  for (const candidate of candidates) {
    const score = murmurhash.v3(candidate.id, affinityHash);
    if (score > bestScore) {
      bestScore = score;
      preferred = candidate;
    }
  }
  return preferred;
};

const estimateFirstTokenMs = (candidate: EngineCandidate): number => {
  const { queueMs, prefillMs, running, isOwnZone, isWarmingUp, stepFactor = 1 } = candidate;
  const engineMs = (queueMs + prefillMs) * (isWarmingUp ? WARMUP_FACTOR : 1);
  return engineMs + running * RUNNING_REQUEST_MS * stepFactor + (isOwnZone ? 0 : OTHER_ZONE_MS);
};

// The cost to requests that wait at the endpoint or already stream from it, in milliseconds. An
// engine that prefills without a break delays each event by several chunks.
const computeCausedMs = (
  { queueMs, prefillMs, displacedMs = 0, running }: EngineCandidate,
  pauseTargetMs: number,
): number => {
  const pendingMs = queueMs + displacedMs;
  const limitMs = Math.max(pendingMs, PAUSE_FRACTION * pauseTargetMs);
  const overrunMs = Math.max(0, pendingMs + prefillMs - limitMs);
  return DISPLACED_WEIGHT * displacedMs + PAUSE_WEIGHT * running * overrunMs;
};

// The cost of a placement to the caller and to other requests, in milliseconds.
const computeCost = (
  predictedMs: number,
  {
    timeLeftMs,
    pauseTargetMs = Infinity,
  }: Pick<EnginePlacementInput<EngineCandidate>, 'timeLeftMs' | 'pauseTargetMs'>,
  candidate: EngineCandidate,
  isPreferred: boolean,
): number => {
  const excessMs = Math.max(0, predictedMs - EARLY_FRACTION * timeLeftMs);
  const reprefillMs =
    candidate.uncachedPrefixTokens *
    REPREFILL_MS_PER_TOKEN *
    (isPreferred ? PREFERRED_REPREFILL_FRACTION : 1);
  return (
    excessMs + EARLY_WEIGHT * predictedMs + reprefillMs + computeCausedMs(candidate, pauseTargetMs)
  );
};

/**
 * Chooses the endpoint with the lowest cost. While the first token is predicted early enough, this
 * favours endpoints that have cached the prompt prefix and the preferred endpoint of the prefix.
 * Otherwise it favours the earliest predicted first token.
 */
export const placeEngineRequest = <T extends EngineCandidate>(
  input: EnginePlacementInput<T>,
): EnginePlacement<T> => {
  const { candidates } = input;
  if (candidates.length === 0) {
    const reason = 'no endpoint accepts requests';
    return { type: 'refused', reason, retryAfterMs: NO_ENDPOINT_RETRY_MS };
  }
  const isAnyHealthy = candidates.some(({ isEjected }) => !isEjected);
  const preferred = findPreferred(input);
  let best: { readonly candidate: T; readonly predictedMs: number } | undefined;
  let bestCost = Infinity;
  // A plain loop without intermediate arrays, since it runs several times per request over all
  // endpoints.
  for (const candidate of candidates) {
    if (isAnyHealthy && candidate.isEjected) continue;
    if (candidate.running >= candidate.slots * QUEUE_FACTOR) continue;
    const predictedMs = estimateFirstTokenMs(candidate);
    const cost = computeCost(predictedMs, input, candidate, candidate === preferred);
    if (cost < bestCost) {
      bestCost = cost;
      best = { candidate, predictedMs };
    }
  }
  if (best) return { type: 'placed', ...best };
  return { type: 'refused', reason: 'all endpoints are full', retryAfterMs: FULL_RETRY_MS };
};
