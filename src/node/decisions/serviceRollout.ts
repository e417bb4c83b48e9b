import type { RolloutStage } from '../routing';
import type { RolloutCell } from './rollout';
import { testRise } from './sequentialTest';
import { mergeMoments, readErrors, readLogTimes, type Moments, type Tally } from './tally';

// Load pattern: a steady stream of requests of which a small part goes to the new version; the new
// version fails or slows down at once, some seconds later, on one route only or only under load.

/** What is known of a roll-out that runs. */
export interface ServiceRolloutInput {
  readonly stage: RolloutStage;
  /** Milliseconds since the roll-out began, as far as this host has seen it. */
  readonly elapsedMs: number;
  /** Milliseconds since the present stage began. */
  readonly stageMs: number;
  readonly durationMs: number;
  /** Endpoints of the new version that take work, and of the versions before it. */
  readonly readyCandidates: number;
  readonly readyBaselines: number;
  readonly cells: readonly RolloutCell[];
}

/** What a roll-out shall do next. */
export type ServiceRolloutVerdict =
  | { readonly type: 'hold' }
  | { readonly type: 'move'; readonly to: RolloutStage; readonly reason: string };

/** Chance of rolling back a version that is as good as the one before it. */
const FALSE_ROLLBACK_RATE = 0.01;
/** Answers of the new version without which it is not trusted with more, while there is time for them. */
const CANARY_SAMPLES = 20;
/** Fewer are enough once the roll-out would otherwise end too late. */
const OVERDUE_CANARY_SAMPLES = 10;
/** Answers that must have come by the time all of the traffic follows. */
const RAMP_SAMPLES = 40;
/** Sessions may move only in the second half of a roll-out. */
const EARLY_ELAPSED_SHARE = 0.52;
/** Part of the time after which few answers are reason to go on rather than to wait. */
const OVERDUE_ELAPSED_SHARE = 0.58;
/** Parts of the whole time that the later stages last, so that caches fill and old work ends by itself. */
const EARLY_SHARE = 0.06;
const RAMP_SHARE = 0.06;
const FULL_SHARE = 0.18;
/** A roll-out that is behind ends at this part of its time, after a shorter last stage. */
const END_ELAPSED_SHARE = 0.9;
const MIN_FULL_SHARE = 0.06;
/** Part of the allowed exposure that the first stage uses, since a late fault adds to it. */
const CANARY_EXPOSURE_FRACTION = 0.6;
/** Parts of the traffic that the stages in between move; each moves the reading of prompts it takes. */
const EARLY_TRAFFIC_SHARE = 0.2;
const RAMP_TRAFFIC_SHARE = 0.5;
/** The new version needs this many endpoints for each one before it takes all traffic. */
const MIN_READY_RATIO = 0.6;

const EMPTY_MOMENTS: Moments = { count: 0, sum: 0, squares: 0 };
const ERROR_PRIOR_DEVIATION = 0.15;
const LOG_TIME_PRIOR_DEVIATION = 0.5;
/** Rise in the share of failures that endpoints differ by anyway. */
const TOLERATED_ERROR_RISE = 0.05;
/** A new version starts with empty caches, so its times may be this many times as long. */
const TOLERATED_TIME_FACTOR = 3;
/** With fewer answers one slow or failed one could look like a fall. */
const MIN_CELL_SAMPLES = 5;

const mergeArm = (
  cells: readonly RolloutCell[],
  arm: 'candidate' | 'baseline',
  read: (tally: Tally) => Moments,
): Moments => cells.reduce((sum, cell) => mergeMoments(sum, read(cell[arm])), EMPTY_MOMENTS);

const hasMoreErrors = (cells: readonly RolloutCell[], alpha: number): boolean => {
  const candidate = mergeArm(cells, 'candidate', readErrors);
  const baseline = mergeArm(cells, 'baseline', readErrors);
  const comparison = { candidate, baseline, alpha, priorDeviation: ERROR_PRIOR_DEVIATION };
  return candidate.count >= MIN_CELL_SAMPLES && testRise(comparison, TOLERATED_ERROR_RISE);
};

