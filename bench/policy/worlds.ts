import type { WorkClass } from '../../src/node/decisions';
import { computeClamped, createRandomSource, type RandomSource } from './randomSource';

/** A model of a site, with its actual properties and the quality that its operators state. */
export interface WorldModel {
  readonly name: string;
  readonly costPerThousand: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  /**
   * Quality stated by the operators before any measurement. Differs from the true quality on
   * purpose.
   */
  readonly priorQuality: number;
}

/** A kind of request. */
export interface WorldTask {
  readonly name: string;
  readonly class: WorkClass;
  readonly isIdempotent: boolean;
  readonly isHighValue: boolean;
  readonly target: number;
  readonly deadlineMs?: number;
  /** Share of the requests. */
  readonly share: number;
  readonly tokens: number;
  /** True mean quality per model, before the organisation's shift. */
  readonly quality: Readonly<Record<string, number>>;
}

/** An organisation: its share of the traffic, its allowed models, and the shift of its quality. */
export interface WorldOrganisation {
  readonly name: string;
  readonly share: number;
  readonly weight: number;
  readonly models: readonly string[];
  readonly shift: number;
}

/** A site with its request mix. */
export interface World {
  readonly name: string;
  readonly zones: readonly string[];
  readonly endpoints: number;
  readonly requestsPerDay: number;
  readonly models: readonly WorldModel[];
  readonly tasks: readonly WorldTask[];
  readonly organisations: readonly WorldOrganisation[];
  /** Share of the requests that belong to a session. A session keeps its version. */
  readonly sessionShare: number;
}

const MODELS: readonly WorldModel[] = [
  { name: 'small', costPerThousand: 1, firstTokenMs: 40, tokenMs: 6, priorQuality: 0.7 },
  { name: 'medium', costPerThousand: 4, firstTokenMs: 80, tokenMs: 12, priorQuality: 0.8 },
  { name: 'large', costPerThousand: 15, firstTokenMs: 160, tokenMs: 24, priorQuality: 0.9 },
];

const ORGANISATIONS = 10;
const LARGE_ORGANISATIONS = 3;

const createOrganisations = (seed: number): readonly WorldOrganisation[] => {
  const draws = createRandomSource(seed);
  const sizes = Array.from({ length: ORGANISATIONS }, (_unused, index) =>
    index < LARGE_ORGANISATIONS ? 6 : 1,
  );
  const total = sizes.reduce((sum, size) => sum + size, 0);
  return sizes.map((size, index) => ({
    name: `org-${index + 1}`,
    share: size / total,
    weight: index < LARGE_ORGANISATIONS ? 2 : 1,
    // Every fourth organisation may not use the medium model.
    models: index % 4 === 3 ? ['small', 'large'] : ['small', 'medium', 'large'],
    shift: draws.normal(0, 0.02),
  }));
};

const createTask = (
  name: string,
  workClass: WorkClass,
  target: number,
  share: number,
  tokens: number,
  quality: readonly [number, number, number],
  rest: Partial<WorldTask> = {},
): WorldTask => ({
  name,
  class: workClass,
  target,
  share,
  tokens,
  quality: { small: quality[0], medium: quality[1], large: quality[2] },
  isIdempotent: true,
  isHighValue: false,
  ...rest,
});

/**
 * A concrete supplier. Trucks wait for quotes, checklists may wait, and some orders must run only
 * once.
 */
export const CIMIENTOS: World = {
  name: 'Cimientos',
  zones: ['bajio-1', 'bajio-2', 'bajio-3'],
  endpoints: 8,
  requestsPerDay: 20_000,
  models: MODELS,
  sessionShare: 0.3,
  organisations: createOrganisations(11),
  tasks: [
    createTask('quote-summary', 'urgent', 0.8, 0.3, 220, [0.72, 0.86, 0.93], { deadlineMs: 8_000 }),
    createTask('site-checklist', 'deferrable', 0.7, 0.25, 300, [0.78, 0.86, 0.92]),
    createTask('counter-reply', 'urgent', 0.65, 0.35, 90, [0.75, 0.85, 0.92], {
      deadlineMs: 4_000,
    }),
    createTask('slab-plan', 'normal', 0.88, 0.1, 700, [0.55, 0.78, 0.94], { isHighValue: true }),
  ],
};

/** A coat rack maker. Contracts have the highest value; walk-in replies are the most frequent. */
export const KHUNTIWALA: World = {
  name: 'Khuntiwala',
  zones: ['ahmedabad', 'surat', 'vadodara', 'rajkot'],
  endpoints: 13,
  requestsPerDay: 30_000,
  models: MODELS,
  sessionShare: 0.3,
  organisations: createOrganisations(23),
  tasks: [
    createTask('walk-in-reply', 'urgent', 0.65, 0.55, 90, [0.76, 0.85, 0.92], {
      deadlineMs: 4_000,
    }),
    createTask('stock-lookup', 'urgent', 0.75, 0.15, 60, [0.69, 0.86, 0.93], { deadlineMs: 3_000 }),
    createTask('ledger-summary', 'deferrable', 0.8, 0.2, 400, [0.7, 0.87, 0.93]),
    createTask('contract', 'deferrable', 0.88, 0.1, 900, [0.5, 0.8, 0.94], { isHighValue: true }),
  ],
};

/** Both sites. */
export const WORLDS: readonly World[] = [CIMIENTOS, KHUNTIWALA];

/** The part of the quality of a request that is common to the answers of all models. */
export interface Difficulty {
  readonly shared: number;
}

const SHARED_DEVIATION = 0.1;
const OWN_DEVIATION = 0.06;
const RATING_DEVIATION = 0.06;
/** Share of ratings that are unrelated to the quality of the answer. */
const WRONG_SHARE = 0.03;

/** Samples the difficulty of a request, as a shift of the quality of all answers. */
export const sampleDifficulty = (draws: RandomSource): number => draws.normal(0, SHARED_DEVIATION);

/** Samples the true quality of one answer. */
export const sampleQuality = (draws: RandomSource, mean: number, difficulty: number): number =>
  computeClamped(mean + difficulty + draws.normal(0, OWN_DEVIATION));

/** Samples the rating of an answer. */
export const sampleRating = (draws: RandomSource, quality: number): number =>
  draws.uniform() < WRONG_SHARE
    ? draws.uniform()
    : computeClamped(quality + draws.normal(0, RATING_DEVIATION));

/** Returns the true mean quality of a model for a task of an organisation. */
export const readTrueMean = (
  task: WorldTask,
  organisation: WorldOrganisation,
  model: string,
): number => task.quality[model]! + organisation.shift;

/** Samples the cost of one answer. */
export const sampleCost = (draws: RandomSource, task: WorldTask, model: WorldModel): number =>
  (model.costPerThousand * task.tokens * (0.5 + draws.uniform())) / 1_000;

/** Samples the time of one answer in milliseconds on an unloaded endpoint. */
export const sampleTime = (draws: RandomSource, task: WorldTask, model: WorldModel): number =>
  (model.firstTokenMs + task.tokens * model.tokenMs * (0.5 + draws.uniform())) *
  (0.9 + 0.2 * draws.uniform());

/** Samples an item with a probability equal to its share. */
export const sampleByShare = <T extends { readonly share: number }>(
  draws: RandomSource,
  items: readonly T[],
): T => {
  let left = draws.uniform();
  for (const item of items) {
    left -= item.share;
    if (left < 0) return item;
  }
  return items.at(-1)!;
};
