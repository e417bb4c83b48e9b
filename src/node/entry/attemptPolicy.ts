import type { RouterError } from '../errors';
import type { RunRequest, BufferedAnswer } from './runTypes';
import type { Choice } from './targetChoice';

/**
 * Where a second run of an idempotent request may follow or accompany the first one. All runs
 * of one request are lines of one bill.
 */
export interface AttemptPolicy {
  /** Whether the first answer must be read whole, because `chooseNext` may follow it. */
  readonly canEscalate: (request: RunRequest, choice: Choice) => boolean;
  /** After a whole answer: the next choice, or nothing to give this answer to the caller. */
  readonly chooseNext: (
    request: RunRequest,
    answer: BufferedAnswer,
    choice: Choice,
  ) => Promise<Choice | undefined>;
  /** Milliseconds without a head after which a second attempt starts beside the first. */
  readonly computeHedgeDelayMs: (request: RunRequest, choice: Choice) => number | undefined;
  /** Whether one more attempt is within the retry budget. */
  readonly canRetry: (request: RunRequest) => boolean;
  /** Takes room under the organisation's cap, or throws `over_cap`; nothing has run then. */
  readonly admit: (request: RunRequest) => void;
  /** Gives the room back when the request has ended; once per admission. */
  readonly release: (request: RunRequest) => void;
  /** Whether the answer of this run shall be kept and rated. */
  readonly isRated: (request: RunRequest, choice: Choice) => boolean;
  /** Rates an answer that was given to the caller. */
  readonly rate: (request: RunRequest, answer: BufferedAnswer, choice: Choice) => Promise<void>;
  readonly recordAnswer: (request: RunRequest, choice: Choice, end: AnswerStats) => void;
  readonly recordFailure: (request: RunRequest, choice: Choice, error: RouterError) => void;
}

/** What a finished run cost and took. */
export interface AnswerStats {
  readonly cost: number;
  readonly timeMs: number;
  readonly tokens: number;
}

/** A policy without cascades and hedges. */
export const createBasicPolicy = (): AttemptPolicy => ({
  canEscalate: () => false,
  chooseNext: async () => undefined,
  computeHedgeDelayMs: () => undefined,
  canRetry: () => true,
  admit: () => {},
  release: () => {},
  isRated: () => false,
  rate: async () => {},
  recordAnswer: () => {},
  recordFailure: () => {},
});
