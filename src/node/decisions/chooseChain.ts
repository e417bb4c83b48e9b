import type { CellEstimate } from './estimates';
import { RATING_BINS } from './tally';

/** A model and version that may answer, with what is known of it. */
export interface ChainCandidate {
  readonly model: string;
  readonly version: string;
  /** As the first run of a request. */
  readonly first: CellEstimate;
  /** As the second run, after another model's answer was rated too low. */
  readonly escalated: CellEstimate;
}

/** One run of a chain. */
export interface ChainStep {
  readonly model: string;
  readonly version: string;
  /** The answer is rated, and the chain goes on when the score is lower; absent on the last step. */
  readonly threshold?: number;
}

/** What the choice of a chain is asked. */
export interface ChainInput {
  readonly candidates: readonly ChainCandidate[];
  readonly qualityTarget: number;
  /** How sure the quality target must be met, 0.5 to 1. */
  readonly confidence: number;
  /** Cost units that one second is worth. */
  readonly latencyWeight: number;
  readonly ratingCost: number;
  readonly ratingTimeMs: number;
  /** The whole answer is due within this time; absent for work that may wait. */
  readonly deadlineMs?: number;
  /** False for work that may run once only, and for sessions, which keep their version. */
  readonly mayCascade: boolean;
  /** Whether another model may be tried alone; not for work of high value or that runs once only. */
  readonly mayExplore: boolean;
  readonly explorationShare: number;
  /** A number in 0..1 from the caller's generator. */
  readonly draw: number;
}

/** The chosen chain, with its expectations for the log. */
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

/** Share of a score's deviation from the mean that is the answer's own, not the rating's. */
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

/** Estimates the quality of the answers whose rating reaches a threshold. */
export const estimateAccepted = (cell: CellEstimate, threshold: number) => {
  const from = Math.round(threshold * RATING_BINS);
  const share = Math.min(1, countBins(cell.bins, from));
  const lift = computeBinMean(cell.bins, from) - computeBinMean(cell.bins, 0);
  const quality = Math.min(1, cell.quality.mean + RATING_RELIABILITY * lift);
  return { share, quality };
};

const createCascade = (
  question: ChainInput,
  cheap: ChainCandidate,
  strong: ChainCandidate,
  threshold: number,
): Chain => {
  const accepted = estimateAccepted(cheap.first, threshold);
  const escalatedShare = 1 - accepted.share;
  const { escalated } = strong;
  const ratedTimeMs = cheap.first.timeMs.mean + question.ratingTimeMs;
  const cheapError = accepted.share * cheap.first.quality.error;
  const strongError = escalatedShare * escalated.quality.error;
  return {
    steps: [
      { model: cheap.model, version: cheap.version, threshold },
      { model: strong.model, version: strong.version },
    ],
    quality: accepted.share * accepted.quality + escalatedShare * escalated.quality.mean,
    qualityError: Math.hypot(cheapError, strongError),
    cost: cheap.first.cost + question.ratingCost + escalatedShare * escalated.cost,
    timeMs: ratedTimeMs + escalatedShare * escalated.timeMs.mean,
    p95TimeMs: cheap.first.p95TimeMs + question.ratingTimeMs + escalated.p95TimeMs,
  };
};

const listCascades = (question: ChainInput): readonly Chain[] => {
  if (!question.mayCascade) return [];
  const { candidates } = question;
  return candidates.flatMap((cheap) =>
    candidates
      .filter((strong) => strong.first.cost > cheap.first.cost)
      .flatMap((strong) =>
        THRESHOLDS.map((threshold) => createCascade(question, cheap, strong, threshold)),
      ),
  );
};

const isWithinDeadline = (question: ChainInput, chain: Chain): boolean =>
  question.deadlineMs === undefined || chain.p95TimeMs <= question.deadlineMs;

const computeWeightedCost = (question: ChainInput, chain: Chain): number =>
  chain.cost + (question.latencyWeight * chain.timeMs) / SECOND_MS;

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

/** Computes the chance that a normal variable is above a limit, by a logistic approximation. */
const computeProbabilityAbove = (mean: number, error: number, limit: number): number =>
  1 / (1 + Math.exp((-1.702 * (mean - limit)) / Math.max(1e-6, error)));

