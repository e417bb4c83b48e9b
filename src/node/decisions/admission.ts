import type { WorkClass } from './fairQueue';

/** Input for the decision to admit a request to a queue. */
export interface AdmissionInput {
  readonly class: WorkClass;
  /** Time left until the caller's deadline in milliseconds; absent without a deadline. */
  readonly remainingMs?: number;
  /** Expected run time in milliseconds, without the time in the queue. */
  readonly runMs: number;
  /** Size of the work queued ahead of the request. */
  readonly ahead: number;
  /** Service rate per millisecond, in the unit of `ahead`. */
  readonly servedPerMs: number;
}

/** Admission with the longest wait in the queue, or a refusal with the time to retry after. */
export type Admission =
  | { readonly type: 'admitted'; readonly waitLimitMs: number }
  | { readonly type: 'refused'; readonly retryAfterSeconds: number; readonly reason: string };

/** Longest wait in a queue per class. Deferrable work that would wait longer is stored instead. */
export const WAIT_LIMITS_MS: Readonly<Record<WorkClass, number>> = {
  urgent: 1_000,
  normal: 5_000,
  deferrable: 15_000,
};

const SECOND_MS = 1_000;

/**
 * Admits a request to a queue. Refuses it at once when it would exceed the wait limit of its class
 * or miss its deadline.
 */
export const chooseAdmission = (input: AdmissionInput): Admission => {
  const { remainingMs = Infinity, runMs, ahead, servedPerMs } = input;
  const limit = Math.min(WAIT_LIMITS_MS[input.class], remainingMs - runMs);
  const waitMs = ahead <= 0 ? 0 : ahead / Math.max(servedPerMs, 1e-9);
  if (limit > 0 && waitMs <= limit) return { type: 'admitted', waitLimitMs: limit };
  const retryAfterSeconds = Math.min(60, Math.max(1, Math.ceil((waitMs - limit) / SECOND_MS)));
  const reason =
    limit <= 0
      ? 'the deadline is too close for the expected run time'
      : 'the expected wait exceeds the limit of the class';
  return { type: 'refused', retryAfterSeconds, reason };
};

/** Input for the decision to hedge a request. */
export interface HedgeInput {
  readonly class: WorkClass;
  readonly isIdempotent: boolean;
  /** Whether the first chunk of the answer has arrived. */
  readonly hasAnswer: boolean;
  readonly waitedMs: number;
  /** 95th percentile of the time to the first chunk, in milliseconds. */
  readonly p95TimeMs: number;
}

/**
 * Checks whether a slow request may be hedged with a second run. The caller checks the retry
 * budget.
 */
export const canHedge = (input: HedgeInput): boolean =>
  input.class === 'urgent' &&
  input.isIdempotent &&
  !input.hasAnswer &&
  input.waitedMs >= input.p95TimeMs;
