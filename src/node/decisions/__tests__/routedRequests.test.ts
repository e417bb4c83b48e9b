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
  prefillMs: 600,
  uncachedPrefixTokens: 10_000,
  isWarmingUp: false,
  isEjected: false,
};

const placeAmong = (list: readonly Partial<EngineCandidate>[], affinity = 'm|p') =>
  placeEngineRequest({
    candidates: list.map((fields, index) => ({ ...ENGINE, id: `e-${index}`, ...fields })),
    affinity,
    timeLeftMs: 3_000,
    pauseTargetMs: 800,
  });

const placements = [
  {
    name: 'skips an endpoint whose queue makes the request late',
    list: [{ queueMs: 2_500 }, {}],
    chosen: ['e-1'],
  },
  { name: 'skips an ejected endpoint', list: [{ isEjected: true }, {}], chosen: ['e-1'] },
  {
    name: 'uses an ejected endpoint if there is no other',
    list: [{ isEjected: true }],
    chosen: ['e-0'],
  },
  {
    name: 'prefers the endpoint that has cached the prefix to idle ones',
    list: [{}, { unreadShared: 0, readMs: 100, queueMs: 400 }, {}],
    chosen: ['e-1'],
  },
  {
    name: 'skips the endpoint that has cached the prefix if the request would be late there',
    list: [{ unreadShared: 0, readMs: 100, queueMs: 2_900 }, {}],
    chosen: ['e-1'],
  },
  {
    name: 'prefers an endpoint where it goes before no other work',
    list: [
      { uncachedPrefixTokens: 0, queueMs: 400 },
      { uncachedPrefixTokens: 0, queueMs: 200, displacedMs: 2_000 },
    ],
    chosen: ['e-0'],
  },
  {
    name: 'prefers an endpoint where its prefill breaks the pause target of fewer streams',
    list: [
      { uncachedPrefixTokens: 0, running: 4, queueMs: 600 },
      { uncachedPrefixTokens: 0, running: 40, queueMs: 300 },
    ],
    chosen: ['e-0'],
  },
  {
    name: 'ignores streams while its prefill breaks no pause target',
    list: [
      { uncachedPrefixTokens: 0, running: 4, prefillMs: 50, queueMs: 300 },
      { uncachedPrefixTokens: 0, running: 40, prefillMs: 50 },
    ],
    chosen: ['e-1'],
  },
  { name: 'skips a full endpoint', list: [{ running: 80 }, { queueMs: 500 }], chosen: ['e-1'] },
  { name: 'refuses if all endpoints are full', list: [{ running: 80 }], chosen: [] },
  { name: 'refuses without endpoints', list: [], chosen: [] },
] as const;

for (const { name, list, chosen } of placements) {
  test(`engine placement: ${name}`, (t) => {
    const placement = placeAmong(list);
    t.deepEqual(placement.type === 'placed' ? [placement.candidate.id] : [], [...chosen]);
    if (placement.type === 'refused') t.true(placement.retryAfterMs > 0);
  });
}

// Gateways that see the same loads choose the same preferred endpoint without communication.
test('engine placement: the preferred endpoints of prefixes spread over all endpoints', (t) => {
  const prefixPlacements = Array.from({ length: 200 }, (_item, part) =>
    placeAmong([{}, {}, {}, {}], `m|${part}`),
  );
  const preferredCounts = new Map<string, number>();
  for (const place of prefixPlacements) {
    const id = place.type === 'placed' ? place.candidate.id : '';
    preferredCounts.set(id, (preferredCounts.get(id) ?? 0) + 1);
  }
  t.is(preferredCounts.size, 4);
  t.true([...preferredCounts.values()].every((count) => count > 25));
});

