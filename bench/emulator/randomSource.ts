import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** Seeded draws. */
export interface RandomSource {
  /** Uniform in 0..1. */
  readonly sampleUnit: () => number;
  readonly sampleNormal: () => number;
  /** Mean of 1, with this spread of the logarithm. */
  readonly sampleLogNormal: (spread: number) => number;
  readonly sampleExponential: (mean: number) => number;
  readonly sampleIndex: (count: number) => number;
}

const RANGE = 2 ** 30;

/** Creates draws that depend on the seed alone. */
export const createRandomSource = (seed: number): RandomSource => {
  const generator = xoroshiro128plus(seed);
  const sampleUnit = (): number =>
    (unsafeUniformIntDistribution(0, RANGE - 1, generator) + 0.5) / RANGE;
  const sampleNormal = (): number =>
    Math.sqrt(-2 * Math.log(sampleUnit())) * Math.cos(2 * Math.PI * sampleUnit());
  return {
    sampleUnit,
    sampleNormal,
    sampleLogNormal: (spread) => Math.exp(spread * sampleNormal() - spread ** 2 / 2),
    sampleExponential: (mean) => -mean * Math.log(sampleUnit()),
    sampleIndex: (count) => Math.min(count - 1, Math.floor(sampleUnit() * count)),
  };
};
