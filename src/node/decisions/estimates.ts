import {
  addObservation,
  computeDecay,
  computeScaledTally,
  EMPTY_TALLY,
  mergeTallies,
  RATING_BINS,
  type Observation,
  type Tally,
} from './tally';

/** Key of a cell: the combination for which quality, cost and time are estimated. */
export interface CellName {
  readonly organisation: string;
  readonly task: string;
  readonly model: string;
  readonly version: string;
  /** True for the second run of a cascade, which gets harder requests than the first. */
  readonly isEscalated: boolean;
}

/** Operator-configured values that apply before anything is measured. */
export interface CellPrior {
  readonly quality: number;
  readonly timeMs: number;
  readonly cost: number;
}

/** A mean with its standard error. */
export interface Estimate {
  readonly mean: number;
  readonly error: number;
}

/** Estimates for a cell. */
export interface CellEstimate {
  readonly quality: Estimate;
  readonly cost: number;
  readonly timeMs: Estimate;
  /** 95th percentile of the answer time, in milliseconds. */
  readonly p95TimeMs: number;
  /** Share of the ratings per bin. */
  readonly bins: readonly number[];
  /** Ratings of this cell alone, after decay. */
  readonly ratings: number;
  /** Answers with a known cost, of all organisations, after decay. */
  readonly runs: number;
}

/** The tally of a cell at a time on the store's clock. */
export interface CellTally {
  readonly name: CellName;
  readonly at: number;
  readonly tally: Tally;
}

/** Estimates per cell, from the observations of this process and of other processes. */
export interface Estimates {
  readonly record: (name: CellName, observation: Observation, now: number) => void;
  /** Replaces the observations of the other processes for a cell. */
  readonly updateShared: (shared: CellTally) => void;
  readonly estimate: (name: CellName, prior: CellPrior, now: number) => CellEstimate;
  /**
   * Lists the cells changed since the last call, or all cells, with this process's own
   * observations.
   */
  readonly listChanged: (now: number, isAll?: boolean) => readonly CellTally[];
  /** Multiplies the weight of a version's past observations, after a change was detected. */
  readonly applyPastWeight: (model: string, version: string, weight: number, now: number) => void;
}

/** Options of `createEstimates`. */
export interface EstimatesOptions {
  /** Time in milliseconds after which the weight of an observation has halved. */
  readonly halfLifeMs: number;
}

const QUALITY_DEVIATION = 0.2;
const DEVIATION_SAMPLES = 8;
/** Weight of the operator-configured prior, in ratings. */
const PRIOR_SAMPLES = 6;
/** Weight of the mean over all organisations in one organisation's estimate, in ratings. */
const POOL_SAMPLES = 30;
const TIME_DEVIATION = 0.5;
const P95_DEVIATIONS = 1.64;

interface CellState {
  readonly name: CellName;
  own: Tally;
  ownAt: number;
  shared: Tally;
  sharedAt: number;
  isChanged: boolean;
}

/** Formats a cell's name as a key. */
export const formatCellName = (name: CellName): string =>
  [name.organisation, name.task, name.model, name.version, name.isEscalated ? '2' : '1'].join('|');

const ALL_ORGANISATIONS = '';

const estimateQuality = (cell: Tally, pool: Tally, prior: number): Estimate => {
  const poolCount = PRIOR_SAMPLES + pool.scores;
  const poolMean = (PRIOR_SAMPLES * prior + pool.scoreSum) / poolCount;
  const spread =
    pool.scores > 0 ? Math.max(0, pool.scoreSquares - pool.scoreSum ** 2 / pool.scores) : 0;
  const variance =
    (DEVIATION_SAMPLES * QUALITY_DEVIATION ** 2 + spread) / (DEVIATION_SAMPLES + pool.scores);
  const weight = 1 / (1 / POOL_SAMPLES + 1 / poolCount);
  const mean = (weight * poolMean + cell.scoreSum) / (weight + cell.scores);
  return { mean, error: Math.sqrt(variance / (weight + cell.scores)) };
};

const estimateTime = (cell: Tally, pool: Tally, prior: number) => {
  const priorLog = Math.log(Math.max(1, prior));
  const priorWeight = PRIOR_SAMPLES;
  const poolMean = (priorWeight * priorLog + pool.logTimeSum) / (priorWeight + pool.times);
  const mean = (POOL_SAMPLES * poolMean + cell.logTimeSum) / (POOL_SAMPLES + cell.times);
  const spread =
    pool.times > 0 ? Math.max(0, pool.logTimeSquares - pool.logTimeSum ** 2 / pool.times) : 0;
  const variance =
    (DEVIATION_SAMPLES * TIME_DEVIATION ** 2 + spread) / (DEVIATION_SAMPLES + pool.times);
  const deviation = Math.sqrt(variance);
  return {
    timeMs: {
      mean: Math.exp(mean + variance / 2),
      error: Math.exp(mean) * Math.sqrt(variance / (POOL_SAMPLES + cell.times)),
    },
    p95TimeMs: Math.exp(mean + P95_DEVIATIONS * deviation),
  };
};

const estimateCost = (cell: Tally, pool: Tally, prior: number): number => {
  const poolMean = (PRIOR_SAMPLES * prior + pool.costSum) / (PRIOR_SAMPLES + pool.costs);
  return (POOL_SAMPLES * poolMean + cell.costSum) / (POOL_SAMPLES + cell.costs);
};