const resolveThreshold = (target: number): number =>
  Math.min(1, Math.ceil(target * RATING_BINS - 1e-9) / RATING_BINS);

// Where a second run may follow, the tried model's answer is rated first, so that trying costs
// money and not quality. Elsewhere it runs alone, unless the work is of high value.
const createExploration = (
  question: ChainInput,
  cheap: ChainCandidate,
  best: Chain,
): Chain | undefined => {
  const last = best.steps.at(-1)!;
  const strong = question.candidates.find((candidate) => candidate.model === last.model);
  if (question.mayCascade && strong && strong.model !== cheap.model) {
    const pair = createCascade(question, cheap, strong, resolveThreshold(question.qualityTarget));
    if (isWithinDeadline(question, pair)) return pair;
  }
  return question.mayExplore ? createSingleRun(cheap) : undefined;
};

const MIN_PROBABILITY = 0.02;

// What a chain would save, weighed by the chance that it meets the target.
const computeExpectedSaving = (question: ChainInput, chain: Chain, bestCost: number): number => {
  const chance = computeProbabilityAbove(chain.quality, chain.qualityError, question.qualityTarget);
  const saving = bestCost - computeWeightedCost(question, chain);
  return chance < MIN_PROBABILITY || !isWithinDeadline(question, chain) ? 0 : saving * chance;
};

const listCandidateChains = (
  question: ChainInput,
  cheap: ChainCandidate,
  best: Chain,
): readonly Chain[] => {
  const last = best.steps.at(-1)!;
  const strong = question.candidates.find((candidate) => candidate.model === last.model);
  const single = createSingleRun(cheap);
  if (!question.mayCascade || !strong || strong.model === cheap.model) return [single];
  return [
    single,
    ...THRESHOLDS.map((threshold) => createCascade(question, cheap, strong, threshold)),
  ];
};

// The model whose use, alone or first in a chain, is likely to save most is tried.
const chooseExploration = (question: ChainInput, best: Chain): Chain | undefined => {
  const bestCost = computeWeightedCost(question, best);
  const trials = question.candidates.flatMap((candidate) => {
    const isInUse = best.steps.some((step) => step.model === candidate.model);
    const trial = isInUse ? undefined : createExploration(question, candidate, best);
    if (!trial || !isWithinDeadline(question, trial)) return [];
    const upsides = listCandidateChains(question, candidate, best).map((chain) =>
      computeExpectedSaving(question, chain, bestCost),
    );
    return [{ trial, value: Math.max(...upsides) }];
  });
  const promising = trials.filter((item) => item.value > 0);
  if (promising.length === 0) return undefined;
  return promising.reduce((first, second) => (second.value > first.value ? second : first)).trial;
};

const chooseBest = (question: ChainInput): ChainPlan | undefined => {
  const z = computeNormalQuantile(question.confidence);
  const singles = question.candidates.map(createSingleRun);
  const timely = [...singles, ...listCascades(question)].filter((chain) =>
    isWithinDeadline(question, chain),
  );
  const sure = timely.filter(
    (chain) => chain.quality - z * chain.qualityError >= question.qualityTarget,
  );
  const cheapest = chooseLowest(sure, (chain) => computeWeightedCost(question, chain));
  if (cheapest) return createPlan(cheapest, 'cheapest at the target');
  const fallback = timely.length > 0 ? timely : singles;
  const best = chooseLowest(fallback, (chain) => -chain.quality);
  return best && createPlan(best, 'best available');
};

/**
 * Chooses the cheapest chain that meets the quality target with the wanted confidence and keeps the
 * deadline; a bounded share of the requests tries a cheaper model that may turn out good enough.
 */
export const chooseChain = (question: ChainInput): ChainPlan | undefined => {
  const plan = chooseBest(question);
  const mayTry = question.mayExplore || question.mayCascade;
  if (!plan || !mayTry || question.draw >= question.explorationShare) return plan;
  const best: Chain = { ...plan, p95TimeMs: plan.timeMs };
  const exploration = chooseExploration(question, best);
  return exploration ? createPlan(exploration, 'exploration') : plan;
};
