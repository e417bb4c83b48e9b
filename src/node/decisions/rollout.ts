import murmurhash from 'murmurhash';
import { testFall, testRise, estimateDifference } from './sequentialTest';
import {
  mergeMoments,
  readErrors,
  readLogTimes,
  readScores,
  type Moments,
  type Tally,
} from './tally';

/** Rules of a roll-out. */
export interface RolloutRules {
  /** Shares of new sessions for the new version, one per step. */
  readonly steps: readonly number[];
  readonly minSamplesPerStep: number;
  /** Decrease in quality that must be ruled out before the last step. */
  readonly toleratedFall: number;
  /** Probability of halting a roll-out of a version that is as good as the one it replaces. */
  readonly falseHaltRate: number;
}

/** Tallies of both versions for one organisation and task since the roll-out started. */
export interface RolloutCell {
  readonly organisation: string;
  readonly task: string;
  readonly isHighValue: boolean;
  readonly candidate: Tally;
  readonly baseline: Tally;
}

/** The next action for a roll-out. */
export type RolloutVerdict =
  | { readonly type: 'hold' }
  | { readonly type: 'advance'; readonly reason: string }
  | { readonly type: 'finish'; readonly reason: string }
  | { readonly type: 'withdraw'; readonly reason: string };

/** Input that decides whether a session gets the new version. */
export interface ShareInput {
  /** Name of the roll-out; another roll-out selects other sessions. */
  readonly rollout: string;
  readonly organisation: string;
  readonly zone: string;
  /** Session id, or request id for a request without a session. */
  readonly session: string;
}

const HASH_RANGE = 2 ** 32;
const QUALITY_PRIOR_DEVIATION = 0.2;
const ERROR_PRIOR_DEVIATION = 0.15;
const LOG_TIME_PRIOR_DEVIATION = 0.5;
/** Increase in the failure rate that is treated as endpoint noise. */
const TOLERATED_ERROR_RISE = 0.01;
/** Increase of the log time that is treated as load noise. */
const TOLERATED_LOG_TIME_RISE = Math.log(1.25);

/**
 * Counts the steps of a roll-out. The shares are applied to ordinary work first and then again to
 * high-value work, so that high-value work gets a new version last.
 */
export const countSteps = (steps: readonly number[]): number => 2 * steps.length;

/** Computes the share of new sessions that a step gives to the new version. */
export const computeShare = (
  steps: readonly number[],
  step: number,
  isHighValue: boolean,
): number => {
  if (isHighValue)
    return step < steps.length ? 0 : steps[Math.min(step, 2 * steps.length - 1) - steps.length]!;
  return steps[Math.min(step, steps.length - 1)]!;
};

/** Share of all traffic that provides ratings of a new version while its own share is small. */
const RATED_TRAFFIC_SHARE = 0.02;

/**
 * Computes the share of a new version's answers to rate: all at first, fewer as its traffic grows.
 */
export const computeRatedShare = (share: number, ratingShare: number): number =>
  Math.max(ratingShare, Math.min(1, RATED_TRAFFIC_SHARE / Math.max(share, 1e-9)));

/** Checks whether a session gets the new version. It keeps the version when the share grows. */
export const isInShare = (input: ShareInput, share: number): boolean => {
  const { rollout, organisation, zone, session } = input;
  const hash = murmurhash.v3([rollout, organisation, zone, session].join('|'));
  return hash / HASH_RANGE < share;
};

interface Signal {
  readonly name: string;
  /** Share of the false halt rate that this signal may use. */
  readonly alphaShare: number;
  readonly priorDeviation: number;
  readonly read: (tally: Tally) => Moments;
  readonly testRegression: (candidate: Moments, baseline: Moments, alpha: number) => boolean;
}

const SIGNALS: readonly Signal[] = [
  {
    name: 'quality',
    alphaShare: 0.6,
    priorDeviation: QUALITY_PRIOR_DEVIATION,
    read: readScores,
    testRegression: (candidate, baseline, alpha) =>
      testFall({ candidate, baseline, alpha, priorDeviation: QUALITY_PRIOR_DEVIATION }),
  },
  {
    name: 'errors',
    alphaShare: 0.2,
    priorDeviation: ERROR_PRIOR_DEVIATION,
    read: readErrors,
    testRegression: (candidate, baseline, alpha) =>
      testRise(
        { candidate, baseline, alpha, priorDeviation: ERROR_PRIOR_DEVIATION },
        TOLERATED_ERROR_RISE,
      ),
  },
  {
    name: 'latency',
    alphaShare: 0.2,
    priorDeviation: LOG_TIME_PRIOR_DEVIATION,
    read: readLogTimes,
    testRegression: (candidate, baseline, alpha) =>
      testRise(
        { candidate, baseline, alpha, priorDeviation: LOG_TIME_PRIOR_DEVIATION },
        TOLERATED_LOG_TIME_RISE,
      ),
  },
];

const EMPTY_MOMENTS: Moments = { count: 0, sum: 0, squares: 0 };

const mergeCellMoments = (
  cells: readonly RolloutCell[],
  arm: 'candidate' | 'baseline',
  read: (tally: Tally) => Moments,
): Moments => cells.reduce((sum, cell) => mergeMoments(sum, read(cell[arm])), EMPTY_MOMENTS);

