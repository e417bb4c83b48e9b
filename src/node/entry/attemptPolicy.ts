import type { RunRequest, WholeAnswer } from './runTypes';
import type { Choice } from './targetChoice';

/**
 * Where a second run of an idempotent request may follow or accompany the first one. All runs
 * of one request are lines of one bill.
 */
export interface AttemptPolicy {
  /** Whether the first answer must be read whole, because `chooseNext` may follow it. */
  readonly isCascade: (request: RunRequest, choice: Choice) => boolean;
  /** After a whole answer: the next choice, or nothing to give this answer to the caller. */
  readonly chooseNext: (
    request: RunRequest,
    answer: WholeAnswer,
    choice: Choice,
  ) => Promise<Choice | undefined>;
  /** Milliseconds without a head after which a second attempt starts beside the first. */
  readonly computeHedgeDelayMs: (request: RunRequest, choice: Choice) => number | undefined;
  /** Whether one more attempt is within the retry budget. */
  readonly canRetry: (request: RunRequest) => boolean;
}

/** A policy without cascades and hedges. */
export const createPlainPolicy = (): AttemptPolicy => ({
  isCascade: () => false,
  chooseNext: async () => undefined,
  computeHedgeDelayMs: () => undefined,
  canRetry: () => true,
});
