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
export interface EnginePlacementInput<T extends EngineCandidate> {
  readonly candidates: readonly T[];
  /** Shared beginning of the prompt with its model. */
  readonly affinity: string;
  /** Milliseconds left until a first token would be late. */
  readonly timeLeftMs: number;
}

/** Where a request goes, with the time to its first token as predicted, or why nowhere. */
export type EnginePlacement<T extends EngineCandidate> =
  | { readonly type: 'placed'; readonly candidate: T; readonly predictedMs: number }
  | { readonly type: 'refused'; readonly reason: string; readonly retryAfterMs: number };

/** What one running request adds to the time to a first token, in milliseconds: a token's step. */
const RUNNING_REQUEST_MS = 2;
/** An endpoint in another zone costs a little more than its way, so that ties stay at home. */
const OTHER_ZONE_MS = 12;
/** An endpoint just started is slower by a factor that its reports do not give. */
const WARMUP_FACTOR = 2;
/**
 * What reading a shared token again costs the other requests, in milliseconds: it takes the engine's
 * time and pushes another part out of its memory. From the emulator at 1 to 2 times the capacity.
 */
const REPREFILL_MS_PER_TOKEN = 0.2;
/** Part of that cost at a beginning's home, where later requests with it will come. */
const PREFERRED_REPREFILL_FRACTION = 0.3;
/** Part of the time left within which an earlier first token is worth little to the caller. */
const EARLY_FRACTION = 0.3;
/** What a millisecond counts for within that time. */
const EARLY_WEIGHT = 0.25;
/** Requests that an endpoint holds beyond its slots only wait there. */
const QUEUE_FACTOR = 1.25;
/** Without any endpoint the next reports are worth waiting for. */
const NO_ENDPOINT_RETRY_MS = 500;
/** A full pool frees places within about one answer's time. */
const FULL_RETRY_MS = 700;

const findPreferred = <T extends EngineCandidate>({
  candidates,
  affinity,
}: EnginePlacementInput<T>): T => {
  const affinityHash = murmurhash.v3(affinity);
  let home = candidates[0]!;
  let best = -1;
  for (const candidate of candidates) {
    const score = murmurhash.v3(candidate.id, affinityHash);
    if (score > best) {
      best = score;
      home = candidate;
    }
  }
  return home;
};

const estimateFirstTokenMs = (candidate: EngineCandidate): number => {
  const { queueMs, readMs, running, isOwnZone, isWarmingUp } = candidate;
  const engineMs = (queueMs + readMs) * (isWarmingUp ? WARMUP_FACTOR : 1);
  return engineMs + running * RUNNING_REQUEST_MS + (isOwnZone ? 0 : OTHER_ZONE_MS);
};

// What a choice costs the caller and the others, in milliseconds.
const computeCost = (
  predictedMs: number,
  timeLeftMs: number,
  { unreadShared }: EngineCandidate,
  isHome: boolean,
): number => {
  const lateMs = Math.max(0, predictedMs - EARLY_FRACTION * timeLeftMs);
  const rereadMs =
    unreadShared * REPREFILL_MS_PER_TOKEN * (isHome ? PREFERRED_REPREFILL_FRACTION : 1);
  return lateMs + EARLY_WEIGHT * predictedMs + rereadMs;
};

/**
 * Chooses an endpoint that holds a prompt's beginning, or its home, while its first token comes in good
 * time, else the one with the earliest first token, as far as a gateway can tell.
 */
export const placeEngineRequest = <T extends EngineCandidate>(
  question: EnginePlacementInput<T>,
): EnginePlacement<T> => {
  const { candidates, timeLeftMs } = question;
  if (candidates.length === 0) {
    const reason = 'no endpoint takes requests';
    return { type: 'refused', reason, retryAfterMs: NO_ENDPOINT_RETRY_MS };
  }
  const isAnyHealthy = candidates.some(({ isEjected }) => !isEjected);
  const home = findPreferred(question);
  let best: { readonly candidate: T; readonly predictedMs: number } | undefined;
  let bestCost = Infinity;
  // A loop without intermediate lists: it runs some times for each request, over all endpoints.
  for (const candidate of candidates) {
    if (isAnyHealthy && candidate.isEjected) continue;
    if (candidate.running >= candidate.slots * QUEUE_FACTOR) continue;
    const predictedMs = estimateFirstTokenMs(candidate);
    const cost = computeCost(predictedMs, timeLeftMs, candidate, candidate === home);
    if (cost < bestCost) {
      bestCost = cost;
      best = { candidate, predictedMs };
    }
  }
  if (best) return { type: 'placed', ...best };
  return { type: 'refused', reason: 'every endpoint is full', retryAfterMs: FULL_RETRY_MS };
};
