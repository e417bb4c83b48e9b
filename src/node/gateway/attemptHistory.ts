/** How an attempt of a request with a prompt ended. */
export interface EndedAttempt {
  readonly service: string;
  /** Keys of the prompt's blocks. */
  readonly keys: readonly string[];
  readonly isLost: boolean;
  /** Whether the response had begun when the attempt was lost. */
  readonly isAnswering: boolean;
  /** Monotonic time in milliseconds. */
  readonly at: number;
}

/** Counts of the recent attempts without one block. */
export interface AttemptCounts {
  readonly otherAttempts: number;
  readonly otherLosses: number;
  readonly otherAnsweringLosses: number;
}

/** The recent attempts of this gateway, which show how often attempts are lost by chance. */
export interface AttemptHistory {
  readonly record: (attempt: EndedAttempt) => void;
  /** Counts the recent attempts at a service whose prompts do not have the block. */
  readonly countOthers: (service: string, key: string, now: number) => AttemptCounts;
}

const WINDOW_MS = 10_000;
/** Bounds the memory and the time of a count. */
const MAX_ATTEMPTS = 400;

/** Creates an empty history. */
export const createAttemptHistory = (): AttemptHistory => {
  const attempts: EndedAttempt[] = [];
  return {
    record: (attempt) => {
      attempts.push(attempt);
      if (attempts.length > MAX_ATTEMPTS) attempts.shift();
    },
    countOthers: (service, key, now) => {
      const others = attempts.filter(
        (attempt) =>
          attempt.service === service &&
          now - attempt.at <= WINDOW_MS &&
          !attempt.keys.includes(key),
      );
      return {
        otherAttempts: others.length,
        otherLosses: others.filter(({ isLost }) => isLost).length,
        otherAnsweringLosses: others.filter(({ isLost, isAnswering }) => isLost && isAnswering)
          .length,
      };
    },
  };
};
