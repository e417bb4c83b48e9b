import {
  addSpeedSample,
  computeBounded,
  computeRecentSpeed,
  computeRecentWeight,
  MAX_STEP,
  type RecentSpeed,
  type SpeedEstimate,
} from './speedEstimate';

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

/** What the samples of all gateways show about an endpoint, as logarithms of time ratios. */
export interface SharedSpeed extends RecentSpeed {
  readonly endpoint: string;
  /** Long-term mean and the number of independent samples in it. */
  readonly base: number;
  readonly count: number;
  /** Milliseconds since the latest sample. */
  readonly ageMs: number;
}

/** The mean logarithm of the time ratios of an endpoint since the last call. */
export interface DrainedSample {
  readonly endpoint: string;
  readonly logRatio: number;
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
  /** Returns the milliseconds for a unit of a kind of work in the pool; 1 if unknown. */
  readonly readUnitMs: (kind: string) => number;
  readonly readParts: (endpoint: string, now: number) => SpeedParts;
  readonly find: (endpoint: string, now: number) => EndpointSpeed | undefined;
  /** Lists the endpoints with samples. */
  readonly list: () => readonly string[];
  /** Takes the mean sample of each endpoint since the last call, of at most `limit` endpoints. */
  readonly drainSamples: (limit: number) => readonly DrainedSample[];
  /** Replaces what the samples of all gateways show about some endpoints. */
  readonly applyShared: (shared: readonly SharedSpeed[], now: number) => void;
  /** Removes what other gateways' samples show, so that only this gateway's own ones count. */
  readonly removeShared: () => void;
  /** Removes endpoints without recent samples. */
  readonly expire: (now: number) => void;
}

interface Row {
  /** From the samples of this gateway. */
  own: SpeedEstimate | undefined;
  /** From the samples of all gateways, and when it arrived. */
  shared: (SharedSpeed & { readonly at: number }) | undefined;
  /** Cached parts of the factor, and when they were computed. */
  parts: SpeedParts;
  computedAt: number;
}

