import type { CellEstimate } from './estimates';
import { RATING_BINS } from './tally';

/** A model version that may answer, with its estimates. */
export interface ChainCandidate {
  readonly model: string;
  readonly version: string;
  /** Estimate for the first run of a request. */
  readonly first: CellEstimate;
  /** Estimate for the second run, after another model's answer was rated too low. */
  readonly escalated: CellEstimate;
}

/** One run of a chain of models (a model cascade). */
export interface ChainStep {
  readonly model: string;
  readonly version: string;
  /** The answer is rated; a lower score starts the next step. Absent on the last step. */
  readonly threshold?: number;
}

/** Input for the choice of a chain. */
export interface ChainInput {
  readonly candidates: readonly ChainCandidate[];
  readonly qualityTarget: number;
  /** Required confidence that the quality target is met, 0.5 to 1. */
  readonly confidence: number;
  /** Cost units per second of latency. */
  readonly latencyWeight: number;
  readonly ratingCost: number;
  readonly ratingTimeMs: number;
  /** Time by which the whole answer is due; absent for work without a deadline. */
  readonly deadlineMs?: number;
  /** False for work that must run at most once, and for sessions, which keep their version. */
  readonly mayCascade: boolean;
  /** Whether another model may be tried alone. False for high-value and run-once work. */
  readonly mayExplore: boolean;
  readonly explorationShare: number;
  /** Random number in 0..1 from the caller's generator. */
  readonly draw: number;
}

/** The chosen chain, with expected quality, cost and time for the log. */
export interface ChainPlan {
  readonly steps: readonly ChainStep[];
  readonly quality: number;
  readonly qualityError: number;
  readonly cost: number;
  readonly timeMs: number;
  readonly reason: 'cheapest at the target' | 'best available' | 'exploration';
}

interface Chain {
  readonly steps: readonly ChainStep[];
  readonly quality: number;
  readonly qualityError: number;
  readonly cost: number;
  readonly timeMs: number;
  readonly p95TimeMs: number;
}

/** Share of a score's deviation from the mean that comes from the answer, not from rating noise. */
const RATING_RELIABILITY = 0.7;
const SECOND_MS = 1_000;

const THRESHOLDS: readonly number[] = Array.from(
  { length: RATING_BINS - 3 },
  (_unused, index) => (index + 2) / RATING_BINS,
);

// Abramowitz and Stegun 26.2.23; its error is below 4.5e-4.
/** Computes the standard normal quantile of a probability. */
export const computeNormalQuantile = (probability: number): number => {
  if (probability < 0.5) return -computeNormalQuantile(1 - probability);
  const t = Math.sqrt(-2 * Math.log(Math.max(1e-9, 1 - probability)));
  const numerator = 2.515517 + 0.802853 * t + 0.010328 * t * t;
  const denominator = 1 + 1.432788 * t + 0.189269 * t * t + 0.001308 * t * t * t;
  return t - numerator / denominator;
};

const createSingleRun = (candidate: ChainCandidate): Chain => {
  const { model, version, first } = candidate;
  return {
    steps: [{ model, version }],
    quality: first.quality.mean,
    qualityError: first.quality.error,
    cost: first.cost,
    timeMs: first.timeMs.mean,
    p95TimeMs: first.p95TimeMs,
  };
};

const countBins = (bins: readonly number[], from: number): number =>
  bins.slice(from).reduce((total, share) => total + share, 0);

const computeBinMean = (bins: readonly number[], from: number): number => {
  const total = countBins(bins, from);
  if (total <= 0) return 0;
  const weighted = bins
    .slice(from)
    .map((share, index) => share * ((from + index + 0.5) / RATING_BINS));
  return weighted.reduce((sum, value) => sum + value, 0) / total;
};

/** Estimates the share and the quality of the answers whose rating reaches a threshold. */
export const estimateAccepted = (cell: CellEstimate, threshold: number) => {
  const from = Math.round(threshold * RATING_BINS);
  const share = Math.min(1, countBins(cell.bins, from));
  const lift = computeBinMean(cell.bins, from) - computeBinMean(cell.bins, 0);
  const quality = Math.min(1, cell.quality.mean + RATING_RELIABILITY * lift);
  return { share, quality };
};

const createCascade = (
  input: ChainInput,
  cheap: ChainCandidate,
  strong: ChainCandidate,
  threshold: number,
): Chain => {
  const accepted = estimateAccepted(cheap.first, threshold);
  const escalatedShare = 1 - accepted.share;
  const { escalated } = strong;
  const ratedTimeMs = cheap.first.timeMs.mean + input.ratingTimeMs;
  const cheapError = accepted.share * cheap.first.quality.error;
  const strongError = escalatedShare * escalated.quality.error;
  return {
    steps: [
      { model: cheap.model, version: cheap.version, threshold },
      { model: strong.model, version: strong.version },
    ],
    quality: accepted.share * accepted.quality + escalatedShare * escalated.quality.mean,
    qualityError: Math.hypot(cheapError, strongError),
    cost: cheap.first.cost + input.ratingCost + escalatedShare * escalated.cost,
    timeMs: ratedTimeMs + escalatedShare * escalated.timeMs.mean,
    p95TimeMs: cheap.first.p95TimeMs + input.ratingTimeMs + escalated.p95TimeMs,
  };
};

const listCascades = (input: ChainInput): readonly Chain[] => {
  if (!input.mayCascade) return [];
  const { candidates } = input;
  return candidates.flatMap((cheap) =>
    candidates
      .filter((strong) => strong.first.cost > cheap.first.cost)
      .flatMap((strong) =>
        THRESHOLDS.map((threshold) => createCascade(input, cheap, strong, threshold)),
      ),
  );
};

