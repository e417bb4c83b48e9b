import type { PromptBlock } from '../../src/node/gateway';
import type { Draws } from './draws';
import type { Pattern, PatternTask } from './pattern';

/** A caller's request with what only the emulator knows of it. */
export interface EmulatedRequest {
  readonly id: string;
  readonly task: PatternTask;
  readonly organisation: string;
  readonly gateway: number;
  readonly arrivedAt: number;
  readonly parts: readonly PromptBlock[];
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Models of a higher quality answer it well. */
  readonly hardness: number;
  /** A smaller model's opinion of its own answer, 0 to 100: a rough one. */
  readonly confidence: number;
  /** Benefit of a good answer in time. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** Smallest part of the mean worth, and the largest multiple of it, that an answer's size gives. */
const LEAST_WORTH_PART = 0.3;
const LARGEST_WORTH = 4;
/** An answer's token counts for this many of the prompt's. */
const ANSWER_TOKEN_WEIGHT = 10;
/** Spread of a model's opinion of its answer. */
const CONFIDENCE_SPREAD = 15;
/** Longest beginnings and own parts, as multiples of the mean; the sheets' longest are about as long. */
const LONGEST_BEGINNING = 3;
const LONGEST_OWN = 12;
/** Exponent with which beginnings differ in how often they are asked for. */
const BEGINNING_SKEW = 0.3;

/** Gives requests of a pattern in turn. */
export interface RequestSource {
  readonly generate: (task: PatternTask, now: number) => EmulatedRequest;
}

interface Beginning {
  readonly id: string;
  readonly tokens: number;
}

const sampleTokens = (draws: Draws, mean: number, spread: number, longest: number): number =>
  Math.max(16, Math.round(mean * Math.min(longest, draws.sampleLogNormal(spread))));

const generateBeginnings = (draws: Draws, task: PatternTask): readonly Beginning[] =>
  Array.from({ length: task.beginnings }, (_item, index) => ({
    id: `${task.name}-${index}`,
    tokens: sampleTokens(draws, task.sharedTokens, task.sharedSpread, LONGEST_BEGINNING),
  }));

const computeWorth = (task: PatternTask, size: number, worth: number): number => {
  const mean = task.sharedTokens + task.ownTokens + ANSWER_TOKEN_WEIGHT * task.answerTokens;
  const part = LEAST_WORTH_PART + (1 - LEAST_WORTH_PART) * (size / mean);
  return worth * Math.min(LARGEST_WORTH, part);
};

const sampleConfidence = (draws: Draws, hardness: number): number =>
  Math.max(0, Math.min(100, 100 * (1 - hardness) + CONFIDENCE_SPREAD * draws.sampleNormal()));

/** Creates a source; the same seed gives the same requests. */
export const createRequestSource = (pattern: Pattern, draws: Draws): RequestSource => {
  const beginnings = new Map(
    pattern.tasks.map((task) => [task.name, generateBeginnings(draws, task)] as const),
  );
  let count = 0;

  const sampleOrganisation = (): string => {
    const hot = pattern.hotOrganisation ?? 1;
    const index = draws.sampleIndex(pattern.organisations - 1 + Math.round(hot));
    return `o-${Math.max(0, index - Math.round(hot) + 1)}`;
  };

  return {
    generate: (task, now) => {
      count += 1;
      const list = beginnings.get(task.name)!;
      const index = Math.floor(list.length * draws.sampleUnit() ** (1 / (1 - BEGINNING_SKEW)));
      const beginning = list[Math.min(list.length - 1, index)]!;
      const own = sampleTokens(draws, task.ownTokens, task.ownSpread, LONGEST_OWN);
      const drawn = Math.round(task.answerTokens * draws.sampleLogNormal(task.answerSpread));
      const answerTokens = Math.max(2, Math.min(4 * task.answerTokens, drawn));
      const hardness = draws.sampleUnit();
      const promptTokens = beginning.tokens + own;
      const size = promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
      return {
        id: `${task.name}-r-${count}`,
        task,
        organisation: sampleOrganisation(),
        gateway: draws.sampleIndex(pattern.gateways),
        arrivedAt: now,
        parts: [beginning, { id: `${task.name}-own-${count}`, tokens: own }],
        promptTokens,
        answerTokens,
        hardness,
        confidence: sampleConfidence(draws, hardness),
        worth: computeWorth(task, size, task.worth),
        lateWorth: computeWorth(task, size, task.lateWorth),
      };
    },
  };
};
