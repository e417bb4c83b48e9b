import murmurhash from 'murmurhash';

// Load pattern: long prompts that share their beginnings arrive while caches are empty, after a
// start or at a new version; reading them is the scarce work, and several gateways choose at once.

/** An engine endpoint that may take a request. */
export interface EngineCandidate {
  readonly id: string;
  readonly isOwnZone: boolean;
  /** Requests that the endpoint runs at once. */
  readonly slots: number;
  /** Requests under way there, of all gateways as far as known. */
  readonly running: number;
  /** Reading of prompts that is ahead of a new request, in milliseconds. */
  readonly queueMs: number;
  /** Reading of what the endpoint does not hold of this prompt, in milliseconds. */
  readonly readMs: number;
  /** Tokens of the shared beginning among that. */
  readonly unreadShared: number;
  readonly isWarmingUp: boolean;
  /** Whether its latest answers were failures. */
  readonly isEjected: boolean;
}

/** What decides where a request for an engine goes. */
export interface EngineQuestion {
  readonly candidates: readonly EngineCandidate[];
  /** Shared beginning of the prompt with its model. */
  readonly affinity: string;
  /** Milliseconds left until a first token would be late. */
  readonly timeLeftMs: number;
}

/** Where a request goes, with the time to its first token as predicted, or why nowhere. */
export type EnginePlacement =
  | { readonly type: 'placed'; readonly id: string; readonly predictedMs: number }
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** What one running request adds to the time to a first token, in milliseconds: a token's step. */
const RUNNING_MS = 2;
/** An endpoint in another zone costs a little more than its way, so that ties stay at home. */
const OTHER_ZONE_MS = 12;
/** An endpoint just started is slower by a factor that its reports do not give. */
const WARMUP_FACTOR = 2;
/**
 * What reading a shared token again costs the other requests, in milliseconds: it takes the engine's
 * time and pushes another part out of its memory.
 */
const REREAD_MS_PER_TOKEN = 0.03;
/** Part of that cost at a beginning's home, where later requests with it will come. */
const HOME_PART = 0.3;
/** Part of the time left within which an earlier first token is worth little to the caller. */
const COMFORT_PART = 0.3;
/** What a millisecond counts for within that time. */
const COMFORT_WEIGHT = 0.25;
/** Requests that an endpoint holds beyond its slots only wait there. */
const QUEUE_FACTOR = 1.25;
/** Without any endpoint the next reports are worth waiting for. */
const NO_ENDPOINT_RETRY_MS = 500;
/** A full pool frees places within about one answer's time. */
const FULL_RETRY_MS = 700;

const findHome = ({ candidates, affinity }: EngineQuestion): string => {
  const scored = candidates.map(({ id }) => ({ id, score: murmurhash.v3(`${affinity}|${id}`) }));
  return scored.reduce((best, item) => (item.score > best.score ? item : best)).id;
};

interface Estimate {
  readonly id: string;
  /** Time to the first token. */
  readonly predictedMs: number;
  /** What the choice costs the caller and the others. */
  readonly costMs: number;
}

const estimateCost = (
  { timeLeftMs }: EngineQuestion,
  candidate: EngineCandidate,
  home: string,
): Estimate => {
  const { id, unreadShared, queueMs, readMs, running, isOwnZone, isWarmingUp } = candidate;
  const engineMs = (queueMs + readMs) * (isWarmingUp ? WARMUP_FACTOR : 1);
  const predictedMs = engineMs + running * RUNNING_MS + (isOwnZone ? 0 : OTHER_ZONE_MS);
  const lateMs = Math.max(0, predictedMs - COMFORT_PART * timeLeftMs);
  const rereadMs = unreadShared * REREAD_MS_PER_TOKEN * (id === home ? HOME_PART : 1);
  return { id, predictedMs, costMs: lateMs + COMFORT_WEIGHT * predictedMs + rereadMs };
};

/**
 * Chooses an endpoint that holds a prompt's beginning, or its home, while its first token comes in good
 * time, else the one with the earliest first token, as far as a gateway can tell.
 */
export const placeEngineRequest = (question: EngineQuestion): EnginePlacement => {
  const { candidates } = question;
  if (candidates.length === 0) {
    const reason = 'no endpoint takes requests';
    return { type: 'refused', reason, retryAfterMs: NO_ENDPOINT_RETRY_MS };
  }
  const healthy = candidates.filter((candidate) => !candidate.isEjected);
  const usable = (healthy.length > 0 ? healthy : candidates).filter(
    ({ running, slots }) => running < slots * QUEUE_FACTOR,
  );
  if (usable.length === 0) {
    return { type: 'refused', reason: 'every endpoint is full', retryAfterMs: FULL_RETRY_MS };
  }
  const home = findHome(question);
  const [best] = usable
    .map((candidate) => estimateCost(question, candidate, home))
    .sort((a, b) => a.costMs - b.costMs);
  return { type: 'placed', id: best!.id, predictedMs: best!.predictedMs };
};
