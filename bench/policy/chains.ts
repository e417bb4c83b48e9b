import type { ChainStep } from '../../src/node/decisions';
import { createRandomSource, type RandomSource } from './randomSource';
import {
  readTrueMean,
  sampleCost,
  sampleDifficulty,
  sampleQuality,
  sampleRating,
  sampleTime,
  type World,
  type WorldModel,
  type WorldOrganisation,
  type WorldTask,
} from './worlds';

/** Cost units of one rating. */
export const RATING_COST = 0.02;
/** Duration of one rating in milliseconds. */
export const RATING_TIME_MS = 150;

/** The result of one run of a chain. */
export interface RunResult {
  readonly model: string;
  readonly isEscalated: boolean;
  readonly cost: number;
  readonly timeMs: number;
  readonly quality: number;
  /** Present when the chain itself requested a rating. */
  readonly rating?: number;
}

/** The result of a whole chain. */
export interface ChainResult {
  readonly runs: readonly RunResult[];
  readonly quality: number;
  readonly cost: number;
  readonly timeMs: number;
}

/** Finds a model of a world. */
export const findModel = (world: World, name: string): WorldModel =>
  world.models.find((model) => model.name === name)!;

/** Runs a chain on one request of the world. */
export const runChain = (
  draws: RandomSource,
  world: World,
  organisation: WorldOrganisation,
  task: WorldTask,
  steps: readonly ChainStep[],
  qualityFactor: (model: string) => number = () => 1,
): ChainResult => {
  const difficulty = sampleDifficulty(draws);
  const runs: RunResult[] = [];
  let cost = 0;
  let timeMs = 0;
  for (const [index, step] of steps.entries()) {
    const model = findModel(world, step.model);
    const mean = readTrueMean(task, organisation, step.model) * qualityFactor(step.model);
    const run = {
      model: step.model,
      isEscalated: index > 0,
      cost: sampleCost(draws, task, model),
      timeMs: sampleTime(draws, task, model),
      quality: sampleQuality(draws, mean, difficulty),
    };
    cost += run.cost;
    timeMs += run.timeMs;
    if (step.threshold === undefined) {
      runs.push(run);
      break;
    }
    const rating = sampleRating(draws, run.quality);
    runs.push({ ...run, rating });
    cost += RATING_COST;
    timeMs += RATING_TIME_MS;
    if (rating >= step.threshold) break;
  }
  return { runs, quality: runs.at(-1)!.quality, cost, timeMs };
};

const ORACLE_SAMPLES = 3_000;
const THRESHOLDS = [0.4, 0.5, 0.6, 0.7, 0.8, 0.9];

/** Lists every chain that a request may use. */
export const listChains = (
  world: World,
  organisation: WorldOrganisation,
  mayCascade: boolean,
): readonly (readonly ChainStep[])[] => {
  const version = 'v1';
  const names = world.models.map((model) => model.name);
  const allowed = names.filter((name) => organisation.models.includes(name));
  const singles = allowed.map((model) => [{ model, version }]);
  if (!mayCascade) return singles;
  const pairs = allowed.flatMap((cheap, index) =>
    allowed.slice(index + 1).flatMap((strong) =>
      THRESHOLDS.map((threshold) => [
        { model: cheap, version, threshold },
        { model: strong, version },
      ]),
    ),
  );
  return [...singles, ...pairs];
};

/**
 * Chooses the cheapest chain that meets the target. Knows the true qualities and needs no ratings.
 */
export const chooseOracleChain = (
  world: World,
  organisation: WorldOrganisation,
  task: WorldTask,
  mayCascade: boolean,
): readonly ChainStep[] => {
  const scored = listChains(world, organisation, mayCascade).map((steps) => {
    const draws = createRandomSource(99);
    let cost = 0;
    let quality = 0;
    let late = 0;
    for (let index = 0; index < ORACLE_SAMPLES; index += 1) {
      const result = runChain(draws, world, organisation, task, steps);
      cost += result.cost / ORACLE_SAMPLES;
      quality += result.quality / ORACLE_SAMPLES;
      if (result.timeMs > (task.deadlineMs ?? Infinity)) late += 1 / ORACLE_SAMPLES;
    }
    return { steps, cost, quality, late };
  });
  const timely = scored.filter((item) => item.late <= 0.05);
  const good = timely.filter((item) => item.quality >= task.target);
  if (good.length > 0) return good.reduce((a, b) => (b.cost < a.cost ? b : a)).steps;
  return (timely.length > 0 ? timely : scored).reduce((a, b) => (b.quality > a.quality ? b : a))
    .steps;
};
