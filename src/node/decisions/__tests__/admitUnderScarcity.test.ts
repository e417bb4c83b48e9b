import test from 'ava';
import fc from 'fast-check';
import {
  admitUnderScarcity,
  computePlacesLimit,
  computeRankLimitMs,
  computeUseRatio,
  computeWeightedLevel,
  isWaitingAtEndpoints,
  type RankTarget,
  type ScarcityInput,
} from '..';

const TARGETS: readonly RankTarget[] = [
  { rank: 0, targetMs: 2_000 },
  { rank: 1, targetMs: 2_000 },
  { rank: 2, targetMs: 6_000 },
];

const RUNS = { seed: 1, numRuns: 500 };

const targetsArbitrary = fc.array(
  fc.record({
    rank: fc.integer({ min: 0, max: 4 }),
    targetMs: fc.integer({ min: 50, max: 9_000 }),
  }),
  { minLength: 2, maxLength: 6 },
);

const inputArbitrary: fc.Arbitrary<ScarcityInput> = fc
  .record({
    rank: fc.integer({ min: 0, max: 4 }),
    targets: targetsArbitrary,
    targetMs: fc.integer({ min: 50, max: 9_000 }),
    targetLeftMs: fc.integer({ min: -3_000, max: 9_000 }),
    limitLeftMs: fc.integer({ min: 0, max: 25_000 }),
    queueMs: fc.integer({ min: 0, max: 5_000 }),
    prefillMs: fc.integer({ min: 0, max: 5_000 }),
    pool: fc.record({
      pendingMs: fc.integer({ min: 0, max: 10_000 }),
      takenFraction: fc.double({ min: 0, max: 2, noNaN: true }),
      endpoints: fc.integer({ min: 1, max: 100 }),
      ageMs: fc.integer({ min: 0, max: 5_000 }),
    }),
    waitingAheadMs: fc.integer({ min: 0, max: 5_000 }),
    isAnyAhead: fc.boolean(),
    isAnyWaiting: fc.boolean(),
    isReturner: fc.boolean(),
    useRatio: fc.double({ min: 0, max: 10, noNaN: true }),
    canWait: fc.boolean(),
    spread: fc.double({ min: 0, max: 1, noNaN: true }),
  })
  .map((input) => ({
    ...input,
    isAnyWaiting: input.isAnyWaiting || input.isAnyAhead,
    waitingAheadMs: input.isAnyAhead ? input.waitingAheadMs : 0,
  }));

const checkAll = (holds: (input: ScarcityInput) => boolean): void =>
  fc.assert(fc.property(inputArbitrary, holds), RUNS);

// Guards against refusals by gateways whose pool has room, for example after a short peak.
test('nothing is refused while under half of the places are taken and nothing waits', (t) => {
  checkAll(
    (input) =>
      input.isAnyWaiting ||
      input.pool.takenFraction >= 0.5 ||
      isWaitingAtEndpoints(input.pool, input.targets) ||
      admitUnderScarcity(input).type !== 'refuse',
  );
  t.pass();
});

// Guards against waits in a calm pool, which must behave as if there were no admission.
test('a request runs at once if the pool is below its limit and none goes before it', (t) => {
  checkAll((input) => {
    const { type, limitMs } = admitUnderScarcity(input);
    const isPlaceFree = input.pool.takenFraction < computePlacesLimit(input.rank, input.targets);
    return !isPlaceFree || input.isAnyAhead || input.pool.pendingMs > limitMs || type === 'run';
  });
  t.pass();
});

// Guards against callers that are held until an answer is late, or beyond the route's timeout.
test('no request waits past its target or the limit of its caller', (t) => {
  checkAll((input) => {
    const verdict = admitUnderScarcity(input);
    return (
      verdict.type !== 'wait' ||
      (verdict.waitMs > 0 && verdict.waitMs <= Math.min(input.targetLeftMs, input.limitLeftMs))
    );
  });
  t.pass();
});

// Guards against an inversion of the order between kinds.
test('a more urgent request runs wherever a less urgent one would', (t) => {
  checkAll((input) => {
    if (admitUnderScarcity(input).type !== 'run' || input.rank === 0) return true;
    return admitUnderScarcity({ ...input, rank: input.rank - 1 }).type === 'run';
  });
  t.pass();
});

