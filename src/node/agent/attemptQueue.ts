import { chooseAdmission, countReservedSlots, createFairQueue, WAIT_LIMITS_MS } from '../decisions';
import { createError } from '../errors';
import type { AttemptRequest } from '../shared';
import type { Attempt } from './attempt';

/** Attempts that wait for a slot. Fair between organisations, with a bounded wait. */
export interface AttemptQueue {
  /** Throws a refusal when an attempt would wait longer than its class or deadline allows. */
  readonly checkWait: (request: AttemptRequest) => void;
  readonly add: (attempt: Attempt, nowMs: number) => void;
  readonly remove: (attempt: Attempt) => void;
  /** Takes the next attempt that may start. A share of the slots is reserved for urgent ones. */
  readonly takeNext: (nowMs: number, running: number, slots: number) => Attempt | undefined;
  /** Removes and returns the attempts that have waited too long. */
  readonly takeExpired: (nowMs: number) => readonly Attempt[];
  readonly count: () => number;
}

const GAP_SMOOTHING_FACTOR = 0.1;
const MIN_GAP_MS = 0.1;

/** Creates an empty queue. */
export const createAttemptQueue = (): AttemptQueue => {
  const queue = createFairQueue<Attempt>();
  // Moving average of the time between two attempts taken while others waited.
  let averageGapMs = 0;
  let lastTakenAt = -Infinity;
  let lastUrgentAt = -Infinity;

  const recordTaken = (nowMs: number): void => {
    const isBusy = queue.count() > 0;
    const gap = Math.max(MIN_GAP_MS, nowMs - lastTakenAt);
    if (isBusy && lastTakenAt > -Infinity)
      averageGapMs += (gap - averageGapMs) * (averageGapMs === 0 ? 1 : GAP_SMOOTHING_FACTOR);
    lastTakenAt = isBusy ? nowMs : -Infinity;
  };

  const checkWait: AttemptQueue['checkWait'] = (request) => {
    const { organisation, weight, class: workClass, deadlineMs: remainingMs } = request;
    const isMeasured = averageGapMs > 0 && queue.count() > 0;
    const ahead = isMeasured ? queue.estimateWorkAhead(organisation, weight, workClass) : 0;
    const servedPerMs = 1 / Math.max(MIN_GAP_MS, averageGapMs);
    const admissionInput = { class: workClass, remainingMs, runMs: 0, ahead, servedPerMs };
    const admission = chooseAdmission(admissionInput);
    if (admission.type === 'admitted') return;
    const { reason: message, retryAfterSeconds } = admission;
    throw createError({ type: 'overloaded', message, step: 'agent.admit', retryAfterSeconds });
  };

  return {
    checkWait,
    add: (attempt, nowMs) => {
      const { organisation, weight, class: workClass, deadlineMs } = attempt.request;
      if (workClass === 'urgent') lastUrgentAt = nowMs;
      queue.add({
        value: attempt,
        organisation,
        weight,
        class: workClass,
        size: 1,
        expiresAt: nowMs + Math.min(WAIT_LIMITS_MS[workClass], deadlineMs),
      });
    },
    remove: (attempt) => {
      queue.remove((item) => item === attempt);
    },
    takeNext: (nowMs, running, slots) => {
      const reserved = countReservedSlots(slots, nowMs - lastUrgentAt);
      const item = queue.next(running >= slots - reserved);
      if (item) recordTaken(nowMs);
      return item?.value;
    },
    takeExpired: (nowMs) => queue.expire(nowMs).map((item) => item.value),
    count: queue.count,
  };
};
