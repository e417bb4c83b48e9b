// Load pattern: the endpoints of one service differ in speed by a constant factor, each is 2.5 times
// as slow for 600 ms at a time, and now and then one becomes 4 times as slow and recovers.

/** A measured time of an endpoint for a unit of work. */
export interface SpeedSample {
  /** The endpoint's incarnation, so that a restarted endpoint counts as a new one. */
  readonly endpoint: string;
  /** Kind of work, for example the model; only times of one kind are compared with each other. */
  readonly kind: string;
  /** Milliseconds for a unit of this kind of work. */
  readonly unitMs: number;
}

/** How the speed of an endpoint compares with its pool. */
export interface EndpointSpeed {
  /** Time that the endpoint takes, divided by the mean of its pool. */
  readonly factor: number;
  /** Samples of the endpoint, up to the limit beyond which more of them change nothing. */
  readonly samples: number;
  /** Milliseconds since the latest sample. */
  readonly ageMs: number;
}

/** The logarithm of a factor, by the time over which it is measured. */
export interface SpeedParts {
  /** What is usual for the endpoint. */
  readonly usual: number;
  /** How the last second differs from that. */
  readonly recent: number;
}

/** Options of the speeds of a pool. */
export interface EndpointSpeedsOptions {
  /** Speeds in another kind of work, which an endpoint probably has in this one too. */
  readonly prior?: Pick<EndpointSpeeds, 'readParts'>;
}

/** Speeds of the endpoints of a pool; `now` is monotonic time in milliseconds. */
export interface EndpointSpeeds {
  readonly record: (sample: SpeedSample, now: number) => void;
  /** Returns the time factor of an endpoint; 1 without samples or without a difference. */
  readonly readFactor: (endpoint: string, now: number) => number;
  readonly readParts: (endpoint: string, now: number) => SpeedParts;
  readonly find: (endpoint: string, now: number) => EndpointSpeed | undefined;
  /** Removes endpoints without recent samples. */
  readonly expire: (now: number) => void;
}

interface RecentSample {
  readonly at: number;
  readonly logRatio: number;
  /** Samples of which this is the mean. */
  readonly count: number;
}

interface Row {
  /** Long-term mean of the logarithm of the time ratio. */
  base: number;
  count: number;
  at: number;
  readonly recent: RecentSample[];
  /** Cached parts of the factor, and when they were computed. */
  parts: SpeedParts;
  computedAt: number;
}

interface Level {
  /** Mean logarithm of the unit time in the pool, corrected by the factors of the endpoints. */
  readonly logMs: number;
  readonly count: number;
}

interface PoolSpread {
  /** Mean of the rows' long-term means; factors are relative to it, so that their mean is about 1. */
  readonly mean: number;
  /** Variance between endpoints that the noise of samples doesn't explain. */
  readonly variance: number;
  /** Common deviation of recent samples, for example while the whole pool is busy. */
  readonly recent: number;
  readonly at: number;
}

/** Samples of a kind of work before its level is known well enough to compare endpoints. */
const MIN_LEVEL_SAMPLES = 5;
const LEVEL_MIN_WEIGHT = 0.03;
/** Deviations beyond this have a bounded effect on long-term means; it is about a factor of 1.65. */
const MAX_STEP = 0.5;
/** Time constant of long-term means; a slow-down of 10 s must not outlast its end by much. */
const BASE_MS = 20_000;
/** Number of samples beyond which a long-term mean doesn't become more certain. */
const MAX_COUNT = 15;
/** Samples with this interval are independent, since a momentary slow-down lasts 600 ms. */
const INDEPENDENT_MS = 600;
const MIN_COUNT_STEP = 0.1;
/** Limit of the weight of a sample in a long-term mean, which keeps about as many in it. */
const MAX_BASE_WEIGHT = 0.1;
/**
 * Decay time of the weights in the median of recent samples. A slow-down moves the median after
 * 0.69 times as long, which must exceed the 600 ms of a momentary one and stay under a second.
 */
const RECENT_MS = 900;
const MAX_RECENT_AGE_MS = 4 * RECENT_MS;
/** Samples within this time are merged, so that the limit below covers the age above. */
const MERGE_MS = 100;
const MAX_RECENT = MAX_RECENT_AGE_MS / MERGE_MS;
/** Weight of the assumption that an endpoint runs at its usual speed, in recent samples. */
const RECENT_PRIOR = 2;
/**
 * Recent deviations up to this are taken for noise; it is a factor of 1.4. From twice this on they
 * count in full.
 */
