/** A number of gateways that a control host gave. */
export interface CountSample {
  readonly count: number;
  /** Monotonic time in milliseconds of the answer. */
  readonly at: number;
}

/** A control host's latest answer. */
export interface CountAnswer {
  readonly count: number;
  /** Whether the host leads: all gateways call the leader, but few call the others. */
  readonly isFromLeader: boolean;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** A new leader has heard from every gateway after this time, in milliseconds. */
const SETTLING_MS = 3_000;

/**
 * Adds a control host's count of gateways to the recent ones; the highest of the result applies.
 * Load pattern: a leader is lost under load, and its successor has heard from few gateways when they
 * all retry. Shares of budgets that are divided by its first counts would add up to many times the
 * budget.
 */
export const resolveGatewayCount = (
  samples: readonly CountSample[],
  { count, isFromLeader, now }: CountAnswer,
): readonly CountSample[] => {
  const highest = Math.max(1, ...samples.map((sample) => sample.count));
  if (!isFromLeader) return [{ count: Math.max(highest, count), at: now }];
  // A sample that is neither newer nor higher than another one never applies.
  const useful = samples.filter((sample) => sample.count > count && now - sample.at < SETTLING_MS);
  return [...useful, { count: Math.max(1, count), at: now }];
};
