import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';

/** A seeded source of random numbers. */
export interface RandomSource {
  /** Uniform between 0 and 1. */
  readonly sampleUnit: () => number;
  readonly sampleNormal: () => number;
  /** Log-normal with a mean of 1; `spread` is the standard deviation of the logarithm. */
  readonly sampleLogNormal: (spread: number) => number;
  readonly sampleExponential: (mean: number) => number;
  readonly sampleIndex: (count: number) => number;
}

const RANGE = 2 ** 30;

/** Creates a source whose numbers depend only on the seed. */
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
