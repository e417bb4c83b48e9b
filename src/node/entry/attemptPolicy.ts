import type { RouterError } from '../errors';
import type { RunRequest, BufferedAnswer } from './runTypes';
import type { Choice } from './targetChoice';

/**
 * Decides when an idempotent request runs again: as a retry, an escalation or a parallel hedge.
 * All runs of one request are lines of one bill.
 */
export interface AttemptPolicy {
  /** Whether the answer must be read in full before it is sent, as `chooseNext` may follow. */
  readonly canEscalate: (request: RunRequest, choice: Choice) => boolean;
  /** Returns the next choice after an answer, or undefined to send this answer to the caller. */
  readonly chooseNext: (
    request: RunRequest,
    answer: BufferedAnswer,
    choice: Choice,
  ) => Promise<Choice | undefined>;
  /** Computes how long to wait for a head before a second attempt starts in parallel. */
  readonly computeHedgeDelayMs: (request: RunRequest, choice: Choice) => number | undefined;
  /** Returns whether the retry budget allows one more attempt, and charges it. */
  readonly canRetry: (request: RunRequest) => boolean;
  /** Reserves capacity under the organisation's cap, or throws `over_cap` before anything runs. */
  readonly admit: (request: RunRequest) => void;
  /** Releases the capacity when the request has ended. Called once per admission. */
  readonly release: (request: RunRequest) => void;
  /** Whether the answer of this run must be buffered and rated. */
  readonly isRated: (request: RunRequest, choice: Choice) => boolean;
  /** Rates an answer that was sent to the caller. */
  readonly rate: (request: RunRequest, answer: BufferedAnswer, choice: Choice) => Promise<void>;
  readonly recordAnswer: (request: RunRequest, choice: Choice, end: AnswerStats) => void;
  readonly recordFailure: (request: RunRequest, choice: Choice, error: RouterError) => void;
}

/** Cost, duration and tokens of a finished run. */
export interface AnswerStats {
  readonly cost: number;
  readonly timeMs: number;
  readonly tokens: number;
}

/** Creates a policy without escalations, hedges, caps and ratings. */
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
