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

/** Names a cell of the estimates. */
export interface CellName {
  readonly organisation: string;
  readonly task: string;
  readonly model: string;
  readonly version: string;
  /** True for the second run of a cascade, whose requests are harder than most. */
  readonly isEscalated: boolean;
}

/** What operators state before anything is measured. */
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

/** What is known of a cell. */
export interface CellEstimate {
  readonly quality: Estimate;
  readonly cost: number;
  readonly timeMs: Estimate;
  /** The time that 95 in 100 answers keep, in milliseconds. */
  readonly p95TimeMs: number;
  /** Share of the ratings per bin. */
  readonly bins: readonly number[];
  /** Ratings of this cell alone, after forgetting. */
  readonly ratings: number;
  /** Answers whose cost is known, of all organisations, after forgetting. */
  readonly runs: number;
}

/** A cell's tally, as of a time on the store's clock. */
export interface CellTally {
  readonly name: CellName;
  readonly at: number;
  readonly tally: Tally;
}

/** Estimates per cell, from this process's observations and those of the others. */
export interface Estimates {
  readonly record: (name: CellName, observation: Observation, now: number) => void;
  /** Replaces what the other processes have seen of a cell. */
  readonly updateShared: (shared: CellTally) => void;
  readonly estimate: (name: CellName, prior: CellPrior, now: number) => CellEstimate;
  /** Lists the cells that changed since the last call, or all, with this process's own observations. */
  readonly listChanged: (now: number, isAll?: boolean) => readonly CellTally[];
  /** Makes the past of a model's version weigh less, after a change was detected. */
  readonly applyPastWeight: (model: string, version: string, weight: number, now: number) => void;
}

/** Options of the estimates. */
export interface EstimatesOptions {
  /** Time after which an observation weighs half, in milliseconds. */
  readonly halfLifeMs: number;
}

const QUALITY_DEVIATION = 0.2;
const DEVIATION_SAMPLES = 8;
/** Ratings that the operators' prior is worth. */
const PRIOR_SAMPLES = 6;
/** Ratings that the mean over all organisations is worth for one of them. */
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

// Before ratings are known the scores are taken to lie around the prior in the form of a triangle.
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

/** Estimates a cell from its own tally, that of all organisations and the stated prior. */
export const estimateCell = (cell: Tally, pool: Tally, prior: CellPrior): CellEstimate => ({
  quality: estimateQuality(cell, pool, prior.quality),
  cost: estimateCost(cell, pool, prior.cost),
  ...estimateTime(cell, pool, prior.timeMs),
  bins: estimateBins(cell, pool, prior.quality),
  ratings: cell.scores,
  runs: pool.costs,
});

/** What is known of the cost of one model's answers to a kind of work. */
export interface ModelCost {
  readonly cost: number;
  /** Cost units per 1,000 tokens. */
  readonly price: number;
  readonly runs: number;
}

/** Thousands of tokens that an answer is taken to have before any is known. */
const DEFAULT_ANSWER_KILOTOKENS = 0.5;

/**
 * Estimates how large the answers to a kind of work are, in thousands of tokens, from every model
 * that ran it, so that a model that has not run it yet is not judged by a size of other work.
 */
export const estimateAnswerSize = (costs: readonly ModelCost[]): number => {
  const priced = costs.filter((item) => item.price > 0);
  const runs = priced.reduce((sum, item) => sum + item.runs, 0);
  const sizes = priced.reduce((sum, item) => sum + (item.runs * item.cost) / item.price, 0);
  return (PRIOR_SAMPLES * DEFAULT_ANSWER_KILOTOKENS + sizes) / (PRIOR_SAMPLES + runs);
};

/** Ratings may cost this part of the work that they are about. */
const RATING_COST_FRACTION = 0.01;

/**
 * Computes which share of the answers is rated: the operators' share, and more of dear work, whose
 * ratings cost little beside it and whose estimates are worth most.
 */
export const computeRatingShare = (
  ratingShare: number,
  ratingCost: number,
  cost: number,
): number => {
  if (ratingShare <= 0 || ratingCost <= 0) return ratingShare;
  return Math.max(ratingShare, Math.min(1, (RATING_COST_FRACTION * cost) / ratingCost));
};

/** Creates empty estimates; the caller's clock is in milliseconds and monotonic. */
export const createEstimates = ({ halfLifeMs }: EstimatesOptions): Estimates => {
  const slots = new Map<string, CellState>();

  const acquireCell = (name: CellName, now: number): CellState => {
    const key = formatCellName(name);
    const known = slots.get(key);
    if (known) return known;
    const slot: CellState = {
      name,
      own: EMPTY_TALLY,
      ownAt: now,
      shared: EMPTY_TALLY,
      sharedAt: now,
      isChanged: false,
    };
    slots.set(key, slot);
    return slot;
  };

  const readOwn = (slot: CellState, now: number): Tally =>
    computeScaledTally(slot.own, computeDecay(now - slot.ownAt, halfLifeMs));

  const readShared = (slot: CellState, now: number): Tally =>
    computeScaledTally(slot.shared, computeDecay(now - slot.sharedAt, halfLifeMs));

  const readTally = (name: CellName, now: number): Tally => {
    const slot = slots.get(formatCellName(name));
    return slot ? mergeTallies(readOwn(slot, now), readShared(slot, now)) : EMPTY_TALLY;
  };

  const recordOne = (name: CellName, observation: Observation, now: number): void => {
    const slot = acquireCell(name, now);
    slot.own = addObservation(readOwn(slot, now), observation);
    slot.ownAt = now;
    slot.isChanged = true;
  };

  return {
    record: (name, observation, now) => {
      recordOne(name, observation, now);
      recordOne({ ...name, organisation: ALL_ORGANISATIONS }, observation, now);
    },
    updateShared: ({ name, at, tally }) => {
      const slot = acquireCell(name, at);
      slot.shared = tally;
      slot.sharedAt = at;
    },
    estimate: (name, prior, now) => {
      const cell = readTally(name, now);
      const pool = readTally({ ...name, organisation: ALL_ORGANISATIONS }, now);
      return estimateCell(cell, pool, prior);
    },
    listChanged: (now, isAll = false) => {
      const changed = [...slots.values()].filter((slot) => slot.isChanged || isAll);
      for (const slot of changed) slot.isChanged = false;
      return changed.map((slot) => ({ name: slot.name, at: now, tally: readOwn(slot, now) }));
    },
    applyPastWeight: (model, version, weight, now) => {
      for (const slot of slots.values()) {
        if (slot.name.model !== model || slot.name.version !== version) continue;
        slot.own = computeScaledTally(readOwn(slot, now), weight);
        slot.ownAt = now;
        slot.shared = computeScaledTally(readShared(slot, now), weight);
        slot.sharedAt = now;
      }
    },
  };
};