const computeSquaredDeviations = ({ count, sum, squares }: Moments): number =>
  count > 0 ? Math.max(0, squares - sum ** 2 / count) : 0;

// Cells differ in their mean. The baseline cells are weighted like the candidate's cells, so that a
// different mix of work does not look like a regression. This gives a large weight to cells with
// few baseline observations, so the effective sample count is lower than the number of
// observations.
const computeWeightedBaseline = (
  cells: readonly RolloutCell[],
  read: (tally: Tally) => Moments,
): Moments => {
  const pooled = mergeCellMoments(cells, 'baseline', read);
  const total = cells.reduce((sum, cell) => sum + read(cell.candidate).count, 0);
  if (total <= 0 || pooled.count <= 0) return pooled;
  let mean = 0;
  let inverse = 0;
  let spread = 0;
  for (const cell of cells) {
    const weight = read(cell.candidate).count / total;
    const baseline = read(cell.baseline);
    mean += (weight * baseline.sum) / baseline.count;
    inverse += weight ** 2 / baseline.count;
    spread += computeSquaredDeviations(baseline);
  }
  const count = 1 / inverse;
  return {
    count,
    sum: mean * count,
    squares: mean * mean * count + (spread * count) / pooled.count,
  };
};

const listGroups = (cells: readonly RolloutCell[]): readonly (readonly RolloutCell[])[] =>
  [cells.filter((cell) => !cell.isHighValue), cells.filter((cell) => cell.isHighValue)].filter(
    (group) => group.length > 0,
  );

/** With fewer observations a single wrong rating could look like a regression. */
const MIN_GROUP_SAMPLES = 5;
const MIN_CELL_SAMPLES = 10;

// High-value work is tested separately, so that ordinary work does not mask its regression.
const findSignalRegression = (
  cells: readonly RolloutCell[],
  signal: Signal,
  alpha: number,
): string | undefined => {
  const halfAlpha = (alpha * signal.alphaShare) / 2;
  const usable = cells.filter((cell) => signal.read(cell.baseline).count > 0);
  const groups = listGroups(usable);
  const hasRegressed = groups.some((group) => {
    const candidate = mergeCellMoments(group, 'candidate', signal.read);
    if (candidate.count < MIN_GROUP_SAMPLES) return false;
    const baseline = computeWeightedBaseline(group, signal.read);
    return signal.testRegression(candidate, baseline, halfAlpha / groups.length);
  });
  if (hasRegressed) return `${signal.name} is worse than in the previous version`;
  const alphaPerCell = halfAlpha / Math.max(1, cells.length);
  const worse = usable
    .filter((cell) => signal.read(cell.candidate).count >= MIN_CELL_SAMPLES)
    .find((cell) =>
      signal.testRegression(signal.read(cell.candidate), signal.read(cell.baseline), alphaPerCell),
    );
  return worse && `${signal.name} is worse for ${worse.organisation}, task ${worse.task}`;
};

/** Returns why a version must be withdrawn, or nothing without evidence of a regression. */
export const findRolloutRegression = (
  cells: readonly RolloutCell[],
  falseHaltRate: number,
): string | undefined => {
  for (const signal of SIGNALS) {
    const regression = findSignalRegression(cells, signal, falseHaltRate);
    if (regression !== undefined) return regression;
  }
  return undefined;
};

/** High-value work follows after all other work has been judged, so it needs fewer samples. */
const HIGH_VALUE_SAMPLES_FRACTION = 0.3;

// Early steps expose little traffic, so they only need to rule out large decreases.
const computeMargin = (rules: RolloutRules, step: number): number =>
  rules.toleratedFall * (rules.steps.length - (step % rules.steps.length));

const canAdvance = (rules: RolloutRules, cells: readonly RolloutCell[], step: number): boolean => {
  const isHighValuePhase = step >= rules.steps.length;
  const phaseCells = cells
    .filter((cell) => cell.isHighValue === isHighValuePhase)
    .filter((cell) => readScores(cell.baseline).count > 0);
  // Without high-value work its steps have no ratings to wait for.
  if (isHighValuePhase && phaseCells.length === 0) return true;
  const candidate = mergeCellMoments(phaseCells, 'candidate', readScores);
  const fraction = isHighValuePhase ? HIGH_VALUE_SAMPLES_FRACTION : 1;
  const needed = fraction * rules.minSamplesPerStep * ((step % rules.steps.length) + 1);
  if (candidate.count < needed) return false;
  const bounds = estimateDifference({
    candidate,
    baseline: computeWeightedBaseline(phaseCells, readScores),
    alpha: rules.falseHaltRate,
    priorDeviation: QUALITY_PRIOR_DEVIATION,
  });
  return bounds.lower > -computeMargin(rules, step);
};

/** Judges a running roll-out by its tallies since the start. */
export const judgeRollout = (
  rules: RolloutRules,
  step: number,
  cells: readonly RolloutCell[],
): RolloutVerdict => {
  const regression = findRolloutRegression(cells, rules.falseHaltRate);
  if (regression !== undefined) return { type: 'withdraw', reason: regression };
  if (!canAdvance(rules, cells, step)) return { type: 'hold' };
  const reason = 'no regression compared with the previous version';
  const isLast = step + 1 >= countSteps(rules.steps);
  return isLast ? { type: 'finish', reason } : { type: 'advance', reason };
};
