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

/** The rules that a roll-out follows. */
export interface RolloutRules {
  /** Shares of new sessions, in order. */
  readonly steps: readonly number[];
  readonly minSamplesPerStep: number;
  /** Fall in quality that must be ruled out before the last step. */
  readonly toleratedFall: number;
  /** Chance of halting a roll-out of a version that is as good as the one it replaces. */
  readonly falseHaltRate: number;
}

/** What one organisation's work of one task saw of both versions since the roll-out began. */
export interface RolloutCell {
  readonly organisation: string;
  readonly task: string;
  readonly isHighValue: boolean;
  readonly candidate: Tally;
  readonly baseline: Tally;
}

/** What a roll-out shall do next. */
export type RolloutVerdict =
  | { readonly type: 'hold' }
  | { readonly type: 'advance'; readonly reason: string }
  | { readonly type: 'finish'; readonly reason: string }
  | { readonly type: 'withdraw'; readonly reason: string };

/** Whom a roll-out's share is asked for. */
export interface ShareInput {
  /** Names this roll-out; a new one draws other sessions. */
  readonly rollout: string;
  readonly organisation: string;
  readonly zone: string;
  /** The session, or the request when it belongs to none. */
  readonly session: string;
}

const HASH_RANGE = 2 ** 32;
const QUALITY_PRIOR_DEVIATION = 0.2;
const ERROR_PRIOR_DEVIATION = 0.15;
const LOG_TIME_PRIOR_DEVIATION = 0.5;
/** Rise in the share of failures that is taken as noise of the endpoints. */
const TOLERATED_ERROR_RISE = 0.01;
/** Rise of the time, as a logarithm, that is taken as noise of the load. */
const TOLERATED_LOG_TIME_RISE = Math.log(1.25);

/**
 * Counts the steps of a roll-out: first all shares for ordinary work, then all of them again for
 * work of high value, which so sees a new version last.
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

/** Ratings of a new version come from this share of all traffic while its own share is small. */
const RATED_TRAFFIC_SHARE = 0.02;

/** Computes which share of a new version's answers is rated: all at first, fewer as it spreads. */
export const computeRatedShare = (share: number, ratingShare: number): number =>
  Math.max(ratingShare, Math.min(1, RATED_TRAFFIC_SHARE / Math.max(share, 1e-9)));

/** Says whether a session is among the share that gets the new version; it stays so as the share grows. */
export const isInShare = (question: ShareInput, share: number): boolean => {
  const { rollout, organisation, zone, session } = question;
  const hash = murmurhash.v3([rollout, organisation, zone, session].join('|'));
  return hash / HASH_RANGE < share;
};

interface Signal {
  readonly name: string;
  /** Part of the false halt rate that this signal may use. */
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

// Cells differ in their mean; the baseline is weighted as the candidate's cells are, so that a
// different mix of work cannot look like a fall. A cell with a small baseline then counts for more
// than it knows, so the baseline is worth fewer observations than it has.
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

/** With fewer observations a single wrong rating could look like a fall. */
const MIN_GROUP_SAMPLES = 5;
const MIN_CELL_SAMPLES = 10;

// Work of high value is tested on its own, lest much ordinary work hide its fall.
const findSignalRegression = (
  cells: readonly RolloutCell[],
  signal: Signal,
  alpha: number,
): string | undefined => {
  const half = (alpha * signal.alphaShare) / 2;
  const usable = cells.filter((cell) => signal.read(cell.baseline).count > 0);
  const groups = listGroups(usable);
  const isWorse = groups.some((group) => {
    const candidate = mergeCellMoments(group, 'candidate', signal.read);
    if (candidate.count < MIN_GROUP_SAMPLES) return false;
    const baseline = computeWeightedBaseline(group, signal.read);
    return signal.testRegression(candidate, baseline, half / groups.length);
  });
  if (isWorse) return `${signal.name} is worse than before`;
  const alphaPerCell = half / Math.max(1, cells.length);
  const worse = usable
    .filter((cell) => signal.read(cell.candidate).count >= MIN_CELL_SAMPLES)
    .find((cell) =>
      signal.testRegression(signal.read(cell.candidate), signal.read(cell.baseline), alphaPerCell),
    );
  return worse && `${signal.name} is worse for ${worse.organisation}, task ${worse.task}`;
};

/** Finds why a version must be withdrawn, or nothing while there is no proof that it is worse. */
export const findRolloutRegression = (
  cells: readonly RolloutCell[],
  falseHaltRate: number,
): string | undefined => {
  for (const signal of SIGNALS) {
    const fault = findSignalRegression(cells, signal, falseHaltRate);
    if (fault !== undefined) return fault;
  }
  return undefined;
};

/** Work of high value comes after all other work has been judged, so it needs fewer samples. */
const HIGH_VALUE_SAMPLES_FRACTION = 0.3;

// Early steps put little at risk, so they need to rule out large falls only.
const computeMargin = (rules: RolloutRules, step: number): number =>
  rules.toleratedFall * (rules.steps.length - (step % rules.steps.length));

const canAdvance = (rules: RolloutRules, cells: readonly RolloutCell[], step: number): boolean => {
  const isHighPhase = step >= rules.steps.length;
  const counted = cells
    .filter((cell) => cell.isHighValue === isHighPhase)
    .filter((cell) => readScores(cell.baseline).count > 0);
  // Without work of high value its steps have nothing to wait for.
  if (isHighPhase && counted.length === 0) return true;
  const candidate = mergeCellMoments(counted, 'candidate', readScores);
  const part = isHighPhase ? HIGH_VALUE_SAMPLES_FRACTION : 1;
  const needed = part * rules.minSamplesPerStep * ((step % rules.steps.length) + 1);
  if (candidate.count < needed) return false;
  const bounds = estimateDifference({
    candidate,
    baseline: computeWeightedBaseline(counted, readScores),
    alpha: rules.falseHaltRate,
    priorDeviation: QUALITY_PRIOR_DEVIATION,
  });
  return bounds.lower > -computeMargin(rules, step);
};

/** Judges a running roll-out from what was counted since its start. */
export const judgeRollout = (
  rules: RolloutRules,
  step: number,
  cells: readonly RolloutCell[],
): RolloutVerdict => {
  const fault = findRolloutRegression(cells, rules.falseHaltRate);
  if (fault !== undefined) return { type: 'withdraw', reason: fault };
  if (!canAdvance(rules, cells, step)) return { type: 'hold' };
  const reason = 'no worse than the version that it replaces';
  const isLast = step + 1 >= countSteps(rules.steps);
  return isLast ? { type: 'finish', reason } : { type: 'advance', reason };
};
