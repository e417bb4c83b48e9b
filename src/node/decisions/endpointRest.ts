// Load pattern: some endpoints turn every request away for seconds and say for how long. They run
// nothing, so each gateway expects the earliest first token from them and sends them more than the
// others, and each refusal uses up the retry budget.

/** Longest rest that an endpoint gets, in milliseconds; a longer one is probably a mistake. */
const MAX_REST_MS = 3_600_000;
/** Shortest retry delay of a request that is refused because of rests, in milliseconds. */
const MIN_RETRY_MS = 100;

/** A refusal of an endpoint that wants no requests from this gateway for some time. */
export interface RestRequest {
  /** Monotonic time in milliseconds at which the refusal arrived. */
  readonly at: number;
  readonly restMs: number;
}

/**
 * Computes when an endpoint's rest ends, in milliseconds of monotonic time. Refusals may arrive in
 * another order than they were sent, so a shorter rest does not end a longer one.
 */
export const computeRestEnd = (knownEnd: number | undefined, { at, restMs }: RestRequest): number =>
  Math.max(knownEnd ?? -Infinity, at + Math.min(MAX_REST_MS, restMs));

/** Computes when a request may come again that all endpoints with these rests would refuse. */
export const computeRestRetryMs = (restEnds: readonly number[], now: number): number =>
  Math.max(MIN_RETRY_MS, Math.min(...restEnds) - now);
