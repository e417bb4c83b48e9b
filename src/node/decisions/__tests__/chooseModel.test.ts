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
  readonly hasRoomForLarger?: boolean;
  readonly models?: readonly string[];
  readonly chosen: string | undefined;
}[] = [
  {
    name: 'there is time for two runs',
    times: { small: 100, middle: 250, large: 1_000 },
    chosen: 'small',
  },
  {
    name: 'a long prompt leaves time for one run',
    times: { small: 250, middle: 600, large: 1_500 },
    chosen: 'large',
  },
  {
    name: 'the prefill of the largest model takes too long',
    times: { small: 400, middle: 1_000, large: 3_900 },
    chosen: 'small',
  },
  {
    name: 'a long prompt behind a queue',
    times: { small: 250, middle: 600, large: 1_500, queueMs: 400 },
    chosen: 'small',
  },
  {
    name: 'a least urgent request',
    times: { small: 250, middle: 600, large: 1_500 },
    rank: 2,
    chosen: 'small',
  },
  {
    name: 'only one model',
    times: { small: 9_000, middle: 0, large: 0 },
    models: ['small'],
    chosen: 'small',
  },
  {
    // Guards against first runs of large models that take the places of other requests.
    name: 'time for one run only, but no room for larger models',
    times: { small: 1_000, middle: 1_000, large: 1_500 },
    hasRoomForLarger: false,
    chosen: 'small',
  },
  {
    name: 'no model',
    times: { small: 0, middle: 0, large: 0 },
    models: [],
    chosen: undefined,
  },
];

for (const item of firstRuns) {
  const { name, times, rank = 0, models = MODELS, hasRoomForLarger = true, chosen } = item;
  test(`model choice for the first run: ${name}`, (t) => {
    const estimateFirstToken = createEstimate(times);
    const question = { models, timeLeftMs: 2_000, rank, hasRoomForLarger, estimateFirstToken };
    t.is(chooseFirstModel(question), chosen);
  });
}

const LOW_CONFIDENCE = {
  models: MODELS,
  model: 'small',
  confidence: 30,
  attemptsLeft: 2,
  hasBudget: true,
  timeLeftMs: 2_000,
  estimateFirstToken: createEstimate({ small: 50, middle: 150, large: 400 }),
  rank: 0,
  hasRoomForLarger: true,
};

const secondRuns: readonly {
  readonly name: string;
  readonly change: Partial<typeof LOW_CONFIDENCE> | { readonly confidence: undefined };
  readonly second: string | undefined;
}[] = [
  { name: 'low confidence', change: {}, second: 'large' },
  { name: 'high confidence', change: { confidence: 90 }, second: undefined },
  { name: 'no reported confidence', change: { confidence: undefined }, second: undefined },
  { name: 'the answer is from the largest model', change: { model: 'large' }, second: undefined },
  { name: 'no attempts left', change: { attemptsLeft: 0 }, second: undefined },
  { name: 'no retry budget', change: { hasBudget: false }, second: undefined },
  {
    name: 'the largest model would be late, the medium one on time',
    change: { estimateFirstToken: createEstimate({ small: 300, middle: 700, large: 1_900 }) },
    second: 'middle',
  },
  {
    name: 'all second runs would be late',
    change: { estimateFirstToken: createEstimate({ small: 900, middle: 1_800, large: 5_000 }) },
    second: undefined,
  },
  {
    // Guards against second runs that make other requests late.
    name: 'no room for larger models',
    change: { hasRoomForLarger: false },
    second: undefined,
  },
  {
    name: 'a least urgent request while the largest model has a queue',
    change: {
      rank: 2,
      estimateFirstToken: createEstimate({ small: 50, middle: 150, large: 400, queueMs: 400 }),
    },
    second: undefined,
  },
  {
    name: 'a least urgent request without a queue',
    change: {
      rank: 2,
      estimateFirstToken: createEstimate({ small: 20, middle: 40, large: 100 }),
    },
    second: 'large',
  },
];

for (const { name, change, second } of secondRuns) {
  test(`model choice for the second run: ${name}`, (t) => {
    t.is(chooseSecondModel({ ...LOW_CONFIDENCE, ...change }), second);
  });
}
