import test from 'ava';
import { chooseFirstModel, chooseSecondModel } from '..';

interface ModelTimes {
  readonly small: number;
  readonly middle: number;
  readonly large: number;
  readonly queueMs?: number;
}

const createEstimate =
  ({ queueMs = 0, ...times }: ModelTimes) =>
  (model: string) =>
    queueMs + (times as Readonly<Record<string, number>>)[model]!;

const MODELS = ['small', 'middle', 'large'];

const firstRuns: readonly {
  readonly name: string;
  readonly times: ModelTimes;
  readonly rank?: number;
  readonly models?: readonly string[];
  readonly chosen: string | undefined;
}[] = [
  {
    name: 'there is time for two',
    times: { small: 100, middle: 250, large: 1_000 },
    chosen: 'small',
  },
  {
    name: 'a long prompt leaves time for one',
    times: { small: 250, middle: 600, large: 1_500 },
    chosen: 'large',
  },
  {
    name: 'a prompt that the largest reads too slowly',
    times: { small: 400, middle: 1_000, large: 3_900 },
    chosen: 'small',
  },
  {
    name: 'a long prompt before a queue',
    times: { small: 250, middle: 600, large: 1_500, queueMs: 400 },
    chosen: 'small',
  },
  {
    name: 'the least urgent',
    times: { small: 250, middle: 600, large: 1_500 },
    rank: 2,
    chosen: 'small',
  },
  {
    name: 'one model',
    times: { small: 9_000, middle: 0, large: 0 },
    models: ['small'],
    chosen: 'small',
  },
  {
    name: 'no model to choose',
    times: { small: 0, middle: 0, large: 0 },
    models: [],
    chosen: undefined,
  },
];

for (const { name, times, rank = 0, models = MODELS, chosen } of firstRuns) {
  test(`model of the first run: ${name}`, (t) => {
    const question = { models, timeLeftMs: 2_000, rank, estimateFirstToken: createEstimate(times) };
    t.is(chooseFirstModel(question), chosen);
  });
}

const DOUBTFUL = {
  models: MODELS,
  model: 'small',
  confidence: 30,
  attemptsLeft: 2,
  hasBudget: true,
  timeLeftMs: 2_000,
  estimateFirstToken: createEstimate({ small: 50, middle: 150, large: 400 }),
  rank: 0,
};

const answers: readonly {
  readonly name: string;
  readonly change: Partial<typeof DOUBTFUL> | { readonly confidence: undefined };
  readonly second: string | undefined;
}[] = [
  { name: 'a doubtful answer', change: {}, second: 'large' },
  { name: 'a confident one', change: { confidence: 90 }, second: undefined },
  { name: 'one without an opinion', change: { confidence: undefined }, second: undefined },
  { name: 'the largest model', change: { model: 'large' }, second: undefined },
  { name: 'no attempt left', change: { attemptsLeft: 0 }, second: undefined },
  { name: 'no budget', change: { hasBudget: false }, second: undefined },
  {
    name: 'the largest would be late, the next one not',
    change: { estimateFirstToken: createEstimate({ small: 300, middle: 700, large: 1_900 }) },
    second: 'middle',
  },
  {
    name: 'every second run would be late',
    change: { estimateFirstToken: createEstimate({ small: 900, middle: 1_800, large: 5_000 }) },
    second: undefined,
  },
  {
    name: 'the least urgent while the largest model has a queue',
    change: {
      rank: 2,
      estimateFirstToken: createEstimate({ small: 50, middle: 150, large: 400, queueMs: 400 }),
    },
    second: undefined,
  },
  {
    name: 'the least urgent without a queue',
    change: {
      rank: 2,
      estimateFirstToken: createEstimate({ small: 20, middle: 40, large: 100 }),
    },
    second: 'large',
  },
];

for (const { name, change, second } of answers) {
  test(`model instead of a doubtful answer's: ${name}`, (t) => {
    t.is(chooseSecondModel({ ...DOUBTFUL, ...change }), second);
  });
}

// Endpoints fail at once: whatever a gateway has sent, all of them stay below the stated share.