// Guards against returning callers that are refused where new ones run.
test('a returning request runs wherever a new one would', (t) => {
  checkAll(
    (input) =>
      admitUnderScarcity({ ...input, isReturner: false }).type !== 'run' ||
      admitUnderScarcity({ ...input, isReturner: true }).type === 'run',
  );
  t.pass();
});

// Guards against an organisation that is refused altogether, and one that gains by its excess.
test('the limit falls with the use of the organisation, but never to zero', (t) => {
  checkAll((input) => {
    const { limitMs } = admitUnderScarcity(input);
    const higher = admitUnderScarcity({ ...input, useRatio: input.useRatio + 1 }).limitMs;
    return higher > 0 && higher <= limitMs;
  });
  t.pass();
});

// Guards against callers that return at once or at the same moment.
test('the times to return are bounded and spread', (t) => {
  checkAll((input) => {
    const verdict = admitUnderScarcity(input);
    return (
      verdict.type !== 'refuse' || (verdict.retryAfterMs >= 180 && verdict.retryAfterMs <= 10_000)
    );
  });
  const input: ScarcityInput = {
    rank: 2,
    targets: TARGETS,
    targetMs: 6_000,
    targetLeftMs: 6_000,
    limitLeftMs: 12_000,
    queueMs: 8_000,
    prefillMs: 100,
    pool: { pendingMs: 8_000, takenFraction: 0.8, endpoints: 10, ageMs: 100 },
    waitingAheadMs: 0,
    isAnyAhead: false,
    isAnyWaiting: true,
    isReturner: false,
    useRatio: 1,
    canWait: true,
    spread: 0,
  };
  const times = [0, 0.5, 1].map((spread) => {
    const verdict = admitUnderScarcity({ ...input, spread });
    return verdict.type === 'refuse' ? verdict.retryAfterMs : 0;
  });
  t.true(times[0]! > 6_000 && times[1]! > times[0]! && times[2]! > times[1]!, String(times));
});

// Guards against limits that let less urgent work make a more urgent kind late.
test('the limit of a rank is below the targets of all more urgent routes', (t) => {
  fc.assert(
    fc.property(targetsArbitrary, fc.integer({ min: 0, max: 5 }), (targets, rank) => {
      const limitMs = computeRankLimitMs(rank, 9_000, targets);
      return targets.every((target) => target.rank >= rank || limitMs < target.targetMs);
    }),
    RUNS,
  );
  t.true(computeRankLimitMs(2, 6_000, TARGETS) < computeRankLimitMs(1, 2_000, TARGETS));
  t.true(computeRankLimitMs(1, 2_000, TARGETS) < computeRankLimitMs(0, 2_000, TARGETS));
});

const worksArbitrary = fc.array(
  fc.record({
    demand: fc.integer({ min: 0, max: 1_000 }),
    weight: fc.integer({ min: 1, max: 100 }),
  }),
  { minLength: 1, maxLength: 12 },
);

// Guards against shares that exceed the capacity or leave a part of it unused.
test('weighted max-min shares use the whole capacity, or meet all demands', (t) => {
  fc.assert(
    fc.property(worksArbitrary, fc.integer({ min: 1, max: 5_000 }), (works, capacity) => {
      const level = computeWeightedLevel(works, capacity);
      const given = works.reduce(
        (sum, { demand, weight }) => sum + Math.min(demand, level * weight),
        0,
      );
      const wanted = works.reduce((sum, { demand }) => sum + demand, 0);
      return Math.abs(given - Math.min(capacity, wanted)) < 1e-6;
    }),
    RUNS,
  );
  t.pass();
});

// Guards against a hot organisation whose excess is paid by the others.
test('only an organisation above its usual share has a high use ratio', (t) => {
  const usual = { demand: 10, use: 8, weight: 10 };
  const hot = { demand: 60, use: 48, weight: 10 };
  const works = [usual, usual, usual, usual, hot];
  t.true(computeUseRatio(usual, works) < 1);
  t.true(computeUseRatio(hot, works) > 1.1);
});
