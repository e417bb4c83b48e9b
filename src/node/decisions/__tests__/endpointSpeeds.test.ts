import test from 'ava';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { createEndpointSpeeds, createPrefillRates, type EndpointSpeeds } from '..';

const RANGE = 2 ** 30;
const NOISE_PERIOD_MS = 600;
const NOISE_FACTOR = 2.5;
const NOISE_PROBABILITY = 0.15;
const STEP_MS = 100;

interface Pool {
  readonly speeds: EndpointSpeeds;
  /** Records a sample of each endpoint every 100 ms, from the first time to the second. */
  readonly run: (from: number, to: number, computeTime: (index: number) => number) => void;
  readonly readAll: (now: number) => readonly number[];
}

const formatEndpoint = (index: number): string => `e-${index}|1`;

const createPool = (
  count: number,
  seed: number,
  hasMomentary: (index: number) => boolean,
): Pool => {
  const generator = xoroshiro128plus(seed);
  const sampleUnit = (): number =>
    (unsafeUniformIntDistribution(0, RANGE - 1, generator) + 0.5) / RANGE;
  const speeds = createEndpointSpeeds();
  const slowUntil = new Map<number, number>();
  const computeMomentary = (index: number, now: number): number => {
    if (!hasMomentary(index)) return 1;
    // Starts often enough for 15% of the time.
    if ((slowUntil.get(index) ?? 0) <= now) {
      const starts = (NOISE_PROBABILITY / (1 - NOISE_PROBABILITY)) * (STEP_MS / NOISE_PERIOD_MS);
      if (sampleUnit() < starts) slowUntil.set(index, now + NOISE_PERIOD_MS);
    }
    return (slowUntil.get(index) ?? 0) > now ? NOISE_FACTOR : 1;
  };
  return {
    speeds,
    run: (from, to, computeTime) => {
      for (let now = from; now < to; now += STEP_MS) {
        for (let index = 0; index < count; index += 1) {
          const jitter = Math.exp(0.4 * (sampleUnit() + sampleUnit() - 1));
          const unitMs = 10 * computeTime(index) * computeMomentary(index, now) * jitter;
          speeds.record({ endpoint: formatEndpoint(index), kind: 'm', unitMs }, now);
        }
      }
    },
    readAll: (now) =>
      Array.from({ length: count }, (_item, index) =>
        speeds.readFactor(formatEndpoint(index), now),
      ),
  };
};

const SPEEDS = [0.7, 0.7, 1.7];
const computeUneven = (index: number): number => 1 / SPEEDS[index % SPEEDS.length]!;
const computeEqual = (): number => 1;
const hasMomentary = (): boolean => true;
const hasNone = (): boolean => false;
/** The endpoint that a test slows down has no other slow-downs. */
const hasMomentaryBut0 = (index: number): boolean => index !== 0;
const SEEDS = [1, 2, 3, 4, 5];

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

