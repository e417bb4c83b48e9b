import test from 'ava';
import { advanceDetector, EMPTY_DETECTOR } from '..';
import { createDraw, sampleScore } from './samples';

const runDetector = (seed: number, changeAt: number, length: number, after: number): number => {
  const readDraw = createDraw(seed);
  let state = EMPTY_DETECTOR;
  for (let index = 0; index < length; index += 1) {
    const step = advanceDetector(state, sampleScore(readDraw, index < changeAt ? 0.85 : after));
    if (step.change !== 'none') return index;
    state = step.state;
  }
  return Infinity;
};

const SEEDS = Array.from({ length: 100 }, (_unused, seed) => seed);

test('a late quality drop of 30% is detected within 20 ratings in at least 95 of 100 runs', (t) => {
  const found = SEEDS.map((seed) => runDetector(seed, 500, 600, 0.6));
  t.true(found.filter((index) => index >= 500 && index < 520).length >= 95);
});

test('an unchanged version causes at most 5 alarms in 100 runs of 500 ratings', (t) => {
  const found = SEEDS.map((seed) => runDetector(seed, 500, 500, 0.85));
  t.true(found.filter((index) => index < 500).length <= 5);
});
