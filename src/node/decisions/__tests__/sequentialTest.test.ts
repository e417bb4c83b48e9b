import test from 'ava';
import { judgeRollout, findRolloutRegression, testFall, isInShare, computeShare } from '..';
import type { RolloutCell, RolloutRules, RolloutVerdict, Tally } from '..';
import { addObservation, EMPTY_TALLY, readScores } from '../tally';
import { createDraw, createRatedTally, sampleScore } from './samples';

const RULES: RolloutRules = {
  steps: [0.01, 0.05, 0.25, 1],
  minSamplesPerStep: 20,
  toleratedFall: 0.05,
  falseHaltRate: 0.05,
};

const RUNS = 400;
const SAMPLES = 300;

/**
 * Runs one comparison with a test after every observation; returns the index that showed a fall.
 */
const runComparison = (seed: number, candidateMean: number, baselineShare: number): number => {
  const readDraw = createDraw(seed);
  let candidate: Tally = EMPTY_TALLY;
  let baseline: Tally = EMPTY_TALLY;
  for (let index = 1; index <= SAMPLES; index += 1) {
    candidate = addObservation(candidate, {
      type: 'rated',
      score: sampleScore(readDraw, candidateMean),
    });
    for (let extra = 0; extra < baselineShare; extra += 1) {
      baseline = addObservation(baseline, { type: 'rated', score: sampleScore(readDraw, 0.8) });
    }
    const comparison = { candidate: readScores(candidate), baseline: readScores(baseline) };
    if (testFall({ ...comparison, alpha: 0.05, priorDeviation: 0.2 })) return index;
  }
  return Infinity;
};

const countFalls = (mean: number, baselineShare: number, limit = SAMPLES): number =>
  Array.from({ length: RUNS }, (_unused, seed) => runComparison(seed, mean, baselineShare)).filter(
    (index) => index <= limit,
  ).length;

for (const baselineShare of [1, 4]) {
  test(`an equal version is halted in at most 5% of runs, baseline ${baselineShare} to 1`, (t) => {
    t.true(countFalls(0.8, baselineShare) / RUNS <= 0.05);
  });
}

test('a quality drop of 30% is detected within 20 ratings in at least 95% of runs', (t) => {
  t.true(countFalls(0.56, 4, 20) / RUNS >= 0.95);
});

interface Case {
  readonly title: string;
  readonly candidates: readonly (readonly [organisation: string, scores: readonly number[]])[];
  readonly step: number;
  readonly expected: RolloutVerdict['type'];
}

const generateScores = (score: number, count: number): readonly number[] =>
  Array.from({ length: count }, (_unused, index) => score + (index % 2 === 0 ? 0.1 : -0.1));

const CASES: readonly Case[] = [
  {
    title: 'few ratings hold the step',
    candidates: [['a', generateScores(0.8, 5)]],
    step: 0,
    expected: 'hold',
  },
  {
    title: 'equal ratings advance to the next step',
    candidates: [['a', generateScores(0.8, 200)]],
    step: 0,
    expected: 'advance',
  },
  {
    title: 'a quality drop withdraws the version',
    candidates: [['a', generateScores(0.5, 30)]],
    step: 0,
    expected: 'withdraw',
  },
  {
    title: 'a quality drop for one organisation withdraws the version',
    candidates: [
      ['a', generateScores(0.8, 300)],
      ['b', generateScores(0.4, 25)],
    ],
    step: 1,
    expected: 'withdraw',
  },
  {
    title: 'high-value steps without high-value work advance',
    candidates: [['a', generateScores(0.8, 200)]],
    step: 5,
    expected: 'advance',
  },
  {
    title: 'the last step finishes the roll-out',
    candidates: [['a', generateScores(0.8, 200)]],
    step: 7,
    expected: 'finish',
  },
];

const createCells = (item: Case): readonly RolloutCell[] =>
  item.candidates.map(([organisation, scores]) => ({
    organisation,
    task: 'walk-in',
    isHighValue: false,
    candidate: createRatedTally(scores),
    baseline: createRatedTally(generateScores(0.8, 400)),
  }));

for (const item of CASES) {
  test(`roll-out: ${item.title}`, (t) => {
    t.is(judgeRollout(RULES, item.step, createCells(item)).type, item.expected);
  });
}

test('a higher error rate and a higher latency are regressions', (t) => {
  const addMany = (tally: Tally, failed: number, timeMs: number): Tally => {
    let next = tally;
    for (let index = 0; index < 100; index += 1) {
      next = addObservation(
        next,
        index < failed ? { type: 'failed' } : { type: 'answered', cost: 1, timeMs },
      );
    }
    return next;
  };
  const cell = {
    organisation: 'a',
    task: 'x',
    isHighValue: false,
    baseline: addMany(EMPTY_TALLY, 1, 100),
  };
  const failing = findRolloutRegression(
    [{ ...cell, candidate: addMany(EMPTY_TALLY, 40, 100) }],
    0.05,
  );
  const slow = findRolloutRegression([{ ...cell, candidate: addMany(EMPTY_TALLY, 1, 400) }], 0.05);
  t.regex(failing ?? '', /^errors/);
  t.regex(slow ?? '', /^latency/);
  t.is(
    findRolloutRegression([{ ...cell, candidate: addMany(EMPTY_TALLY, 1, 100) }], 0.05),
    undefined,
  );
});

test('high-value work gets a new version last, and a session keeps it as the share grows', (t) => {
  t.deepEqual(
    [0, 3, 4, 7].map((step) => computeShare(RULES.steps, step, true)),
    [0, 0, 0.01, 1],
  );
  t.deepEqual(
    [0, 3, 4].map((step) => computeShare(RULES.steps, step, false)),
    [0.01, 1, 1],
  );
  const sessions = Array.from({ length: 2_000 }, (_unused, index) => `s${index}`);
  const questions = sessions.map((session) => ({
    rollout: 'r',
    organisation: 'o',
    zone: 'z',
    session,
  }));
  const small = questions.filter((question) => isInShare(question, 0.05));
  t.true(small.length > 60 && small.length < 140);
  t.true(small.every((question) => isInShare(question, 0.25)));
});
