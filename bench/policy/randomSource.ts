import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

const STEPS = 1_000_000_000;
const SEED_FACTOR = 2_654_435_761;

/** A seeded source of random numbers. */
export interface RandomSource {
  readonly uniform: () => number;
  readonly normal: (mean: number, deviation: number) => number;
  readonly exponential: (mean: number) => number;
}

/** Creates a source. Seeds are scattered because adjacent ones produce correlated numbers. */
export const createRandomSource = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(Math.imul(seed + 1, SEED_FACTOR));
  const sampleUniform = (): number => unsafeUniformIntDistribution(0, STEPS - 1, generator) / STEPS;
  return {
    uniform: sampleUniform,
    normal: (mean, deviation) => {
      const radius = Math.sqrt(-2 * Math.log(Math.max(1e-12, sampleUniform())));
      return mean + deviation * radius * Math.cos(2 * Math.PI * sampleUniform());
    },
    exponential: (mean) => -mean * Math.log(Math.max(1e-12, 1 - sampleUniform())),
  };
};

/** Returns the value, limited to the range 0 to 1. */
export const computeClamped = (value: number): number => Math.max(0, Math.min(1, value));
