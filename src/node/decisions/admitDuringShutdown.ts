import type { RouteKind } from '../routing';

// Load pattern: a gateway is stopped under long streams while callers still come, first because the
// balancer has not noticed yet, then on connections that they kept open.

/** What decides whether a stopping gateway takes a request. */
export interface ShutdownAdmissionInput {
  /** Milliseconds since the signal to stop. */
  readonly sinceSignalMs: number;
  /** Milliseconds from the signal to the end of the process. */
  readonly graceMs: number;
  readonly kind: RouteKind;
  /** Longest time that the request may take, in milliseconds. */
  readonly limitMs: number;
}

/** The balancer leaves a gateway after two missed checks, a second apart. */
const BALANCER_DETECTION_MS = 2_500;

/**
 * Says whether a stopping gateway takes a request. Streams are taken as long as the balancer may
 * send them; later ones could be cut and are told to come back elsewhere.
 */
export const canAdmitDuringShutdown = (question: ShutdownAdmissionInput): boolean => {
  const { sinceSignalMs: sinceStopMs, graceMs, kind, limitMs } = question;
  if (kind === 'stream') return sinceStopMs <= BALANCER_DETECTION_MS;
  return sinceStopMs + limitMs <= graceMs;
};
