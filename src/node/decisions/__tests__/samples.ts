import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand';
import { addObservation, EMPTY_TALLY, type CellEstimate, type Tally } from '..';

const STEPS = 1_000_000_000;

const SEED_FACTOR = 2_654_435_761;

/** Creates a seeded generator of numbers in 0..1. Seeds are spread, as adjacent seeds correlate. */
export const createDraw = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(Math.imul(seed + 1, SEED_FACTOR));
  return () => unsafeUniformIntDistribution(0, STEPS - 1, generator) / STEPS;
};

/** Samples a score in 0..1 around a mean. */
export const sampleScore = (readDraw: () => number, mean: number, deviation = 0.15): number => {
  const noise = readDraw() + readDraw() + readDraw() + readDraw() - 2;
  return Math.max(0, Math.min(1, mean + noise * Math.sqrt(3) * deviation));
};

export const createRatedTally = (scores: readonly number[]): Tally =>
  scores.reduce((tally, score) => addObservation(tally, { type: 'rated', score }), EMPTY_TALLY);

export const createCellEstimate = (
  quality: number,
  error: number,
  cost: number,
  timeMs: number,
): CellEstimate => ({
  quality: { mean: quality, error },
  cost,
  timeMs: { mean: timeMs, error: timeMs / 10 },
  p95TimeMs: timeMs * 2,
  bins: Array.from({ length: 10 }, (_unused, bin) => (bin === Math.floor(quality * 10) ? 1 : 0)),
  ratings: 100,
  runs: 100,
});