interface RowView extends RecentSpeed {
  readonly base: number;
  readonly count: number;
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
/** Weight of the assumption that an endpoint runs at its usual speed, in recent samples. */
const RECENT_PRIOR = 2;
/**
 * Recent deviations up to this are taken for noise, as of a busy endpoint; it is a factor of 2. From 1.5 times
 * the logarithm on they count in full, as one of 4 times does.
 */
const RECENT_TOLERANCE = 0.7;
const RECENT_SLOPE = 3;
/** Pools whose endpoints differ by less than this standard deviation are treated as equal. */
const MIN_SPREAD = 0.1;
/** Endpoints with samples that are needed to tell how much a pool differs. */
const MIN_ROWS = 3;
/** Initial estimate of the variance of a sample, and the weight of a new residual. */
const INITIAL_NOISE = 0.1;
const NOISE_WEIGHT = 0.02;
/** Largest factor either way. A faulty measurement must not exclude or flood an endpoint. */
const MAX_LOG_FACTOR = Math.log(4);
/** Samples beyond this are faulty; the control host refuses them. */
const MAX_LOG_RATIO = 4;
const CACHE_MS = 50;
const SPREAD_INTERVAL_MS = 250;
/** Endpoints without samples for this time are forgotten. */
const MEMORY_MS = 120_000;

const EQUAL: SpeedParts = { usual: 0, recent: 0 };

const readAt = ({ own, shared }: Row): number =>
  Math.max(own?.at ?? -Infinity, shared ? shared.at - shared.ageMs : -Infinity);

const NO_SAMPLES: RowView = { base: 0, count: 0, median: 0, weight: 0 };

// The shared estimate contains the samples of this gateway, though some only after the next call.
const computeView = ({ own, shared }: Row, now: number): RowView => {
  const ownView = own
    ? { base: own.base, count: own.count, ...computeRecentSpeed(own, now) }
    : NO_SAMPLES;
  if (!shared) return ownView;
  const { base, count } = shared.count >= ownView.count ? shared : ownView;
  const weight = shared.weight * computeRecentWeight(now - shared.at);
  const { median } = weight >= ownView.weight ? shared : ownView;
  return { base, count, median, weight: Math.max(weight, ownView.weight) };
};

// Only slow-downs: times below the long-term mean move that mean soon.
const computeExcess = (deviation: number): number =>
  Math.min(Math.max(0, deviation), Math.max(0, RECENT_SLOPE * (deviation - RECENT_TOLERANCE)));

const computeSpread = (views: readonly RowView[], noise: number, now: number): PoolSpread => {
  let total = 0;
  let sum = 0;
  let uncertainty = 0;
  let recentSum = 0;
  let recentWeight = RECENT_PRIOR * MIN_ROWS;
  for (const { base, count, median, weight } of views) {
    total += 1;
    sum += base;
    uncertainty += noise / count;
    recentSum += weight * computeBounded(median - base, RECENT_TOLERANCE);
    recentWeight += weight;
  }
  const recent = recentSum / recentWeight;
  const mean = total > 0 ? sum / total : 0;
  if (total < MIN_ROWS) return { mean, variance: 0, recent, at: now };
  let squares = 0;
  for (const { base } of views) squares += (base - mean) ** 2;
  // The variance of a few means is uncertain itself; two standard errors are left out.
  const explained = (uncertainty / total) * (1 + 2 * Math.sqrt(2 / (total - 1)));
  const variance = Math.max(0, squares / (total - 1) - explained - MIN_SPREAD ** 2);
  return { mean, variance, recent, at: now };
};

/** Creates speeds of a pool without samples. */
export const createEndpointSpeeds = ({ prior }: EndpointSpeedsOptions = {}): EndpointSpeeds => {
  const rows = new Map<string, Row>();
  const levels = new Map<string, Level>();
  /** Samples since the last call of the exchange. */
  const unsent = new Map<string, { readonly sum: number; readonly count: number }>();
  let noise = INITIAL_NOISE;
  let spread: PoolSpread = { mean: 0, variance: 0, recent: 0, at: -Infinity };

  const computeParts = (endpoint: string, row: Row | undefined, now: number): SpeedParts => {
    const known = prior?.readParts(endpoint, now) ?? EQUAL;
    if (!row) return known;
    const { mean, variance, recent: common } = spread;
    const { base, count, median, weight } = computeView(row, now);
    // Shrinks towards the prior by the ratio of the noise of samples to the spread of the pool.
    const usualWeight = variance > 0 ? 1 / (1 + noise / variance / count) : 0;
    const deviation = median - base - common;
    const excess = computeExcess(deviation);
    return {
      usual: known.usual + usualWeight * (base - mean - known.usual),
      recent: known.recent + (weight / (weight + RECENT_PRIOR)) * (excess - known.recent),
    };
  };

  const readParts = (endpoint: string, now: number): SpeedParts => {
    if (now - spread.at >= SPREAD_INTERVAL_MS) {
      const views = [...rows.values()].map((item) => computeView(item, now));
      spread = computeSpread(views, noise, now);
    }
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

  const acquireRow = (endpoint: string): Row => {
    const known = rows.get(endpoint);
    if (known) return known;
    const row = { own: undefined, shared: undefined, parts: EQUAL, computedAt: -Infinity };
    rows.set(endpoint, row);
    return row;
  };

  const updateRow = (endpoint: string, logRatio: number, now: number): void => {
    const row = acquireRow(endpoint);
    if (row.own) {
      const residual = computeBounded(logRatio - row.own.base, MAX_STEP);
      noise += NOISE_WEIGHT * (residual ** 2 - noise);
    }
    row.own = addSpeedSample(row.own, logRatio, now);
    row.computedAt = -Infinity;
    const { sum, count } = unsent.get(endpoint) ?? { sum: 0, count: 0 };
    unsent.set(endpoint, { sum: sum + logRatio, count: count + 1 });
  };

  return {
    record: ({ endpoint, kind, unitMs }, now) => {
      if (!(unitMs > 0)) return;
      const logMs = Math.log(unitMs);
      const level = levels.get(kind) ?? { logMs, count: 0 };
      if (level.count >= MIN_LEVEL_SAMPLES) {
        updateRow(endpoint, computeBounded(logMs - level.logMs, MAX_LOG_RATIO), now);
      }
      updateLevel(kind, level, logMs - readLogFactor(endpoint, now));
    },
    readFactor,
    readUnitMs: (kind) => Math.exp(levels.get(kind)?.logMs ?? 0),
    readParts,
    find: (endpoint, now) => {
      const row = rows.get(endpoint);
      if (!row) return undefined;
      const { count } = computeView(row, now);
      return { factor: readFactor(endpoint, now), samples: count, ageMs: now - readAt(row) };
    },
    list: () => [...rows.keys()],
    drainSamples: (limit) => {
      const samples = [...unsent]
        .slice(0, limit)
        .map(([endpoint, { sum, count }]) => ({ endpoint, logRatio: sum / count }));
      unsent.clear();
      return samples;
    },
    applyShared: (shared, now) =>
      shared.forEach((item) => {
        const row = acquireRow(item.endpoint);
        row.shared = { ...item, at: now };
        row.computedAt = -Infinity;
      }),
    removeShared: () =>
      rows.forEach((row, endpoint) => {
        if (row.own) rows.set(endpoint, { ...row, shared: undefined, computedAt: -Infinity });
        else rows.delete(endpoint);
      }),
    expire: (now) => {
      for (const [endpoint, row] of rows) {
        if (now - readAt(row) > MEMORY_MS) rows.delete(endpoint);
      }
    },
  };
};
