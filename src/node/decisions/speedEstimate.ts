// Load pattern: an endpoint has a usual speed, is 2.5 times as slow for 600 ms at a time, and now and
// then becomes 4 times as slow for seconds. Its samples are noisy and come from several gateways.

interface RecentSample {
  readonly at: number;
  readonly logRatio: number;
  /** Samples of which this is the mean. */
  readonly count: number;
}

/** What the samples of one endpoint show: logarithms of time ratios to the pool. */
export interface SpeedEstimate {
  /** Long-term mean. */
  readonly base: number;
  /** Independent samples in it, up to the limit beyond which more of them change nothing. */
  readonly count: number;
  /** Monotonic time of the latest sample in milliseconds. */
  readonly at: number;
  readonly recent: readonly RecentSample[];
}

/** Median of the samples of about the last second, and how much there are. */
export interface RecentSpeed {
  readonly median: number;
  readonly weight: number;
}

/** Deviations beyond this have a bounded effect on long-term means; it is about a factor of 1.65. */
export const MAX_STEP = 0.5;
/** Time constant of long-term means; a slow-down of 10 s must not outlast its end by much. */
const BASE_MS = 20_000;
/** Number of samples beyond which a long-term mean doesn't become more certain. */
const MAX_COUNT = 15;
/**
 * How much more a sample below the long-term mean weighs. Work of other requests at a busy endpoint
 * only increases times, so that its lower samples say more about its speed.
 */
const DECREASE_FACTOR = 3;
const MAX_DECREASE_WEIGHT = 0.5;
/** Samples with this interval are independent, since a momentary slow-down lasts 600 ms. */
const INDEPENDENT_MS = 600;
const MIN_COUNT_STEP = 0.1;
/** Limit of the weight of a sample in a long-term mean, which keeps about as many in it. */
const MAX_BASE_WEIGHT = 0.1;
/**
 * Decay time of the weights in the median of recent samples. A slow-down moves the median after
 * 0.69 times as long, which must exceed the 600 ms of a momentary one and stay under a second.
 */
export const RECENT_MS = 900;
const MAX_RECENT_AGE_MS = 4 * RECENT_MS;
/** Samples within this time are merged, so that the limit below covers the age above. */
const MERGE_MS = 100;
const MAX_RECENT = MAX_RECENT_AGE_MS / MERGE_MS;

/** Limits a deviation, so that a single sample has a bounded effect. */
export const computeBounded = (value: number, limit: number): number =>
  Math.max(-limit, Math.min(limit, value));

/** Computes the weight of what was measured some time ago. */
export const computeRecentWeight = (ageMs: number): number => Math.exp(-ageMs / RECENT_MS);

/** Computes the weighted median of recent samples. `now` is monotonic time in milliseconds. */
export const computeRecentSpeed = ({ recent, at }: SpeedEstimate, now: number): RecentSpeed => {
  if (now - at >= MAX_RECENT_AGE_MS) return { median: 0, weight: 0 };
  const weighted = recent
    .filter((sample) => now - sample.at < MAX_RECENT_AGE_MS)
    .map((sample) => ({ ...sample, weight: computeRecentWeight(now - sample.at) }))
    .sort((a, b) => a.logRatio - b.logRatio);
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let passed = 0;
  for (const { logRatio, weight } of weighted) {
    passed += weight;
    if (passed >= total / 2) return { median: logRatio, weight: total };
  }
  return { median: 0, weight: 0 };
};

// Samples of one momentary slow-down don't count as independent ones.
const computeCountStep = ({ at }: SpeedEstimate, now: number): number =>
  Math.min(1, Math.max(MIN_COUNT_STEP, (now - at) / INDEPENDENT_MS));

// After the first samples, one counts for the time since the sample before it: many samples of a short
// slow-down must not change what counts as the usual speed of an endpoint.
const computeBaseWeight = (
  { count, at }: SpeedEstimate,
  countStep: number,
  now: number,
): number => {
  if (count < MAX_COUNT) return countStep / (count + countStep);
  return Math.min(MAX_BASE_WEIGHT, 1 - Math.exp(-Math.max(0, now - at) / BASE_MS));
};

const addRecent = (
  recent: readonly RecentSample[],
  at: number,
  logRatio: number,
): readonly RecentSample[] => {
  const last = recent.at(-1);
  if (!last || at - last.at >= MERGE_MS) {
    return [...recent.slice(1 - MAX_RECENT), { at, logRatio, count: 1 }];
  }
  const count = last.count + 1;
  const mean = last.logRatio + (logRatio - last.logRatio) / count;
  return [...recent.slice(0, -1), { at: last.at, logRatio: mean, count }];
};

/** Adds a sample to the estimate of an endpoint. */
export const addSpeedSample = (
  known: SpeedEstimate | undefined,
  logRatio: number,
  now: number,
): SpeedEstimate => {
  if (!known) {
    const base = computeBounded(logRatio, MAX_STEP);
    return { base, count: 1, at: now, recent: addRecent([], now, logRatio) };
  }
  const step = computeBounded(logRatio - known.base, MAX_STEP);
  const countStep = computeCountStep(known, now);
  const weight = computeBaseWeight(known, countStep, now);
  return {
    base:
      known.base +
      (step < 0 ? Math.min(MAX_DECREASE_WEIGHT, DECREASE_FACTOR * weight) : weight) * step,
    count: Math.min(MAX_COUNT, known.count + countStep),
    at: now,
    recent: addRecent(known.recent, now, logRatio),
  };
};