const RECENT_TOLERANCE = 0.35;
/** Pools whose endpoints differ by less than this standard deviation are treated as equal. */
const MIN_SPREAD = 0.1;
/** Endpoints with samples that are needed to tell how much a pool differs. */
const MIN_ROWS = 3;
/** Initial estimate of the variance of a sample, and the weight of a new residual. */
const INITIAL_NOISE = 0.1;
const NOISE_WEIGHT = 0.02;
/** Largest factor either way. A faulty measurement must not exclude or flood an endpoint. */
const MAX_LOG_FACTOR = Math.log(4);
const CACHE_MS = 50;
const SPREAD_INTERVAL_MS = 250;
/** Endpoints without samples for this time are forgotten. */
const MEMORY_MS = 120_000;

const EQUAL: SpeedParts = { usual: 0, recent: 0 };

const computeBounded = (value: number, limit: number): number =>
  Math.max(-limit, Math.min(limit, value));

const computeWeight = (ageMs: number): number => Math.exp(-ageMs / RECENT_MS);

interface RecentDeviation {
  readonly median: number;
  readonly weight: number;
}

const computeRecent = (recent: readonly RecentSample[], now: number): RecentDeviation => {
  const weighted = recent
    .filter(({ at }) => now - at < MAX_RECENT_AGE_MS)
    .map(({ at, logRatio }) => ({ logRatio, weight: computeWeight(now - at) }))
    .sort((a, b) => a.logRatio - b.logRatio);
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  let passed = 0;
  for (const { logRatio, weight } of weighted) {
    passed += weight;
    if (passed >= total / 2) return { median: logRatio, weight: total };
  }
  return { median: 0, weight: 0 };
};

// Samples of one momentary slow-down don't count as independent ones.
const computeCountStep = ({ count, at }: Row, now: number): number =>
  count === 0 ? 1 : Math.min(1, Math.max(MIN_COUNT_STEP, (now - at) / INDEPENDENT_MS));

// After the first samples, one counts for the time since the sample before it: many samples of a short
// slow-down must not change what counts as the usual speed of an endpoint.
const computeBaseWeight = ({ count, at }: Row, countStep: number, now: number): number => {
  if (count < MAX_COUNT) return countStep / (count + countStep);
  return Math.min(MAX_BASE_WEIGHT, 1 - Math.exp(-Math.max(0, now - at) / BASE_MS));
};

const computeExcess = (deviation: number): number => {
  const size = Math.abs(deviation);
  return Math.sign(deviation) * Math.min(size, Math.max(0, 2 * (size - RECENT_TOLERANCE)));
};

const addRecent = (recent: RecentSample[], at: number, logRatio: number): void => {
  const last = recent.at(-1);
  if (last && at - last.at < MERGE_MS) {
    const count = last.count + 1;
    const mean = last.logRatio + (logRatio - last.logRatio) / count;
    recent.splice(-1, 1, { at: last.at, logRatio: mean, count });
    return;
  }
  recent.push({ at, logRatio, count: 1 });
  if (recent.length > MAX_RECENT) recent.shift();
};

