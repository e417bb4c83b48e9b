import test from 'ava';
import {
  canAdmitDuringShutdown,
  chooseServiceVersion,
  chooseWeightedService,
  computePrefillWork,
  createPrefillRates,
  createWindowBudget,
  EMPTY_TALLY,
  judgeServiceRollout,
  placeEngineRequest,
  placeRequest,
  type EngineCandidate,
  type RolloutCell,
  type ServiceRolloutInput,
} from '..';

const ENGINE: EngineCandidate = {
  id: 'e-0',
  isOwnZone: true,
  slots: 64,
  running: 0,
  queueMs: 0,
  readMs: 600,
  unreadShared: 10_000,
  isWarmingUp: false,
  isEjected: false,
};

const placeAmong = (list: readonly Partial<EngineCandidate>[], affinity = 'm|p') =>
  placeEngineRequest({
    candidates: list.map((fields, index) => ({ ...ENGINE, id: `e-${index}`, ...fields })),
    affinity,
    timeLeftMs: 3_000,
  });

const placements = [
  { name: 'a queue that makes it late', list: [{ queueMs: 2_500 }, {}], chosen: ['e-1'] },
  { name: 'failing endpoints', list: [{ isEjected: true }, {}], chosen: ['e-1'] },
  { name: 'all failing: better than nothing', list: [{ isEjected: true }], chosen: ['e-0'] },
  {
    name: 'the one that holds the beginning, although others are idle',
    list: [{}, { unreadShared: 0, readMs: 100, queueMs: 400 }, {}],
    chosen: ['e-1'],
  },
  {
    name: 'not the one that holds it once it would be late there',
    list: [{ unreadShared: 0, readMs: 100, queueMs: 2_900 }, {}],
    chosen: ['e-1'],
  },
  { name: 'full endpoints', list: [{ running: 80 }, { queueMs: 500 }], chosen: ['e-1'] },
  { name: 'none with a place', list: [{ running: 80 }], chosen: [] },
  { name: 'none at all', list: [], chosen: [] },
] as const;

for (const { name, list, chosen } of placements) {
  test(`placement of a prompt: ${name}`, (t) => {
    const placement = placeAmong(list);
    t.deepEqual(placement.type === 'placed' ? [placement.candidate.id] : [], [...chosen]);
    if (placement.type === 'refused') t.true(placement.retryAfterMs > 0);
  });
}

// Several gateways see the same loads; they agree on the home of a part without talking.
test('placement of a prompt: one home for a part, many homes for many parts', (t) => {
  const places = Array.from({ length: 200 }, (_item, part) =>
    placeAmong([{}, {}, {}, {}], `m|${part}`),
  );
  const homes = new Map<string, number>();
  for (const place of places) {
    const id = place.type === 'placed' ? place.candidate.id : '';
    homes.set(id, (homes.get(id) ?? 0) + 1);
  }
  t.is(homes.size, 4);
  t.true([...homes.values()].every((count) => count > 25));
});

// The pattern of a cold start: a burst of one hot part that a gateway sends while it sees its own load.
test('placement of a prompt: a hot part spreads before its home makes requests late', (t) => {
  const queues = [0, 0, 0, 0];
  for (let request = 0; request < 40; request += 1) {
    const place = placeAmong(queues.map((queueMs) => ({ queueMs })));
    if (place.type === 'placed') queues[Number(place.candidate.id.slice(2))]! += 300;
  }
  t.true(Math.max(...queues) < 2 * Math.min(...queues) + 1_000, String(queues));
});

const plain = {
  id: 'p',
  isOwnZone: true,
  slots: 6,
  running: 0,
  isWarmingUp: false,
  isEjected: false,
};

const plainPlacements = [
  { name: 'at home among equals', list: [{ isOwnZone: false }, {}], chosen: 'e-1' },
  { name: 'away when home is busy', list: [{ isOwnZone: false }, { running: 5 }], chosen: 'e-0' },
  {
    name: 'not at a failing one',
    list: [{ isEjected: true }, { isOwnZone: false }],
    chosen: 'e-1',
  },
  { name: 'nowhere when all are full', list: [{ running: 18 }], chosen: undefined },
] as const;

for (const { name, list, chosen } of plainPlacements) {
  test(`placement of a plain call: ${name}`, (t) => {
    const candidates = list.map((fields, index) => ({ ...plain, id: `e-${index}`, ...fields }));
    const place = placeRequest({ candidates, requestId: 'r' });
    t.is(place.type === 'placed' ? place.id : undefined, chosen);
  });
}