// Cold start: a gateway sends a burst of requests with one hot prefix and sees its own load.
test('engine placement: a hot prefix spreads before its preferred endpoint makes requests late', (t) => {
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
  { name: 'prefers the own zone at equal load', list: [{ isOwnZone: false }, {}], chosen: 'e-1' },
  {
    name: 'uses another zone if the own zone is loaded',
    list: [{ isOwnZone: false }, { running: 5 }],
    chosen: 'e-0',
  },
  {
    name: 'skips an ejected endpoint in the own zone',
    list: [{ isEjected: true }, { isOwnZone: false }],
    chosen: 'e-1',
  },
  { name: 'refuses if all endpoints are full', list: [{ running: 18 }], chosen: undefined },
] as const;

for (const { name, list, chosen } of plainPlacements) {
  test(`plain placement: ${name}`, (t) => {
    const candidates = list.map((fields, index) => ({ ...plain, id: `e-${index}`, ...fields }));
    const place = placeRequest({ candidates, requestId: 'r' });
    t.is(place.type === 'placed' ? place.id : undefined, chosen);
  });
}

// Endpoints fail at once: the retries of all gateways together stay within the configured share.
test('window budget: a share of the requests in the window plus slack divided by the gateways', (t) => {
  const budget = createWindowBudget({ ratio: 0.9, slack: 56, windowMs: 10_000 });
  for (let now = 0; now < 100; now += 1) budget.recordRequest(now);
  let taken = 0;
  while (budget.acquire(200, 5)) taken += 1;
  t.is(taken, Math.floor(0.8 * (0.9 * 100 + 56 / 5)));
  t.false(budget.canAcquire(9_000, 5));
  t.true(budget.canAcquire(20_000, 1), 'the slack is available again in a new window');
});

const shutdowns = [
  { kind: 'stream', sinceSignalMs: 1_000, limitMs: 12_000, isTaken: true },
  { kind: 'stream', sinceSignalMs: 3_000, limitMs: 12_000, isTaken: false },
  { kind: 'once', sinceSignalMs: 3_000, limitMs: 1_500, isTaken: true },
  { kind: 'once', sinceSignalMs: 6_500, limitMs: 1_500, isTaken: false },
] as const;

for (const { kind, sinceSignalMs, limitMs, isTaken } of shutdowns) {
  test(`admission during shutdown: ${kind} ${sinceSignalMs} ms after the signal`, (t) => {
    t.is(canAdmitDuringShutdown({ kind, sinceSignalMs, limitMs, graceMs: 7_400 }), isTaken);
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
  { name: 'no regression, first half', change: {}, to: 'hold' },
  { name: 'no regression, second half', change: { elapsedMs: 13_000 }, to: 'early' },
  {
    name: 'few answers and little time left',
    change: { elapsedMs: 14_000, cells: [createCell(0, 12)] },
    to: 'early',
  },
  { name: 'early stage passed', change: { stage: 'early', elapsedMs: 15_000 }, to: 'ramp' },
  {
    name: 'ramp stage with few answers',
    change: { stage: 'ramp', elapsedMs: 17_000, cells: [createCell(0, 30)] },
    to: 'hold',
  },
  {
    name: 'late roll-out after a shortened full stage',
    change: { stage: 'full', elapsedMs: 21_800, stageMs: 1_500, cells: [createCell(0, 90)] },
    to: 'completed',
  },
  {
    name: 'full stage not yet long enough for old work to finish',
    change: { stage: 'full', elapsedMs: 18_000, stageMs: 1_500, cells: [createCell(0, 90)] },
    to: 'hold',
  },
  { name: 'too few answers', change: { elapsedMs: 13_000, cells: [createCell(0, 5)] }, to: 'hold' },
  { name: 'too few endpoints', change: { elapsedMs: 13_000, readyCandidates: 2 }, to: 'hold' },
  { name: 'half of the answers fail', change: { cells: [createCell(10, 20)] }, to: 'rolledBack' },
  { name: 'a single failure', change: { cells: [createCell(1, 20)] }, to: 'hold' },
  { name: 'eight times as slow', change: { cells: [createCell(0, 20, 800)] }, to: 'rolledBack' },
  {
    name: 'twice as slow, as with empty caches',
    change: { cells: [createCell(0, 20, 200)] },
    to: 'hold',
  },
  {
    name: 'fails on one route only',
    change: { cells: [createCell(0, 60), createCell(7, 12)] },
    to: 'rolledBack',
  },
  {
    name: 'fails only under full load',
    change: { stage: 'full', cells: [createCell(60, 160)] },
    to: 'rolledBack',
  },
  {
    name: 'full stage has lasted long enough',
    change: { stage: 'full', elapsedMs: 20_000, cells: [createCell(1, 200)] },
    to: 'completed',
  },
  {
    name: 'already completed',
    change: { stage: 'completed', cells: [createCell(20, 20)] },
    to: 'hold',
  },
];

for (const { name, change, to } of verdicts) {
  test(`service roll-out: ${name}`, (t) => {
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

test('version choice: the canary stage gets a small share, and sessions keep their version', (t) => {
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
  const older = { ...QUESTION, mayPredateRollout: true };
  t.false(
    subjects.some((subject) =>
      chooseServiceVersion({ ...older, hashKey: subject }).isPreferred('v2'),
    ),
  );
});

const withoutRollout = [
  { name: 'keeps its version', rollout: undefined, bound: 'v1', retired: [], preferred: ['v1'] },
  {
    name: 'keeps its version after a roll-back',
    rollout: { ...ROLLOUT, stage: 'rolledBack' as const },
    bound: 'v1',
    retired: ['v2'],
    preferred: ['v1'],
  },
  {
    name: 'of a retired version gets another version',
    rollout: undefined,
    bound: 'v2',
    retired: ['v2'],
    preferred: ['v1'],
  },
  {
    name: 'that is new may get any version',
    rollout: undefined,
    bound: undefined,
    retired: [],
    preferred: ['v1', 'v2'],
  },
];

// The endpoints of a new version register while the gateway cannot reach the leading control host.
for (const { name, rollout, bound, retired, preferred } of withoutRollout) {
  test(`version choice without a known roll-out: a session ${name}`, (t) => {
    const choice = chooseServiceVersion({ ...QUESTION, rollout, retired, sessionVersion: bound });
    t.deepEqual(['v1', 'v2'].filter(choice.isPreferred), preferred);
  });
}

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
  test(`allowed versions of a roll-out that is ${name}`, (t) => {
    const choice = chooseServiceVersion({ ...QUESTION, ...change });
    t.deepEqual(['v1', 'v2'].filter(choice.isAllowed), allowed);
  });
}

test('weighted services: traffic follows the weights', (t) => {
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

test('prefill rates: low samples get a larger weight, since waits only increase a delay', (t) => {
  const rates = createPrefillRates([
    { name: 'small', cost: 1 },
    { name: 'large', cost: 15 },
  ]);
  const endpoint = { incarnation: 'e-0|1', now: 0 };
  const estimateWhole = (model: string): number =>
    rates.estimate(model, { uncachedTokens: 10_000, promptTokens: 10_000 }, endpoint);
  const record = (unreadTokens: number, delayMs: number): void =>
    rates.record(
      'small',
      { uncachedTokens: unreadTokens, promptTokens: unreadTokens },
      delayMs,
      endpoint,
    );
  t.true(estimateWhole('large') > 5 * estimateWhole('small'));
  const before = estimateWhole('small');
  record(10_000, 10_000);
  t.true(estimateWhole('small') < 10 * before + 200);
  for (let sample = 0; sample < 40; sample += 1) record(10_000, 20);
  t.true(estimateWhole('small') < 30);
  const known = estimateWhole('small');
  record(100, 0);
  t.is(estimateWhole('small'), known);
});

// Prefill time grows faster than the prompt length, also for the rest of a prompt with a cached
// prefix.
test('prefill rates: later tokens of a prompt take longer', (t) => {
  const start = computePrefillWork({ uncachedTokens: 10_000, promptTokens: 10_000 });
  const whole = computePrefillWork({ uncachedTokens: 40_000, promptTokens: 40_000 });
  const end = computePrefillWork({ uncachedTokens: 10_000, promptTokens: 40_000 });
  t.true(whole > 4.5 * start);
  t.true(end > start && end < whole / 2);
  t.is(computePrefillWork({ uncachedTokens: 0, promptTokens: 40_000 }), 0);
});