/** Creates speeds of a pool without samples. */
export const createEndpointSpeeds = ({ prior }: EndpointSpeedsOptions = {}): EndpointSpeeds => {
  const rows = new Map<string, Row>();
  const levels = new Map<string, Level>();
  let noise = INITIAL_NOISE;
  let spread: PoolSpread = { mean: 0, variance: 0, recent: 0, at: -Infinity };

  const computeSpread = (now: number): PoolSpread => {
    let total = 0;
    let sum = 0;
    let uncertainty = 0;
    let recentSum = 0;
    let recentWeight = RECENT_PRIOR * MIN_ROWS;
    for (const { base, count, recent } of rows.values()) {
      total += 1;
      sum += base;
      uncertainty += noise / count;
      if (recent.length > 0 && now - recent.at(-1)!.at < MAX_RECENT_AGE_MS) {
        const { median, weight } = computeRecent(recent, now);
        recentSum += weight * computeBounded(median - base, RECENT_TOLERANCE);
        recentWeight += weight;
      }
    }
    const recent = recentSum / recentWeight;
    const mean = total > 0 ? sum / total : 0;
    if (total < MIN_ROWS) return { mean, variance: 0, recent, at: now };
    let squares = 0;
    for (const { base } of rows.values()) squares += (base - mean) ** 2;
    // The variance of a few means is uncertain itself; two standard errors are left out.
    const explained = (uncertainty / total) * (1 + 2 * Math.sqrt(2 / (total - 1)));
    const variance = Math.max(0, squares / (total - 1) - explained - MIN_SPREAD ** 2);
    return { mean, variance, recent, at: now };
  };

  const computeParts = (endpoint: string, row: Row | undefined, now: number): SpeedParts => {
    const known = prior?.readParts(endpoint, now) ?? EQUAL;
    if (!row) return known;
    const { mean, variance, recent: common } = spread;
    const { base, count, recent } = row;
    // Shrinks towards the prior by the ratio of the noise of samples to the spread of the pool.
    const usualWeight = variance > 0 ? 1 / (1 + noise / variance / count) : 0;
    const { median, weight } = computeRecent(recent, now);
    const deviation = median - base - common;
    const excess = computeExcess(deviation);
    return {
      usual: known.usual + usualWeight * (base - mean - known.usual),
      recent: known.recent + (weight / (weight + RECENT_PRIOR)) * (excess - known.recent),
    };
  };

  const readParts = (endpoint: string, now: number): SpeedParts => {
    if (now - spread.at >= SPREAD_INTERVAL_MS) spread = computeSpread(now);
    const row = rows.get(endpoint);
    if (!row) return computeParts(endpoint, undefined, now);
    if (now - row.computedAt >= CACHE_MS) {
      row.parts = computeParts(endpoint, row, now);
      row.computedAt = now;
    }
    return row.parts;
  };

  const readLogFactor = (endpoint: string, now: number): number => {
    const { usual, recent } = readParts(endpoint, now);
    return computeBounded(usual + recent, MAX_LOG_FACTOR);
  };

  const readFactor = (endpoint: string, now: number): number =>
    Math.exp(readLogFactor(endpoint, now));

  const updateLevel = (kind: string, known: Level, logMs: number): void => {
    const count = known.count + 1;
    const weight = Math.max(1 / count, LEVEL_MIN_WEIGHT);
    const step = logMs - known.logMs;
    // The first samples are taken in full, so that a distant start is left at once.
    const bounded = count <= MIN_LEVEL_SAMPLES ? step : computeBounded(step, MAX_STEP);
    levels.set(kind, { logMs: known.logMs + weight * bounded, count });
  };

  const updateRow = (endpoint: string, logRatio: number, now: number): void => {
    const known = rows.get(endpoint);
    const row = known ?? {
      base: logRatio,
      count: 0,
      at: now,
      recent: [],
      parts: EQUAL,
      computedAt: -Infinity,
    };
    if (!known) rows.set(endpoint, row);
    const step = computeBounded(logRatio - row.base, MAX_STEP);
    if (known) noise += NOISE_WEIGHT * (step ** 2 - noise);
    const countStep = computeCountStep(row, now);
    row.base += computeBaseWeight(row, countStep, now) * step;
    row.count = Math.min(MAX_COUNT, row.count + countStep);
    row.at = now;
    addRecent(row.recent, now, logRatio);
    row.computedAt = -Infinity;
  };

  return {
    record: ({ endpoint, kind, unitMs }, now) => {
      if (!(unitMs > 0)) return;
      const logMs = Math.log(unitMs);
      const level = levels.get(kind) ?? { logMs, count: 0 };
      if (level.count >= MIN_LEVEL_SAMPLES) updateRow(endpoint, logMs - level.logMs, now);
      updateLevel(kind, level, logMs - readLogFactor(endpoint, now));
    },
    readFactor,
    readParts,
    find: (endpoint, now) => {
      const row = rows.get(endpoint);
      if (!row) return undefined;
      return { factor: readFactor(endpoint, now), samples: row.count, ageMs: now - row.at };
    },
    expire: (now) => {
      for (const [endpoint, { at }] of rows) {
        if (now - at > MEMORY_MS) rows.delete(endpoint);
      }
    },
  };
};