const isSlower = (cell: RolloutCell, alpha: number): boolean => {
  const candidate = readLogTimes(cell.candidate);
  const baseline = readLogTimes(cell.baseline);
  const comparison = { candidate, baseline, alpha, priorDeviation: LOG_TIME_PRIOR_DEVIATION };
  return (
    candidate.count >= MIN_CELL_SAMPLES && testRise(comparison, Math.log(TOLERATED_TIME_FACTOR))
  );
};

/** Finds why a version must be rolled back, or nothing while there is no proof that it is worse. */
export const findVersionRegression = (cells: readonly RolloutCell[]): string | undefined => {
  const alpha = FALSE_ROLLBACK_RATE / 2;
  const alphaPerCell = alpha / Math.max(1, cells.length);
  if (hasMoreErrors(cells, alpha)) return 'more failures than before';
  const failing = cells.find((cell) => hasMoreErrors([cell], alphaPerCell));
  if (failing) return `more failures than before on ${failing.task}`;
  const slow = cells.find((cell) => isSlower(cell, alphaPerCell));
  return slow && `slower than before on ${slow.task}`;
};

const countCandidateSamples = (facts: ServiceRolloutInput): number =>
  facts.cells.reduce((sum, cell) => sum + readErrors(cell.candidate).count, 0);

const hasCapacity = (facts: ServiceRolloutInput): boolean =>
  facts.readyCandidates > 0 && facts.readyCandidates >= MIN_READY_RATIO * facts.readyBaselines;

type StageRule = (facts: ServiceRolloutInput) => RolloutStage | undefined;

const countNeededSamples = ({ elapsedMs, durationMs }: ServiceRolloutInput): number =>
  elapsedMs >= OVERDUE_ELAPSED_SHARE * durationMs ? OVERDUE_CANARY_SAMPLES : CANARY_SAMPLES;

const isFullStageOver = ({ stageMs, elapsedMs, durationMs }: ServiceRolloutInput): boolean =>
  stageMs >= FULL_SHARE * durationMs ||
  (elapsedMs >= END_ELAPSED_SHARE * durationMs && stageMs >= MIN_FULL_SHARE * durationMs);

const STAGE_RULES: Readonly<Record<RolloutStage, StageRule>> = {
  canary: (facts) => {
    const isDue = facts.elapsedMs >= EARLY_ELAPSED_SHARE * facts.durationMs;
    const isTrusted = countCandidateSamples(facts) >= countNeededSamples(facts);
    return isDue && isTrusted && hasCapacity(facts) ? 'early' : undefined;
  },
  early: (facts) => {
    const isDue = facts.stageMs >= EARLY_SHARE * facts.durationMs;
    const isTrusted = countCandidateSamples(facts) >= CANARY_SAMPLES;
    return isDue && isTrusted && hasCapacity(facts) ? 'ramp' : undefined;
  },
  ramp: (facts) => {
    const isDue = facts.stageMs >= RAMP_SHARE * facts.durationMs;
    const isTrusted = countCandidateSamples(facts) >= RAMP_SAMPLES;
    return isDue && isTrusted && hasCapacity(facts) ? 'full' : undefined;
  },
  full: (facts) => (isFullStageOver(facts) && hasCapacity(facts) ? 'completed' : undefined),
  completed: () => undefined,
  rolledBack: () => undefined,
};

/** Judges a roll-out of a routed service by what its versions did since it began. */
export const judgeServiceRollout = (facts: ServiceRolloutInput): ServiceRolloutVerdict => {
  if (facts.stage === 'completed' || facts.stage === 'rolledBack') return { type: 'hold' };
  const fault = findVersionRegression(facts.cells);
  if (fault !== undefined) return { type: 'move', to: 'rolledBack', reason: fault };
  const next = STAGE_RULES[facts.stage](facts);
  if (next === undefined) return { type: 'hold' };
  return { type: 'move', to: next, reason: 'no worse than the version that it replaces' };
};

/** Computes the share of the traffic that a stage gives to the new version. */
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