test('budget of repeats: share of the window, slack divided by the gateways', (t) => {
  const budget = createWindowBudget({ ratio: 0.9, slack: 56, windowMs: 10_000 });
  for (let now = 0; now < 100; now += 1) budget.recordRequest(now);
  let taken = 0;
  while (budget.acquire(200, 5)) taken += 1;
  t.is(taken, Math.floor(0.8 * (0.9 * 100 + 56 / 5)));
  t.false(budget.canAcquire(9_000, 5));
  t.true(budget.canAcquire(20_000, 1), 'a new window has the slack again');
});

const stops = [
  { kind: 'stream', sinceStopMs: 1_000, limitMs: 12_000, isTaken: true },
  { kind: 'stream', sinceStopMs: 3_000, limitMs: 12_000, isTaken: false },
  { kind: 'once', sinceStopMs: 3_000, limitMs: 1_500, isTaken: true },
  { kind: 'once', sinceStopMs: 6_500, limitMs: 1_500, isTaken: false },
] as const;

for (const { kind, sinceStopMs, limitMs, isTaken } of stops) {
  test(`stopping gateway: ${kind} ${sinceStopMs} ms after the signal`, (t) => {
    t.is(
      canAdmitDuringShutdown({ kind, sinceSignalMs: sinceStopMs, limitMs, graceMs: 7_400 }),
      isTaken,
    );
  });
}

const createCell = (failures: number, count: number, timeMs = 100): RolloutCell => {
  const log = Math.log(timeMs);
  const baseLog = Math.log(100);
  const times = { times: count, logTimeSum: count * log, logTimeSquares: count * log * log };
  const candidate = { ...EMPTY_TALLY, requests: count, errors: failures, ...times };
  const baseTimes = { times: 200, logTimeSum: 200 * baseLog, logTimeSquares: 200 * baseLog ** 2 };
  const baseline = { ...EMPTY_TALLY, requests: 200, errors: 4, ...baseTimes };
  return { organisation: 'all', task: 't', isHighValue: false, candidate, baseline };
};

const FACTS: ServiceRolloutInput = {
  stage: 'canary',
  elapsedMs: 5_000,
  stageMs: 5_000,
  durationMs: 24_000,
  readyCandidates: 8,
  readyBaselines: 8,
  cells: [createCell(0, 30)],
};

const verdicts: readonly {
  readonly name: string;
  readonly change: Partial<ServiceRolloutInput>;
  readonly to: string;
}[] = [
  { name: 'good, but in the first half', change: {}, to: 'hold' },
  { name: 'good, in the second half', change: { elapsedMs: 13_000 }, to: 'early' },
  {
    name: 'few answers, but little time is left',
    change: { elapsedMs: 14_000, cells: [createCell(0, 12)] },
    to: 'early',
  },
  { name: 'a first part has moved', change: { stage: 'early', elapsedMs: 15_000 }, to: 'ramp' },
  {
    name: 'half has moved, with few answers',
    change: { stage: 'ramp', elapsedMs: 17_000, cells: [createCell(0, 30)] },
    to: 'hold',
  },
  {
    name: 'behind its time, all traffic for a moment',
    change: { stage: 'full', elapsedMs: 21_800, stageMs: 1_500, cells: [createCell(0, 90)] },
    to: 'completed',
  },
  {
    name: 'all traffic, old work is still under way',
    change: { stage: 'full', elapsedMs: 18_000, stageMs: 1_500, cells: [createCell(0, 90)] },
    to: 'hold',
  },
  { name: 'too few answers', change: { elapsedMs: 13_000, cells: [createCell(0, 5)] }, to: 'hold' },
  { name: 'too few endpoints', change: { elapsedMs: 13_000, readyCandidates: 2 }, to: 'hold' },
  { name: 'half of the answers fail', change: { cells: [createCell(10, 20)] }, to: 'rolledBack' },
  { name: 'one failure is no proof', change: { cells: [createCell(1, 20)] }, to: 'hold' },
  { name: 'eight times as slow', change: { cells: [createCell(0, 20, 800)] }, to: 'rolledBack' },
  {
    name: 'twice as slow with empty caches',
    change: { cells: [createCell(0, 20, 200)] },
    to: 'hold',
  },
  {
    name: 'fails on one route only',
    change: { cells: [createCell(0, 60), createCell(7, 12)] },
    to: 'rolledBack',
  },
  {
    name: 'fails under all of the load',
    change: { stage: 'full', cells: [createCell(60, 160)] },
    to: 'rolledBack',
  },
  {
    name: 'all traffic for long enough',
    change: { stage: 'full', elapsedMs: 20_000, cells: [createCell(1, 200)] },
    to: 'completed',
  },
  { name: 'ended', change: { stage: 'completed', cells: [createCell(20, 20)] }, to: 'hold' },
];

