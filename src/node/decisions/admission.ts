import type { WorkClass } from './fairQueue';

/** What the admission of a request at a queue is asked. */
export interface AdmissionInput {
  readonly class: WorkClass;
  /** Time left until the caller's deadline in milliseconds; absent when there is none. */
  readonly remainingMs?: number;
  /** Expected time of the run itself in milliseconds. */
  readonly runMs: number;
  /** Size of the work ahead, and what is served per millisecond in the same unit. */
  readonly ahead: number;
  readonly servedPerMs: number;
}

/** Admitted until a time, or refused with the time after which to come again. */
export type Admission =
  | { readonly type: 'admitted'; readonly waitLimitMs: number }
  | { readonly type: 'refused'; readonly retryAfterSeconds: number; readonly reason: string };

/** Longest wait in a queue per class. Deferrable work that must wait longer is stored instead. */
export const WAIT_LIMITS_MS: Readonly<Record<WorkClass, number>> = {
  urgent: 1_000,
  normal: 5_000,
  deferrable: 15_000,
};

const SECOND_MS = 1_000;

/** Admits a request to a queue, or refuses it early when it would wait in vain. */
export const chooseAdmission = (question: AdmissionInput): Admission => {
  const { remainingMs = Infinity, runMs, ahead, servedPerMs } = question;
  const limit = Math.min(WAIT_LIMITS_MS[question.class], remainingMs - runMs);
  const waitMs = ahead <= 0 ? 0 : ahead / Math.max(servedPerMs, 1e-9);
  if (limit > 0 && waitMs <= limit) return { type: 'admitted', waitLimitMs: limit };
  const retryAfterSeconds = Math.min(60, Math.max(1, Math.ceil((waitMs - limit) / SECOND_MS)));
  const reason =
    limit <= 0 ? 'the deadline leaves no time for the run' : 'the queue is too long for the class';
  return { type: 'refused', retryAfterSeconds, reason };
};

/** What the choice of a hedge is asked. */
export interface HedgeInput {
  readonly class: WorkClass;
  readonly isIdempotent: boolean;
  /** True once the first piece of the answer is there. */
  readonly hasAnswer: boolean;
  readonly waitedMs: number;
  /** The time that 95 in 100 first pieces keep. */
  readonly p95TimeMs: number;
}

/** Says whether a second run shall be started beside a slow one, budget permitting. */
export const canHedge = (question: HedgeInput): boolean =>
  question.class === 'urgent' &&
  question.isIdempotent &&
  !question.hasAnswer &&
  question.waitedMs >= question.p95TimeMs;
