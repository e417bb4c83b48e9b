import type { RolloutStage } from '../routing';
import type { RolloutCell } from './rollout';
import { testRise } from './sequentialTest';
import { mergeMoments, readErrors, readLogTimes, type Moments, type Tally } from './tally';

// Load pattern: a steady stream of requests with a small share for the new version. The new version
// fails or slows down immediately, after some seconds, on one route only or only under load.

/** State and observations of a running roll-out. */
export interface ServiceRolloutInput {
  readonly stage: RolloutStage;
  /** Milliseconds since this host first saw the roll-out. */
  readonly elapsedMs: number;
  /** Milliseconds since the current stage began. */
  readonly stageMs: number;
  readonly durationMs: number;
  /** Endpoints of the new version that accept work. */
  readonly readyCandidates: number;
  /** Endpoints of the previous versions that accept work. */
  readonly readyBaselines: number;
  readonly cells: readonly RolloutCell[];
}

/** The next action for a roll-out. */
export type ServiceRolloutVerdict =
  | { readonly type: 'hold' }
  | { readonly type: 'move'; readonly to: RolloutStage; readonly reason: string };

/** Probability of rolling back a version that is as good as the previous one. */
const FALSE_ROLLBACK_RATE = 0.01;
/**
 * Answers of the new version required before its traffic grows, while there is time to collect
 * them.
 */
const CANARY_SAMPLES = 20;
/** Fewer answers suffice once the roll-out would otherwise end too late. */
const OVERDUE_CANARY_SAMPLES = 10;
/** Answers of the new version required before it gets all traffic. */
const RAMP_SAMPLES = 40;
/**
 * Elapsed share before the early stage; sessions may move only in the second half of a roll-out.
 */
const EARLY_ELAPSED_SHARE = 0.52;
/** Elapsed share after which the roll-out proceeds with fewer answers instead of waiting. */
const OVERDUE_ELAPSED_SHARE = 0.58;
/**
 * Durations of the later stages as shares of the total. They let caches fill and old work finish.
 */
const EARLY_SHARE = 0.06;
const RAMP_SHARE = 0.06;
const FULL_SHARE = 0.18;
/** Elapsed share at which a late roll-out ends, after a shortened full stage. */
const END_ELAPSED_SHARE = 0.9;
const MIN_FULL_SHARE = 0.06;
/**
 * Fraction of the allowed exposure used by the canary stage; a fault in a later stage adds to it.
 */
const CANARY_EXPOSURE_FRACTION = 0.6;
/** Traffic shares of the middle stages; each stage moves the prefill of its share of prompts. */
const EARLY_TRAFFIC_SHARE = 0.2;
const RAMP_TRAFFIC_SHARE = 0.5;
/** Required ratio of ready endpoints of the new version to those of the previous versions. */
const MIN_READY_RATIO = 0.6;

const EMPTY_MOMENTS: Moments = { count: 0, sum: 0, squares: 0 };
const ERROR_PRIOR_DEVIATION = 0.15;
const LOG_TIME_PRIOR_DEVIATION = 0.5;
/** Increase in the failure rate that is within the normal variation of endpoints. */
const TOLERATED_ERROR_RISE = 0.05;
/** Tolerated slow-down, since a new version starts with empty caches. */
const TOLERATED_TIME_FACTOR = 3;
/** With fewer answers a single slow or failed answer could look like a regression. */
const MIN_SAMPLES = 5;

const mergeArm = (
  cells: readonly RolloutCell[],
  arm: 'candidate' | 'baseline',
  read: (tally: Tally) => Moments,
): Moments => cells.reduce((sum, cell) => mergeMoments(sum, read(cell[arm])), EMPTY_MOMENTS);

const hasMoreErrors = (cells: readonly RolloutCell[], alpha: number): boolean => {
  const candidate = mergeArm(cells, 'candidate', readErrors);
  const baseline = mergeArm(cells, 'baseline', readErrors);
  const comparison = { candidate, baseline, alpha, priorDeviation: ERROR_PRIOR_DEVIATION };
  return candidate.count >= MIN_SAMPLES && testRise(comparison, TOLERATED_ERROR_RISE);
};

