import test from 'ava';
import fc from 'fast-check';
import { chooseChain, createEstimates, type ChainCandidate, type ChainInput } from '..';
import { createCellEstimate, createDraw, sampleScore } from './samples';

const createCandidate = (
  model: string,
  quality: number,
  error: number,
  cost: number,
  timeMs: number,
): ChainCandidate => {
  const first = createCellEstimate(quality, error, cost, timeMs);
  return { model, version: 'v1', first, escalated: first };
};

const SMALL = createCandidate('small', 0.7, 0.01, 1, 100);
const LARGE = createCandidate('large', 0.95, 0.01, 20, 800);

const QUESTION: ChainInput = {
  candidates: [SMALL, LARGE],
  qualityTarget: 0.6,
  confidence: 0.9,
  latencyWeight: 0,
  ratingCost: 0.1,
  ratingTimeMs: 50,
  mayCascade: true,
  mayExplore: false,
  explorationShare: 0.02,
  draw: 0.5,
};

interface Case {
  readonly title: string;
  readonly change: Partial<ChainInput>;
  readonly expected: string;
}

const CASES: readonly Case[] = [
  { title: 'the cheapest model that meets the target', change: {}, expected: 'small' },
  {
    title: 'the stronger model at a high target',
    change: { qualityTarget: 0.9 },
    expected: 'large',
  },
  {
    title: 'an uncertain estimate does not meet the target',
    change: { candidates: [createCandidate('small', 0.65, 0.1, 1, 100), LARGE], mayCascade: false },
    expected: 'large',
  },
  {
    title: 'a deadline excludes the slow model',
    change: { qualityTarget: 0.9, deadlineMs: 1_000 },
    expected: 'small',
  },
  {
    title: 'exploration tries a cheaper model',
    change: {
      candidates: [createCandidate('small', 0.65, 0.1, 1, 100), LARGE],
      mayExplore: true,
      mayCascade: false,
      draw: 0.01,
    },
    expected: 'small',
  },
  {
    title: 'the best model if none meets the target, regardless of the latency weight',
    change: { latencyWeight: 1_000, qualityTarget: 0.99 },
    expected: 'large',
  },
];

for (const { title, change, expected } of CASES) {
  test(`chain: ${title}`, (t) => {
    t.is(chooseChain({ ...QUESTION, ...change })?.steps[0]?.model, expected);
  });
}

test('a cascade is chosen between a weak and an expensive model, unless the deadline is too short', (t) => {
  const bins = [0, 0, 0, 0.3, 0, 0, 0, 0, 0.7, 0];
  const weak = { ...SMALL, first: { ...SMALL.first, bins } };
  const plan = chooseChain({ ...QUESTION, candidates: [weak, LARGE], qualityTarget: 0.8 });
  t.deepEqual(
    plan?.steps.map((step) => step.model),
    ['small', 'large'],
  );
  const late = chooseChain({
    ...QUESTION,
    candidates: [weak, LARGE],
    qualityTarget: 0.8,
    deadlineMs: 1_700,
  });
  t.deepEqual(
    late?.steps.map((step) => step.model),
    ['large'],
  );
});

const candidateArbitrary = fc
  .tuple(
    fc.double({ min: 0, max: 1, noNaN: true }),
    fc.double({ min: 0, max: 0.3, noNaN: true }),
    fc.integer({ min: 1, max: 50 }),
  )
  .map(([quality, error, cost]) => ({ quality, error, cost }));

test('a chain uses each candidate at most once, and has one step if cascades are not allowed', (t) => {
  fc.assert(
    fc.property(
      fc.array(candidateArbitrary, { minLength: 1, maxLength: 5 }),
      fc.double({ min: 0, max: 1, noNaN: true }),
      fc.boolean(),
      fc.boolean(),
      fc.double({ min: 0, max: 1, noNaN: true }),
      (items, qualityTarget, mayCascade, mayExplore, draw) => {
        const candidates = items.map(({ quality, error, cost }, index) =>
          createCandidate(`m${index}`, quality, error, cost, 100),
        );
        const plan = chooseChain({
          ...QUESTION,
          candidates,
          qualityTarget,
          mayCascade,
          mayExplore,
          draw,
        });
        const names = plan?.steps.map((step) => step.model) ?? [];
        const known = new Set(candidates.map((candidate) => candidate.model));
        return (
          names.length >= 1 &&
          names.every((name) => known.has(name)) &&
          new Set(names).size === names.length &&
          (mayCascade || names.length === 1)
        );
      },
    ),
    { seed: 7, numRuns: 300 },
  );
  t.pass();
});

test('estimates move from the prior to the ratings, can be shared, and decay', (t) => {
  const readDraw = createDraw(1);
  const name = { organisation: 'o', task: 't', model: 'm', version: 'v', isEscalated: false };
  const prior = { quality: 0.5, timeMs: 100, cost: 1 };
  const estimates = createEstimates({ halfLifeMs: 3_600_000 });
  t.is(estimates.estimate(name, prior, 0).quality.mean, 0.5);
  for (let index = 0; index < 300; index += 1) {
    estimates.record(name, { type: 'rated', score: sampleScore(readDraw, 0.9) }, index);
  }
  const learned = estimates.estimate(name, prior, 300);
  t.true(Math.abs(learned.quality.mean - 0.9) < 0.03);
  const other = createEstimates({ halfLifeMs: 3_600_000 });
  estimates.listChanged(300).forEach((cell) => other.updateShared(cell));
  t.true(Math.abs(other.estimate(name, prior, 300).quality.mean - learned.quality.mean) < 1e-9);
  t.deepEqual(estimates.listChanged(300), []);
  const later = estimates.estimate(name, prior, 300 + 10 * 3_600_000);
  t.true(later.quality.error > 3 * learned.quality.error);
});
