import type { RouteKind } from '../routing';

// Load pattern: a gateway shuts down while long streams run and new requests still arrive. At first
// the load balancer has not detected the shutdown; later requests arrive on keep-alive connections.

/** Input for the decision to admit a request during shutdown. */
export interface ShutdownAdmissionInput {
  /** Milliseconds since the stop signal. */
  readonly sinceSignalMs: number;
  /** Milliseconds from the stop signal until the process exits. */
  readonly graceMs: number;
  readonly kind: RouteKind;
  /** Longest allowed duration of the request, in milliseconds. */
  readonly limitMs: number;
}

/** The load balancer drops a gateway after two failed health checks, one second apart. */
const BALANCER_DETECTION_MS = 2_500;

/**
 * Checks whether a gateway admits a request during shutdown. Streams are admitted while the load
 * balancer may still route to this gateway. Later streams could be cut off by the exit, so they are
 * refused and the caller retries at another gateway. Other requests are admitted if they can finish
 * within the grace period.
 */
export const canAdmitDuringShutdown = (input: ShutdownAdmissionInput): boolean => {
  const { sinceSignalMs, graceMs, kind, limitMs } = input;
  if (kind === 'stream') return sinceSignalMs <= BALANCER_DETECTION_MS;
  return sinceSignalMs + limitMs <= graceMs;
};
