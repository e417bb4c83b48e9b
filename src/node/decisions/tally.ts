/** Number of bins of the rating histogram; scores are in 0..1. */
export const RATING_BINS = 10;

/**
 * Counts and sums of one cell (organisation, task, model, version). Times are stored as sums of the
 * natural logarithm of milliseconds, so that a few slow answers do not dominate.
 */
export interface Tally {
  readonly requests: number;
  readonly errors: number;
  readonly costs: number;
  readonly costSum: number;
  readonly times: number;
  readonly logTimeSum: number;
  readonly logTimeSquares: number;
  readonly scores: number;
  readonly scoreSum: number;
  readonly scoreSquares: number;
  /** Number of ratings per score bin. */
  readonly bins: readonly number[];
}

/** Count, sum and sum of squares of one signal. */
export interface Moments {
  readonly count: number;
  readonly sum: number;
  readonly squares: number;
}

/** One observation about a request. */
export type Observation =
  | { readonly type: 'answered'; readonly cost: number; readonly timeMs: number }
  | { readonly type: 'failed' }
  | { readonly type: 'rated'; readonly score: number };

const EMPTY_BINS: readonly number[] = Array.from({ length: RATING_BINS }, () => 0);

/** The tally of a cell without observations. */
export const EMPTY_TALLY: Tally = {
  requests: 0,
  errors: 0,
  costs: 0,
  costSum: 0,
  times: 0,
  logTimeSum: 0,
  logTimeSquares: 0,
  scores: 0,
  scoreSum: 0,
  scoreSquares: 0,
  bins: EMPTY_BINS,
};

/** Computes the bin of a score in 0..1. */
export const computeBin = (score: number): number =>
  Math.min(RATING_BINS - 1, Math.max(0, Math.floor(score * RATING_BINS)));

const MIN_TIME_MS = 0.1;

type Handlers = {
  readonly [T in Observation['type']]: (
    tally: Tally,
    observation: Extract<Observation, { readonly type: T }>,
  ) => Tally;
};

const handlers: Handlers = {
  answered: (tally, { cost, timeMs }) => {
    const logTime = Math.log(Math.max(MIN_TIME_MS, timeMs));
    return {
      ...tally,
      requests: tally.requests + 1,
      costs: tally.costs + 1,
      costSum: tally.costSum + cost,
      times: tally.times + 1,
      logTimeSum: tally.logTimeSum + logTime,
      logTimeSquares: tally.logTimeSquares + logTime * logTime,
    };
  },
  failed: (tally) => ({ ...tally, requests: tally.requests + 1, errors: tally.errors + 1 }),
  rated: (tally, { score }) => {
    const bin = computeBin(score);
    return {
      ...tally,
      scores: tally.scores + 1,
      scoreSum: tally.scoreSum + score,
      scoreSquares: tally.scoreSquares + score * score,
      bins: tally.bins.map((count, index) => (index === bin ? count + 1 : count)),
    };
  },
};

/** Adds one observation to a tally. */
export const addObservation = (tally: Tally, observation: Observation): Tally => {
  const handle = handlers[observation.type] as (t: Tally, o: Observation) => Tally;
  return handle(tally, observation);
};

const mergeScaled = (a: Tally, b: Tally, weight: number): Tally => ({
  requests: a.requests + b.requests * weight,
  errors: a.errors + b.errors * weight,
  costs: a.costs + b.costs * weight,
  costSum: a.costSum + b.costSum * weight,
  times: a.times + b.times * weight,
  logTimeSum: a.logTimeSum + b.logTimeSum * weight,
  logTimeSquares: a.logTimeSquares + b.logTimeSquares * weight,
  scores: a.scores + b.scores * weight,
  scoreSum: a.scoreSum + b.scoreSum * weight,
  scoreSquares: a.scoreSquares + b.scoreSquares * weight,
  bins: a.bins.map((count, index) => count + (b.bins[index] ?? 0) * weight),
});

/** Adds two tallies of different observations. */
export const mergeTallies = (a: Tally, b: Tally): Tally => mergeScaled(a, b, 1);

/** Subtracts tally `b` from tally `a`, which includes the observations of `b`. */
export const removeTally = (a: Tally, b: Tally): Tally => mergeScaled(a, b, -1);

/** Multiplies all counts and sums by a weight. */
export const computeScaledTally = (tally: Tally, weight: number): Tally =>
  mergeScaled(EMPTY_TALLY, tally, weight);

/** Computes the weight of an observation after an elapsed time, with exponential decay. */
export const computeDecay = (elapsedMs: number, halfLifeMs: number): number =>
  0.5 ** (Math.max(0, elapsedMs) / halfLifeMs);

/** Returns the moments of the ratings. */
export const readScores = (tally: Tally): Moments => ({
  count: tally.scores,
  sum: tally.scoreSum,
  squares: tally.scoreSquares,
});

/** Returns the moments of the failures; a request counts as 0 or 1. */
export const readErrors = (tally: Tally): Moments => ({
  count: tally.requests,
  sum: tally.errors,
  squares: tally.errors,
});

/** Returns the moments of the logarithm of the time. */
export const readLogTimes = (tally: Tally): Moments => ({
  count: tally.times,
  sum: tally.logTimeSum,
  squares: tally.logTimeSquares,
});

/** Adds the moments of different observations. */
export const mergeMoments = (a: Moments, b: Moments): Moments => ({
  count: a.count + b.count,
  sum: a.sum + b.sum,
  squares: a.squares + b.squares,
});
