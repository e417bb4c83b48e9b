import type { RouteKind } from '../routing';

// Load pattern: a gateway is stopped under long streams while callers still come, first because the
// balancer has not noticed yet, then on connections that they kept open.

/** What decides whether a stopping gateway takes a request. */
export interface StoppingQuestion {
  /** Milliseconds since the signal to stop. */
  readonly sinceStopMs: number;
  /** Milliseconds from the signal to the end of the process. */
  readonly graceMs: number;
  readonly kind: RouteKind;
  /** Longest time that the request may take, in milliseconds. */
  readonly limitMs: number;
}

/** The balancer leaves a gateway after two missed checks, a second apart. */
const BALANCER_LAG_MS = 2_500;

/**
 * Says whether a stopping gateway takes a request. Streams are taken as long as the balancer may
 * send them; later ones could be cut and are told to come back elsewhere.
 */
export const canTakeWhileStopping = (question: StoppingQuestion): boolean => {
  const { sinceStopMs, graceMs, kind, limitMs } = question;
  if (kind === 'stream') return sinceStopMs <= BALANCER_LAG_MS;
  return sinceStopMs + limitMs <= graceMs;
};
