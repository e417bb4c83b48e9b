import type { PromptBlock } from '../../src/node/gateway';
import type { RandomSource } from './randomSource';
import type { Pattern, PatternTask } from './pattern';

/** A caller's request, with properties that only the emulator knows. */
export interface EmulatedRequest {
  readonly id: string;
  readonly task: PatternTask;
  readonly organisation: string;
  readonly gateway: number;
  readonly arrivedAt: number;
  readonly promptBlocks: readonly PromptBlock[];
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Models with a quality above this value answer it well. */
  readonly difficulty: number;
  /** A smaller model's confidence in its own answer, from 0 to 100. It is a noisy estimate. */
  readonly confidence: number;
  /** Benefit of a good answer in time. */
  readonly benefit: number;
  readonly lateBenefit: number;
}

/** Bounds of the factor by which the size of a request scales the mean benefit of its task. */
const MIN_BENEFIT_FACTOR = 0.3;
const MAX_BENEFIT_FACTOR = 4;
/** Weight of an answer token in the size of a request; a prompt token has a weight of 1. */
const ANSWER_TOKEN_WEIGHT = 10;
/** Standard deviation of a model's confidence in its answer. */
const CONFIDENCE_SPREAD = 15;
/**
 * Longest shared prefix and own part as multiples of the mean, close to those of the data sheets.
 */
const MAX_PREFIX_FACTOR = 3;
const MAX_OWN_FACTOR = 12;
/** Skew of the popularity of shared prefixes; at 0 all are equally frequent. */
const PREFIX_POPULARITY_SKEW = 0.3;

/** Generates the requests of a pattern in order. */
export interface RequestSource {
  readonly generate: (task: PatternTask, now: number) => EmulatedRequest;
}

interface SharedPrefix {
  readonly id: string;
  readonly tokens: number;
}

const sampleTokens = (draws: RandomSource, mean: number, spread: number, longest: number): number =>
  Math.max(16, Math.round(mean * Math.min(longest, draws.sampleLogNormal(spread))));

const generateSharedPrefixes = (draws: RandomSource, task: PatternTask): readonly SharedPrefix[] =>
  Array.from({ length: task.beginnings }, (_item, index) => ({
    id: `${task.name}-${index}`,
    tokens: sampleTokens(draws, task.sharedTokens, task.sharedSpread, MAX_PREFIX_FACTOR),
  }));

const computeRequestBenefit = (task: PatternTask, size: number, meanBenefit: number): number => {
  const mean = task.sharedTokens + task.ownTokens + ANSWER_TOKEN_WEIGHT * task.answerTokens;
  const factor = MIN_BENEFIT_FACTOR + (1 - MIN_BENEFIT_FACTOR) * (size / mean);
  return meanBenefit * Math.min(MAX_BENEFIT_FACTOR, factor);
};

const sampleConfidence = (draws: RandomSource, difficulty: number): number =>
  Math.max(0, Math.min(100, 100 * (1 - difficulty) + CONFIDENCE_SPREAD * draws.sampleNormal()));

/** Creates a request source. The same seed produces the same requests. */
export const createRequestSource = (pattern: Pattern, draws: RandomSource): RequestSource => {
  const sharedPrefixes = new Map(
    pattern.tasks.map((task) => [task.name, generateSharedPrefixes(draws, task)] as const),
  );
  let count = 0;

  const sampleOrganisation = (now: number): string => {
    const isHot = now >= 1_000 * (pattern.hotFrom ?? 0);
    const hot = isHot ? (pattern.hotOrganisation ?? 1) : 1;
    const index = draws.sampleIndex(pattern.organisations - 1 + Math.round(hot));
    return `o-${Math.max(0, index - Math.round(hot) + 1)}`;
  };

  return {
    generate: (task, now) => {
      count += 1;
      const list = sharedPrefixes.get(task.name)!;
      const index = Math.floor(
        list.length * draws.sampleUnit() ** (1 / (1 - PREFIX_POPULARITY_SKEW)),
      );
      const prefix = list[Math.min(list.length - 1, index)]!;
      const own = sampleTokens(draws, task.ownTokens, task.ownSpread, MAX_OWN_FACTOR);
      const drawn = Math.round(task.answerTokens * draws.sampleLogNormal(task.answerSpread));
      const answerTokens = Math.max(2, Math.min(4 * task.answerTokens, drawn));
      const difficulty = draws.sampleUnit();
      const promptTokens = prefix.tokens + own;
      const size = promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
      return {
        id: `${task.name}-r-${count}`,
        task,
        organisation: sampleOrganisation(now),
        gateway: draws.sampleIndex(pattern.gateways),
        arrivedAt: now,
        promptBlocks: [prefix, { id: `${task.name}-own-${count}`, tokens: own }],
        promptTokens,
        answerTokens,
        difficulty,
        confidence: sampleConfidence(draws, difficulty),
        benefit: computeRequestBenefit(task, size, task.worth),
        lateBenefit: computeRequestBenefit(task, size, task.lateWorth),
      };
    },
  };
};
