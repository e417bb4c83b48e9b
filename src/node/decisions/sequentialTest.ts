import type { Moments } from './tally';

/** A comparison of a candidate with the version that it replaces. */
export interface Comparison {
  readonly candidate: Moments;
  readonly baseline: Moments;
  /** Probability of ever reporting a difference where there is none. */
  readonly alpha: number;
  /** Standard deviation that is assumed until there are enough observations. */
  readonly priorDeviation: number;
}

/** Bounds of the difference `candidate - baseline`, valid at all sample sizes simultaneously. */
export interface DifferenceBounds {
  readonly samples: number;
  readonly difference: number;
  readonly lower: number;
  readonly upper: number;
}

const PRIOR_SAMPLES = 4;
/** Sample size at which the bound is tightest. */
const TIGHTEST_BOUND_SAMPLES = 6;
const MIN_VARIANCE = 1e-6;

const computeSquaredDeviations = (moments: Moments): number =>
  moments.count > 0 ? Math.max(0, moments.squares - moments.sum ** 2 / moments.count) : 0;

/** Estimates the variance of one observation, shrunk towards the prior with few observations. */
export const estimateVariance = (list: readonly Moments[], priorDeviation: number): number => {
  const spread = list.reduce((total, moments) => total + computeSquaredDeviations(moments), 0);
  const count = list.reduce((total, moments) => total + Math.max(0, moments.count - 1), 0);
  const prior = PRIOR_SAMPLES * priorDeviation ** 2;
  return Math.max(MIN_VARIANCE, (spread + prior) / (count + PRIOR_SAMPLES));
};

/**
 * Computes the half-width of a one-sided confidence sequence for a mean of `samples` observations
 * with unit variance (normal mixture boundary). It holds at all sample sizes simultaneously, so the
 * test may be evaluated after every observation.
 */
export const computeRadius = (samples: number, alpha: number): number => {
  if (samples <= 0) return Infinity;
  const logTerm = Math.max(0.5, Math.log(1 / (2 * alpha)));
  const mixture = TIGHTEST_BOUND_SAMPLES / (2 * logTerm + Math.log(1 + 2 * logTerm));
  const variance = samples + mixture;
  const inner = Math.sqrt(variance / mixture) / (2 * alpha) + 1;
  return Math.sqrt(2 * variance * Math.log(inner)) / samples;
};

const computeMean = (moments: Moments): number =>
  moments.count > 0 ? moments.sum / moments.count : 0;

/** Estimates the difference of two means with bounds valid at all sample sizes simultaneously. */
export const estimateDifference = (comparison: Comparison): DifferenceBounds => {
  const { candidate, baseline, alpha, priorDeviation } = comparison;
  if (candidate.count <= 0 || baseline.count <= 0) {
    return { samples: 0, difference: 0, lower: -Infinity, upper: Infinity };
  }
  const samples = 1 / (1 / candidate.count + 1 / baseline.count);
  const difference = computeMean(candidate) - computeMean(baseline);
  const deviation = Math.sqrt(estimateVariance([candidate, baseline], priorDeviation));
  const radius = deviation * computeRadius(samples, alpha);
  return { samples, difference, lower: difference - radius, upper: difference + radius };
};

/** Tests whether the candidate is lower than the baseline by more than the margin. */
export const testFall = (comparison: Comparison, margin = 0): boolean =>
  estimateDifference(comparison).upper < -margin;

/** Tests whether the candidate is higher than the baseline by more than the margin. */
export const testRise = (comparison: Comparison, margin = 0): boolean =>
  estimateDifference(comparison).lower > margin;
