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
/** Priority of an engine for requests that have none. */
export const DEFAULT_PRIORITY = 5;
/** Priorities of one rank: short, medium and long prompts. */
const PRIORITIES_PER_RANK = 3;
/** Offset of medium prompts, and of prompts that rise because they would otherwise be late. */
const RISEN_OFFSET = 1;
const LONG_OFFSET = 2;
/** Higher ranks have the priorities of this one. */
const LEAST_URGENT_RANK = 2;
/**
 * Requests that cannot meet their target. They must not make others late, so all ranks share the
 * last priority.
 */
const LATE_PRIORITY = PRIORITY_COUNT - 1;
/** Prefill below which a prompt is short: about a twentieth of the shortest targets (1.5 to 2 s). */
const SHORT_MS = 100;
/** Prefill from which a prompt is long: two of them use a third of such a target. */
const LONG_MS = 300;
/** Predictions below this fraction of the time left are on time in about 9 of 10 requests. */
const ON_TIME_FRACTION = 0.85;

const computeSizeOffset = (prefillMs: number): number => {
  if (prefillMs < SHORT_MS) return 0;
  return prefillMs < LONG_MS ? RISEN_OFFSET : LONG_OFFSET;
};

/** Computes the priority of a request that is on time, by its rank and size alone. */
export const computeBasePriority = (rank: number, prefillMs: number): number => {
  const level = Math.min(LEAST_URGENT_RANK, Math.max(0, Math.floor(rank)));
  return level * PRIORITIES_PER_RANK + computeSizeOffset(prefillMs);
};

/**
 * Computes the most urgent priority that a request may rise to. A short prompt delays others by
 * little, so it may go before longer prompts of any rank. A longer one stays within its rank.
 */
const computeLimit = (base: number, prefillMs: number): number => {
  const rankStart = base - (base % PRIORITIES_PER_RANK);
  const limit = prefillMs < SHORT_MS ? RISEN_OFFSET : rankStart + RISEN_OFFSET;
  return Math.min(base, limit);
};

const chooseOwnPriority = (input: EnginePriorityInput): number => {
  const { rank, prefillMs, timeLeftMs, computeQueueMs } = input;
  if (prefillMs > timeLeftMs) return LATE_PRIORITY;
  const base = computeBasePriority(rank, prefillMs);
  const limit = computeLimit(base, prefillMs);
  const slackMs = ON_TIME_FRACTION * timeLeftMs - prefillMs;
  for (let priority = base; priority > limit; priority -= 1) {
    if (computeQueueMs(priority) <= slackMs) return priority;
  }
  // If the request would be late at the limit too, rising only delays others.
  return computeQueueMs(limit) <= slackMs ? limit : base;
};

/**
 * Chooses the priority of a request in the queue of an engine, from 0 (first) to 9. Ranks go in
 * order, and the short prompts of a rank go before its long ones. A request that would be late
 * rises only as far as it has to.
 */
export const chooseEnginePriority = (input: EnginePriorityInput): number =>
  Math.min(chooseOwnPriority(input), input.earlierPriority ?? LATE_PRIORITY);
