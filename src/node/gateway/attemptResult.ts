import { isRetryableRoute } from '../routing';
import type { AttemptContext } from './attemptRecords';
import type { ReplyHead } from './callerReply';
import { waitWithTimeout } from './deadline';
import type { ResponseHead } from './types';

/**
 * The result of an attempt: `done` if the caller has its response, `again` if another attempt may
 * follow.
 */
export type AttemptResult =
  { readonly type: 'done'; readonly status: number } | { readonly type: 'again' };

/** The result of an attempt that another one may follow. */
export const RETRY: AttemptResult = { type: 'again' };

/**
 * Another endpoint is tried when there is no response within this many times the target latency.
 */
const RESPONSE_TIMEOUT_FACTOR = 2;
/**
 * A stream without an event for this many times the route's target gap is resumed at another
 * endpoint.
 */
const STALL_FACTOR = 1.5;
/** Target gap between events, in milliseconds, for routes that set none. */
const DEFAULT_GAP_MS = 1_500;

/** Whether the route allows another attempt of the request. */
export const hasRetryLeft = ({ exchange }: AttemptContext): boolean => {
  const { route } = exchange.request;
  return isRetryableRoute(route) && exchange.attempts < route.attemptLimit;
};

/**
 * Computes how long the first bytes of this attempt may take, in milliseconds. There is no timeout
 * when a retry is not allowed, because giving up early gains nothing.
 */
export const computeResponseTimeoutMs = (context: AttemptContext): number =>
  hasRetryLeft(context)
    ? RESPONSE_TIMEOUT_FACTOR * context.exchange.request.route.targetLatencyMs
    : Infinity;

/** Computes how long the next event of a stream may take, in milliseconds. */
export const computeStallTimeoutMs = (context: AttemptContext): number =>
  hasRetryLeft(context)
    ? STALL_FACTOR * (context.exchange.request.route.gapTargetMs ?? DEFAULT_GAP_MS)
    : Infinity;

// Longest delay that Node timers support, in milliseconds. Longer and infinite timeouts are cut to
// this.
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Waits for a promise with a timeout in milliseconds, which may be infinite. */
export const waitFor = <T>(promise: Promise<T>, timeoutMs: number) =>
  waitWithTimeout(promise, Math.min(MAX_TIMER_MS, timeoutMs));

/** Creates the head of the caller's response from that of an endpoint. */
export const createReplyHead = ({ status, forwarded }: ResponseHead): ReplyHead => ({
  status,
  headers: forwarded,
});
