// Load pattern: long and short prompts of several ranks share engines. An engine prefills one
// prompt after the other, so a short prompt behind two long ones misses its target, while moving it
// ahead delays the long ones by little.

/** Input for the priority of a request in the queue of one engine. */
export interface EnginePriorityInput {
  /** Urgency of the request, 0 is the most urgent. */
  readonly rank: number;
  /** Prefill time of the part of the prompt that the engine has not cached, in milliseconds. */
  readonly prefillMs: number;
  /** Milliseconds left until the first token misses its latency target. */
  readonly timeLeftMs: number;
  /** Returns the pending work that goes before a request of this priority, in milliseconds. */
  readonly computeQueueMs: (priority: number) => number;
  /** Priority of an earlier attempt of this request, which later attempts keep or exceed. */
  readonly earlierPriority?: number | undefined;
}

/** Number of priorities that engines distinguish; 0 goes first. */
export const PRIORITY_COUNT = 10;
/** Priority of requests that are on time in order of arrival; engines assume it when none is sent. */
export const DEFAULT_PRIORITY = 5;
/** Priorities of one rank that rises: short prompts, then longer ones. */
const PRIORITIES_PER_RANK = 2;
/** Higher ranks have the priorities of this one. */
const LEAST_URGENT_RANK = 2;
/** First priority of requests that cannot meet their target. One for each rank follows. */
const LATE_PRIORITY = 7;
/** Prefill below which a prompt is short: about a twentieth of the shortest targets (1.5 to 2 s). */
const SHORT_MS = 100;
/** Predictions below this fraction of the time left are on time in about 9 of 10 requests. */
const ON_TIME_FRACTION = 0.85;

// The most urgent priority that a request may rise to.
const computeLimit = (level: number, prefillMs: number): number => {
  const offset = prefillMs < SHORT_MS ? 0 : 1;
  return Math.min(DEFAULT_PRIORITY - 1, level * PRIORITIES_PER_RANK + offset);
};

const chooseOwnPriority = (input: EnginePriorityInput): number => {
  const { rank, prefillMs, timeLeftMs, computeQueueMs } = input;
  const level = Math.min(LEAST_URGENT_RANK, Math.max(0, Math.floor(rank)));
  if (prefillMs > timeLeftMs) return LATE_PRIORITY + level;
  const limit = computeLimit(level, prefillMs);
  const slackMs = ON_TIME_FRACTION * timeLeftMs - prefillMs;
  for (let priority = DEFAULT_PRIORITY; priority >= limit; priority -= 1) {
    if (computeQueueMs(priority) <= slackMs) return priority;
  }
  // If the request would be late at the limit too, rising only delays others.
  return DEFAULT_PRIORITY;
};

/**
 * Chooses the priority of a request in the queue of an engine, from 0 (first) to 9. While requests
 * are on time, all have the same one and go in order of arrival. A request that would be late rises
 * as far as it has to: at most to the priorities of its rank, of which short prompts have the more
 * urgent one. A request that cannot meet its target any more goes behind all that can.
 */
export const chooseEnginePriority = (input: EnginePriorityInput): number =>
  Math.min(chooseOwnPriority(input), input.earlierPriority ?? PRIORITY_COUNT);