for (const seed of SEEDS) {
  test(`endpoint speeds: constant differences show through momentary slow-downs, seed ${seed}`, (t) => {
    const pool = createPool(9, seed, hasMomentary);
    pool.run(0, 10_000, computeUneven);
    const views = Array.from({ length: 20 }, (_item, step) => {
      const now = 10_000 + step * 500;
      pool.run(now, now + 500, computeUneven);
      return pool.readAll(now + 500);
    });
    const factors = Array.from({ length: 9 }, (_item, index) =>
      computeMean(views.map((view) => view[index]!)),
    );
    const listClass = (isFast: boolean) =>
      factors.filter((_factor, index) => (index % 3 === 2) === isFast);
    const ratio = computeMean(listClass(false)) / computeMean(listClass(true));
    t.true(ratio > 2 && ratio < 2.9, `slow to fast ${ratio}, true 2.43`);
    const logMean = computeMean(factors.map(Math.log));
    t.true(Math.abs(logMean) < 0.15, `mean logarithm ${logMean}`);
  });

  // Otherwise measurement noise would change the placement in pools without differences.
  test(`endpoint speeds: equal endpoints have the factor 1 at all times, seed ${seed}`, (t) => {
    const pool = createPool(9, seed, hasNone);
    for (let now = 0; now < 20_000; now += 500) {
      pool.run(now, now + 500, computeEqual);
      t.deepEqual(pool.readAll(now + 500), Array(9).fill(1));
    }
  });

  test(`endpoint speeds: a slow-down of 2.5 times for 600 ms moves the factor little, seed ${seed}`, (t) => {
    const pool = createPool(9, seed, hasNone);
    pool.run(0, 10_000, computeEqual);
    for (let now = 10_000; now < 12_000; now += 100) {
      pool.run(now, now + 100, (index) => (index === 0 && now < 10_600 ? NOISE_FACTOR : 1));
      const [factor] = pool.readAll(now + 100);
      t.true(factor! < 1.5, `${factor} after ${now - 10_000} ms`);
    }
  });

  test(`endpoint speeds: a slow-down of 4 times shows within a second, and its end, seed ${seed}`, (t) => {
    const pool = createPool(9, seed, hasMomentaryBut0);
    pool.run(0, 10_000, computeEqual);
    pool.run(10_000, 11_000, (index) => (index === 0 ? 4 : 1));
    const during = pool.readAll(11_000)[0]!;
    t.true(during >= 2, `${during} after a second`);
    pool.run(11_000, 15_000, (index) => (index === 0 ? 4 : 1));
    pool.run(15_000, 16_000, computeEqual);
    const after = pool.readAll(16_000)[0]!;
    t.true(after < 1.5, `${after} a second after the end`);
  });
}

// An endpoint that got no more work because it was slow must not stay excluded.
test('endpoint speeds: a recent slow-down is forgotten without further samples', (t) => {
  const pool = createPool(9, 1, hasNone);
  pool.run(0, 10_000, computeEqual);
  pool.run(10_000, 11_000, (index) => (index === 0 ? 4 : 1));
  t.true(pool.readAll(11_000)[0]! > 2);
  t.true(pool.readAll(15_000)[0]! < 1.3);
});

test('endpoint speeds: a restarted endpoint begins without a difference', (t) => {
  const pool = createPool(9, 1, hasMomentary);
  pool.run(0, 10_000, computeUneven);
  t.true(pool.speeds.readFactor('e-2|1', 10_000) < 0.8);
  t.is(pool.speeds.readFactor('e-2|2', 10_000), 1);
  t.is(pool.speeds.find('e-2|2', 10_000), undefined);
});

test('endpoint speeds: endpoints without samples for two minutes are forgotten', (t) => {
  const pool = createPool(3, 1, hasMomentary);
  pool.run(0, 10_000, computeUneven);
  pool.speeds.expire(60_000);
  t.not(pool.speeds.find('e-0|1', 60_000), undefined);
  pool.speeds.expire(130_000);
  t.is(pool.speeds.find('e-0|1', 130_000), undefined);
});

// Before the change, the rate of the pool sat near that of the fastest endpoint, so first tokens of
// the others were predicted far too early.
test('prefill rates: estimates fit each endpoint of an uneven pool', (t) => {
  const rates = createPrefillRates([{ name: 'm', cost: 1 }]);
  const prefill = { uncachedTokens: 10_000, promptTokens: 10_000 };
  for (let now = 0; now < 30_000; now += 100) {
    for (let index = 0; index < 9; index += 1) {
      const endpoint = { incarnation: formatEndpoint(index), now };
      rates.record('m', prefill, 200 * computeUneven(index), endpoint);
    }
  }
  for (let index = 0; index < 9; index += 1) {
    const endpoint = { incarnation: formatEndpoint(index), now: 30_000 };
    const ratio = rates.estimate('m', prefill, endpoint) / (200 * computeUneven(index));
    t.true(ratio > 0.9 && ratio < 1.1, `endpoint ${index}: ${ratio} of the true time`);
  }
});