const isWithinDeadline = (input: ChainInput, chain: Chain): boolean =>
  input.deadlineMs === undefined || chain.p95TimeMs <= input.deadlineMs;

const computeWeightedCost = (input: ChainInput, chain: Chain): number =>
  chain.cost + (input.latencyWeight * chain.timeMs) / SECOND_MS;

const chooseLowest = (
  chains: readonly Chain[],
  computeValue: (chain: Chain) => number,
): Chain | undefined =>
  chains.reduce<Chain | undefined>(
    (best, chain) =>
      best === undefined || computeValue(chain) < computeValue(best) ? chain : best,
    undefined,
  );

const createPlan = (chain: Chain, reason: ChainPlan['reason']): ChainPlan => {
  const { steps, quality, qualityError, cost, timeMs } = chain;
  return { steps, quality, qualityError, cost, timeMs, reason };
};

/** Computes the probability that a normal variable exceeds a limit, by a logistic approximation. */
const computeProbabilityAbove = (mean: number, error: number, limit: number): number =>
  1 / (1 + Math.exp((-1.702 * (mean - limit)) / Math.max(1e-6, error)));

const resolveThreshold = (target: number): number =>
  Math.min(1, Math.ceil(target * RATING_BINS - 1e-9) / RATING_BINS);

// Where a second run is allowed, the explored model's answer is rated first, so exploration costs
// money but no quality. Otherwise the model runs alone, except for high-value and run-once work.
const createExploration = (
  input: ChainInput,
  cheap: ChainCandidate,
  best: Chain,
): Chain | undefined => {
  const last = best.steps.at(-1)!;
  const strong = input.candidates.find((candidate) => candidate.model === last.model);
  if (input.mayCascade && strong && strong.model !== cheap.model) {
    const pair = createCascade(input, cheap, strong, resolveThreshold(input.qualityTarget));
    if (isWithinDeadline(input, pair)) return pair;
  }
  return input.mayExplore ? createSingleRun(cheap) : undefined;
};

const MIN_PROBABILITY = 0.02;

// The saving of a chain, weighted by the probability that it meets the target.
const computeExpectedSaving = (input: ChainInput, chain: Chain, bestCost: number): number => {
  const probability = computeProbabilityAbove(
    chain.quality,
    chain.qualityError,
    input.qualityTarget,
  );
  const saving = bestCost - computeWeightedCost(input, chain);
  return probability < MIN_PROBABILITY || !isWithinDeadline(input, chain)
    ? 0
    : saving * probability;
};

const listCandidateChains = (
  input: ChainInput,
  cheap: ChainCandidate,
  best: Chain,
): readonly Chain[] => {
  const last = best.steps.at(-1)!;
  const strong = input.candidates.find((candidate) => candidate.model === last.model);
  const single = createSingleRun(cheap);
  if (!input.mayCascade || !strong || strong.model === cheap.model) return [single];
  return [single, ...THRESHOLDS.map((threshold) => createCascade(input, cheap, strong, threshold))];
};

// Explores the model with the largest expected saving, alone or as the first step of a chain.
const chooseExploration = (input: ChainInput, best: Chain): Chain | undefined => {
  const bestCost = computeWeightedCost(input, best);
  const trials = input.candidates.flatMap((candidate) => {
    const isInUse = best.steps.some((step) => step.model === candidate.model);
    const trial = isInUse ? undefined : createExploration(input, candidate, best);
    if (!trial || !isWithinDeadline(input, trial)) return [];
    const savings = listCandidateChains(input, candidate, best).map((chain) =>
      computeExpectedSaving(input, chain, bestCost),
    );
    return [{ trial, value: Math.max(...savings) }];
  });
  const worthwhile = trials.filter((item) => item.value > 0);
  if (worthwhile.length === 0) return undefined;
  return worthwhile.reduce((first, second) => (second.value > first.value ? second : first)).trial;
};

const chooseBest = (input: ChainInput): ChainPlan | undefined => {
  const z = computeNormalQuantile(input.confidence);
  const singles = input.candidates.map(createSingleRun);
  const withinDeadline = [...singles, ...listCascades(input)].filter((chain) =>
    isWithinDeadline(input, chain),
  );
  const meetingTarget = withinDeadline.filter(
    (chain) => chain.quality - z * chain.qualityError >= input.qualityTarget,
  );
  const cheapest = chooseLowest(meetingTarget, (chain) => computeWeightedCost(input, chain));
  if (cheapest) return createPlan(cheapest, 'cheapest at the target');
  const fallback = withinDeadline.length > 0 ? withinDeadline : singles;
  const best = chooseLowest(fallback, (chain) => -chain.quality);
  return best && createPlan(best, 'best available');
};

/**
 * Chooses the cheapest chain that meets the quality target with the required confidence and meets
 * the deadline. A bounded share of the requests explores a cheaper model that may turn out good
 * enough.
 */
export const chooseChain = (input: ChainInput): ChainPlan | undefined => {
  const plan = chooseBest(input);
  const mayExploreOrCascade = input.mayExplore || input.mayCascade;
  if (!plan || !mayExploreOrCascade || input.draw >= input.explorationShare) return plan;
  const best: Chain = { ...plan, p95TimeMs: plan.timeMs };
  const exploration = chooseExploration(input, best);
  return exploration ? createPlan(exploration, 'exploration') : plan;
};
