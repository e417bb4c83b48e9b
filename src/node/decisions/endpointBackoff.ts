// Load pattern: some endpoints turn every request away for seconds and say for how long. They run
// nothing, so each gateway expects the earliest first token from them and sends them more than the
// others, and each refusal uses up the retry budget.

/** Longest back-off that is kept, in milliseconds; a longer one is probably a mistake. */
const MAX_BACKOFF_MS = 3_600_000;
/** Shortest retry delay of a request that is refused because of back-offs, in milliseconds. */
const MIN_RETRY_MS = 100;

/** A refusal of an endpoint that asked for no requests from this gateway for some time. */
export interface BackoffRequest {
  /** Monotonic time in milliseconds at which the refusal arrived. */
  readonly at: number;
  readonly backoffMs: number;
}

/**
 * Computes when an endpoint's back-off ends, in milliseconds of monotonic time. Refusals may arrive in
 * another order than they were sent, so a shorter back-off does not end a longer one.
 */
export const computeBackoffEnd = (
  knownEnd: number | undefined,
  { at, backoffMs }: BackoffRequest,
): number => Math.max(knownEnd ?? -Infinity, at + Math.min(MAX_BACKOFF_MS, backoffMs));

/** Computes when a request may come again that no endpoint takes before its back-off ends. */
export const computeBackoffRetryMs = (ends: readonly number[], now: number): number =>
  Math.max(MIN_RETRY_MS, Math.min(...ends) - now);
