import type { Logger } from '../log';
import type { ColdLeader } from '../routingControl';
import type { ClockReading, LeaseClock } from './leaseClock';

/**
 * Knows whether this gateway can have heard which endpoints may be cold. One that has just started
 * or was paused has not. Times are monotonic, in milliseconds.
 */
export interface ColdFreshness {
  /** Notes that the process runs, and whether it was paused until now. */
  readonly check: (now: number) => void;
  /** Whether the gateway has heard which endpoints may be cold, or cannot hear it. */
  readonly isCurrent: (now: number) => boolean;
  /** Records an answer of the exchange; `calledAt` was read before the call. */
  readonly recordAnswer: (leader: ColdLeader | undefined, calledAt: ClockReading) => void;
}

/**
 * Without any call for this time the process was paused, and what it knows is out of date. Calls of
 * the exchange come every 150 to 500 ms and take up to 400 ms.
 */
const PAUSE_MS = 1_500;
/** An answer that took longer may have been sent before the process was paused. */
const MAX_ANSWER_MS = 1_000;
/**
 * Without an answer, control hosts have noticed by then that reports of an endpoint are missing that
 * was lost before: reports are overdue after 3 s, and the last one may have been 2 s late.
 */
const START_MS = 5_500;
/**
 * A new leader knows the doubts of all gateways after this time: they hear of it within a second, and
 * send those again that no report has settled. With 1.5 s the model exceeds the bound: a single gateway
 * started and was paused around the change, and the reports were not overdue yet (seed 12).
 */
const COLLECTED_MS = 3_000;

/** Creates the freshness of a gateway that has just started. */
export const createColdFreshness = (clock: LeaseClock, log: Logger): ColdFreshness => {
  let hasAnswer = false;
  let startedAt: number | undefined;
  let usedAt = clock.readClocks();

  const check = (now: number): void => {
    const pausedMs = clock.computeElapsedMs(usedAt);
    usedAt = clock.readClocks();
    startedAt ??= now;
    if (pausedMs < PAUSE_MS) return;
    hasAnswer = false;
    startedAt = now;
    log.info({ pausedMs: Math.round(pausedMs) }, 'cold states are out of date after a pause');
  };

  return {
    check,
    isCurrent: (now) => {
      check(now);
      return hasAnswer || now - (startedAt ?? now) > START_MS;
    },
    recordAnswer: (leader, calledAt) => {
      const isCollected = leader !== undefined && leader.collectingMs >= COLLECTED_MS;
      if (isCollected && clock.computeElapsedMs(calledAt) < MAX_ANSWER_MS) hasAnswer = true;
    },
  };
};