// Without ratings the scores are assumed to follow a triangular distribution around the prior.
const computePriorBins = (quality: number): readonly number[] => {
  const weights = Array.from({ length: RATING_BINS }, (_unused, bin) => {
    const distance = Math.abs((bin + 0.5) / RATING_BINS - quality);
    return Math.max(0, 1 - distance / (2 * QUALITY_DEVIATION));
  });
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map((weight) => weight / total);
};

const estimateBins = (cell: Tally, pool: Tally, prior: number): readonly number[] => {
  const priorBins = computePriorBins(prior);
  const poolTotal = PRIOR_SAMPLES + pool.scores;
  return cell.bins.map((count, bin) => {
    const pooled = (PRIOR_SAMPLES * priorBins[bin]! + pool.bins[bin]!) / poolTotal;
    return (POOL_SAMPLES * pooled + count) / (POOL_SAMPLES + cell.scores);
  });
};

/** Estimates a cell from its own tally, the tally of all organisations and the configured prior. */
export const estimateCell = (cell: Tally, pool: Tally, prior: CellPrior): CellEstimate => ({
  quality: estimateQuality(cell, pool, prior.quality),
  cost: estimateCost(cell, pool, prior.cost),
  ...estimateTime(cell, pool, prior.timeMs),
  bins: estimateBins(cell, pool, prior.quality),
  ratings: cell.scores,
  runs: pool.costs,
});

/** Mean cost of one model's answers to one task. */
export interface ModelCost {
  readonly cost: number;
  /** Cost units per 1,000 tokens. */
  readonly price: number;
  readonly runs: number;
}

/** Assumed answer size before any answer is known, in thousands of tokens. */
const DEFAULT_ANSWER_KILOTOKENS = 0.5;

/**
 * Estimates the answer size of a task in thousands of tokens, from all models that ran it. This
 * gives a model that has not run the task yet a cost estimate based on this task and not on other
 * work.
 */
export const estimateAnswerSize = (costs: readonly ModelCost[]): number => {
  const priced = costs.filter((item) => item.price > 0);
  const runs = priced.reduce((sum, item) => sum + item.runs, 0);
  const totalSize = priced.reduce((sum, item) => sum + (item.runs * item.cost) / item.price, 0);
  return (PRIOR_SAMPLES * DEFAULT_ANSWER_KILOTOKENS + totalSize) / (PRIOR_SAMPLES + runs);
};

/** Rating cost may reach this fraction of the cost of the rated work. */
const RATING_COST_FRACTION = 0.01;

/**
 * Computes the share of answers to rate. It is at least the operator-configured share. Expensive
 * work gets a larger share, because its ratings are cheap relative to the work and its estimates
 * matter most.
 */
export const computeRatingShare = (
  ratingShare: number,
  ratingCost: number,
  cost: number,
): number => {
  if (ratingShare <= 0 || ratingCost <= 0) return ratingShare;
  return Math.max(ratingShare, Math.min(1, (RATING_COST_FRACTION * cost) / ratingCost));
};

/** Creates empty estimates; times are in milliseconds of the caller's monotonic clock. */
export const createEstimates = ({ halfLifeMs }: EstimatesOptions): Estimates => {
  const cells = new Map<string, CellState>();

  const acquireCell = (name: CellName, now: number): CellState => {
    const key = formatCellName(name);
    const known = cells.get(key);
    if (known) return known;
    const cell: CellState = {
      name,
      own: EMPTY_TALLY,
      ownAt: now,
      shared: EMPTY_TALLY,
      sharedAt: now,
      isChanged: false,
    };
    cells.set(key, cell);
    return cell;
  };

  const readOwn = (cell: CellState, now: number): Tally =>
    computeScaledTally(cell.own, computeDecay(now - cell.ownAt, halfLifeMs));

  const readShared = (cell: CellState, now: number): Tally =>
    computeScaledTally(cell.shared, computeDecay(now - cell.sharedAt, halfLifeMs));

  const readTally = (name: CellName, now: number): Tally => {
    const cell = cells.get(formatCellName(name));
    return cell ? mergeTallies(readOwn(cell, now), readShared(cell, now)) : EMPTY_TALLY;
  };

  const recordOne = (name: CellName, observation: Observation, now: number): void => {
    const cell = acquireCell(name, now);
    cell.own = addObservation(readOwn(cell, now), observation);
    cell.ownAt = now;
    cell.isChanged = true;
  };

  return {
    record: (name, observation, now) => {
      recordOne(name, observation, now);
      recordOne({ ...name, organisation: ALL_ORGANISATIONS }, observation, now);
    },
    updateShared: ({ name, at, tally }) => {
      const cell = acquireCell(name, at);
      cell.shared = tally;
      cell.sharedAt = at;
    },
    estimate: (name, prior, now) => {
      const cell = readTally(name, now);
      const pool = readTally({ ...name, organisation: ALL_ORGANISATIONS }, now);
      return estimateCell(cell, pool, prior);
    },
    listChanged: (now, isAll = false) => {
      const changed = [...cells.values()].filter((cell) => cell.isChanged || isAll);
      for (const cell of changed) cell.isChanged = false;
      return changed.map((cell) => ({ name: cell.name, at: now, tally: readOwn(cell, now) }));
    },
    applyPastWeight: (model, version, weight, now) => {
      for (const cell of cells.values()) {
        if (cell.name.model !== model || cell.name.version !== version) continue;
        cell.own = computeScaledTally(readOwn(cell, now), weight);
        cell.ownAt = now;
        cell.shared = computeScaledTally(readShared(cell, now), weight);
        cell.sharedAt = now;
      }
    },
  };
};