const isSlower = (cell: RolloutCell, alpha: number): boolean => {
  const candidate = readLogTimes(cell.candidate);
  const baseline = readLogTimes(cell.baseline);
  const comparison = { candidate, baseline, alpha, priorDeviation: LOG_TIME_PRIOR_DEVIATION };
  return candidate.count >= MIN_SAMPLES && testRise(comparison, Math.log(TOLERATED_TIME_FACTOR));
};

/** Returns why a version must be rolled back, or nothing without evidence of a regression. */
export const findVersionRegression = (cells: readonly RolloutCell[]): string | undefined => {
  const alpha = FALSE_ROLLBACK_RATE / 2;
  const alphaPerCell = alpha / Math.max(1, cells.length);
  if (hasMoreErrors(cells, alpha)) return 'more failures than the previous version';
  const failing = cells.find((cell) => hasMoreErrors([cell], alphaPerCell));
  if (failing) return `more failures than the previous version on ${failing.task}`;
  const slow = cells.find((cell) => isSlower(cell, alphaPerCell));
  return slow && `slower than the previous version on ${slow.task}`;
};

const countCandidateSamples = (input: ServiceRolloutInput): number =>
  input.cells.reduce((sum, cell) => sum + readErrors(cell.candidate).count, 0);

const hasCapacity = (input: ServiceRolloutInput): boolean =>
  input.readyCandidates > 0 && input.readyCandidates >= MIN_READY_RATIO * input.readyBaselines;

type StageRule = (input: ServiceRolloutInput) => RolloutStage | undefined;

const countNeededSamples = ({ elapsedMs, durationMs }: ServiceRolloutInput): number =>
  elapsedMs >= OVERDUE_ELAPSED_SHARE * durationMs ? OVERDUE_CANARY_SAMPLES : CANARY_SAMPLES;

const isFullStageOver = ({ stageMs, elapsedMs, durationMs }: ServiceRolloutInput): boolean =>
  stageMs >= FULL_SHARE * durationMs ||
  (elapsedMs >= END_ELAPSED_SHARE * durationMs && stageMs >= MIN_FULL_SHARE * durationMs);

const STAGE_RULES: Readonly<Record<RolloutStage, StageRule>> = {
  canary: (input) => {
    const isDue = input.elapsedMs >= EARLY_ELAPSED_SHARE * input.durationMs;
    const hasEnoughSamples = countCandidateSamples(input) >= countNeededSamples(input);
    return isDue && hasEnoughSamples && hasCapacity(input) ? 'early' : undefined;
  },
  early: (input) => {
    const isDue = input.stageMs >= EARLY_SHARE * input.durationMs;
    const hasEnoughSamples = countCandidateSamples(input) >= CANARY_SAMPLES;
    return isDue && hasEnoughSamples && hasCapacity(input) ? 'ramp' : undefined;
  },
  ramp: (input) => {
    const isDue = input.stageMs >= RAMP_SHARE * input.durationMs;
    const hasEnoughSamples = countCandidateSamples(input) >= RAMP_SAMPLES;
    return isDue && hasEnoughSamples && hasCapacity(input) ? 'full' : undefined;
  },
  full: (input) => (isFullStageOver(input) && hasCapacity(input) ? 'completed' : undefined),
  completed: () => undefined,
  rolledBack: () => undefined,
};

/** Judges a roll-out of a routed service by the tallies of its versions since the start. */
export const judgeServiceRollout = (input: ServiceRolloutInput): ServiceRolloutVerdict => {
  if (input.stage === 'completed' || input.stage === 'rolledBack') return { type: 'hold' };
  const regression = findVersionRegression(input.cells);
  if (regression !== undefined) return { type: 'move', to: 'rolledBack', reason: regression };
  const next = STAGE_RULES[input.stage](input);
  if (next === undefined) return { type: 'hold' };
  return { type: 'move', to: next, reason: 'no regression compared with the previous version' };
};

/** Computes the traffic share of the new version in a stage. */
export const computeStageShare = (stage: RolloutStage, exposureShare: number): number => {
  const shares: Readonly<Record<RolloutStage, number>> = {
    canary: CANARY_EXPOSURE_FRACTION * exposureShare,
    early: EARLY_TRAFFIC_SHARE,
    ramp: RAMP_TRAFFIC_SHARE,
    full: 1,
    completed: 1,
    rolledBack: 0,
  };
  return shares[stage];
};