for (const { name, change, to } of verdicts) {
  test(`roll-out of a routed service: ${name}`, (t) => {
    const verdict = judgeServiceRollout({ ...FACTS, ...change });
    t.is(verdict.type === 'move' ? verdict.to : 'hold', to);
  });
}

const ROLLOUT = { service: 's', target: 'v2', durationMs: 24_000, stage: 'canary' } as const;
const QUESTION = {
  rollout: ROLLOUT,
  retired: [],
  hashKey: 'x',
  sessionVersion: undefined,
  mayPredateRollout: false,
  exposureShare: 0.15,
};

test('version of a request: a small share at first, and a session stays on its version', (t) => {
  const subjects = Array.from({ length: 4_000 }, (_item, index) => `subject-${index}`);
  const count = subjects.filter((subject) =>
    chooseServiceVersion({ ...QUESTION, hashKey: subject }).isPreferred('v2'),
  ).length;
  t.true(count / subjects.length < 0.15 && count / subjects.length > 0.05);
  const bound = { ...QUESTION, sessionVersion: 'v1' };
  t.false(
    subjects.some((subject) =>
      chooseServiceVersion({ ...bound, hashKey: subject }).isPreferred('v2'),
    ),
  );
  const older = { ...QUESTION, mayBeOlder: true };
  t.false(
    subjects.some((subject) =>
      chooseServiceVersion({ ...older, hashKey: subject }).isPreferred('v2'),
    ),
  );
});

const allowances = [
  {
    name: 'rolled back',
    change: { rollout: { ...ROLLOUT, stage: 'rolledBack' as const }, retired: ['v2'] },
    allowed: ['v1'],
  },
  {
    name: 'completed',
    change: { rollout: { ...ROLLOUT, stage: 'completed' as const } },
    allowed: ['v2'],
  },
  { name: 'running', change: {}, allowed: ['v1', 'v2'] },
];

for (const { name, change, allowed } of allowances) {
  test(`versions allowed by a roll-out that is ${name}`, (t) => {
    const choice = chooseServiceVersion({ ...QUESTION, ...change });
    t.deepEqual(['v1', 'v2'].filter(choice.isAllowed), allowed);
  });
}

test('weights of a route: each subject keeps its service, shares are kept', (t) => {
  const targets = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
    { service: 'c', weight: 0 },
  ];
  const chosen = Array.from({ length: 5_000 }, (_item, index) =>
    chooseWeightedService(targets, `${index}`),
  );
  const share = chosen.filter((service) => service === 'b').length / chosen.length;
  t.true(share > 0.08 && share < 0.12);
  t.false(chosen.includes('c'));
});

test('rates of reading: waiting only adds, so low samples count for much', (t) => {
  const rates = createPrefillRates([
    { name: 'small', cost: 1 },
    { name: 'large', cost: 15 },
  ]);
  const readWhole = (model: string): number =>
    rates.estimate(model, { unreadTokens: 10_000, promptTokens: 10_000 });
  const record = (unreadTokens: number, delayMs: number): void =>
    rates.record('small', { unreadTokens, promptTokens: unreadTokens }, delayMs);
  t.true(readWhole('large') > 5 * readWhole('small'));
  const before = readWhole('small');
  record(10_000, 10_000);
  t.true(readWhole('small') < 10 * before + 200);
  for (let sample = 0; sample < 40; sample += 1) record(10_000, 20);
  t.true(readWhole('small') < 30);
  const known = readWhole('small');
  record(100, 0);
  t.is(readWhole('small'), known);
});

// A long prompt takes more than its share of time, and so does the end of one whose beginning is held.
test('rates of reading: later tokens of a prompt take longer', (t) => {
  const start = computePrefillWork({ unreadTokens: 10_000, promptTokens: 10_000 });
  const whole = computePrefillWork({ unreadTokens: 40_000, promptTokens: 40_000 });
  const end = computePrefillWork({ unreadTokens: 10_000, promptTokens: 40_000 });
  t.true(whole > 4.5 * start);
  t.true(end > start && end < whole / 2);
  t.is(computePrefillWork({ unreadTokens: 0, promptTokens: 40_000 }), 0);
});
