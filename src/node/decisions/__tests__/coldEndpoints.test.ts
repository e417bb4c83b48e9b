import test from 'ava';
import {
  addDoubt,
  computePermitRetryMs,
  computePermitTerms,
  computeWantedPermits,
  createPermitBucket,
  grantPermits,
  LEADER_CONFIRMED_MS,
  resolveColdState,
  updateObservation,
  type ColdObservation,
} from '..';

const RATE = { requestsPerSecond: 8.8, overage: 1.5, slack: 5 };
const TERMS = computePermitTerms(RATE);
const TRANSIT_MS = 100;

const rates = [
  { name: 'the rate of both customers', rate: RATE },
  { name: 'a low rate', rate: { ...RATE, requestsPerSecond: 0.5 } },
  { name: 'a high rate', rate: { ...RATE, requestsPerSecond: 80 } },
  { name: 'no slack', rate: { ...RATE, slack: 0 } },
  { name: 'no overage', rate: { ...RATE, overage: 1 } },
  { name: 'neither', rate: { ...RATE, overage: 1, slack: 0 } },
] as const;

// Guards against a lifetime with which permits in hand and new ones exceed the bound together.
for (const { name, rate } of rates) {
  test(`permits used as late as possible keep within the bound: ${name}`, (t) => {
    const terms = computePermitTerms(rate);
    const { requestsPerSecond, overage, slack } = rate;
    const span = (1_000 + terms.lifetimeMs + TRANSIT_MS) / 1_000;
    const most = terms.lifetimeMs > 0 ? terms.maxKept + requestsPerSecond * span : 0;
    t.true(most <= requestsPerSecond * overage + slack + 1e-9, `${most}`);
    t.true(terms.lifetimeMs >= 0);
  });
}

test('the lifetime covers the pause between two calls of a gateway', (t) => {
  t.true(TERMS.lifetimeMs > 600 && TERMS.lifetimeMs < 620, `${TERMS.lifetimeMs}`);
});

// Guards against a new leader that grants what the one before has granted as well.
test('a new leader grants nothing while the one before may grant, then from an empty bucket', (t) => {
  const bucket = createPermitBucket(TERMS, 1_000);
  const countAt = (now: number): number => grantPermits(bucket, TERMS, 10, now).granted;
  t.is(countAt(1_000 + LEADER_CONFIRMED_MS), 0);
  t.is(countAt(1_000 + LEADER_CONFIRMED_MS + 100), 0);
  t.is(countAt(1_000 + LEADER_CONFIRMED_MS + 120), 1);
  t.is(countAt(60_000), 3, 'permits that no gateway asked for do not add up');
});

const BASE: ColdObservation = { sequence: 10, warmupMs: 0, arrivedAt: 0, doubt: undefined };

const observations = [
  { name: 'a warm report', reports: [], state: 'warm' },
  { name: 'a cold report', reports: [{ at: 900, sequence: 11, warmupMs: 3_000 }], state: 'cold' },
  {
    name: 'a cold report whose time has passed since its arrival',
    reports: [{ at: 900, sequence: 11, warmupMs: 50 }],
    state: 'warm',
  },
  {
    name: 'a late cold report after a warm one',
    reports: [{ at: 900, sequence: 9, warmupMs: 3_000 }],
    state: 'warm',
  },
  { name: 'a lost connection', doubtAt: 500, reports: [], state: 'unknown' },
  {
    name: 'a lost connection and a report that may have been made before',
    doubtAt: 500,
    reports: [{ at: 600, sequence: 200, warmupMs: 0 }],
    state: 'unknown',
  },
  {
    name: 'a lost connection and a report that was made afterwards',
    doubtAt: 500,
    reports: [
      { at: 600, sequence: 200, warmupMs: 0 },
      { at: 800, sequence: 202, warmupMs: 0 },
    ],
    state: 'warm',
  },
  {
    name: 'a lost connection and a cold report that was made afterwards',
    doubtAt: 500,
    reports: [
      { at: 600, sequence: 200, warmupMs: 0 },
      { at: 800, sequence: 202, warmupMs: 1_000 },
    ],
    state: 'cold',
  },
] as const;

// Guards against an endpoint that is taken for warm by what was reported before it became cold.
for (const { name, reports, state, ...rest } of observations) {
  test(`state of an endpoint after ${name}`, (t) => {
    let seen = 'doubtAt' in rest ? addDoubt(BASE, rest.doubtAt) : BASE;
    reports.forEach(({ at, ...report }) => {
      seen = updateObservation(seen, report, at);
    });
    t.is(resolveColdState(seen, 1_000), state);
  });
}

const demands = [
  { name: 'no demand', demand: { requestsPerSecond: 0, endpoints: 1, held: 0 }, wanted: 0 },
  { name: 'little demand', demand: { requestsPerSecond: 1, endpoints: 15, held: 0 }, wanted: 1 },
  { name: 'permits in hand', demand: { requestsPerSecond: 1, endpoints: 1, held: 1 }, wanted: 0 },
  { name: 'high demand', demand: { requestsPerSecond: 900, endpoints: 1, held: 0 }, wanted: 10 },
] as const;

// Guards against a gateway that takes permits which it cannot use from the others.
for (const { name, demand, wanted } of demands) {
  test(`permits wanted with ${name}`, (t) => {
    t.is(computeWantedPermits(demand, TERMS), wanted);
  });
}

const shortages = [
  { name: 'one caller', requestsPerSecond: 1, retryMs: 250 },
  { name: 'more callers than permits', requestsPerSecond: 8.8, retryMs: 1_000 },
  { name: 'many callers', requestsPerSecond: 800, retryMs: 3_000 },
] as const;

// Guards against callers that return together before there is a permit.
for (const { name, requestsPerSecond, retryMs } of shortages) {
  test(`retry time without a permit: ${name}`, (t) => {
    const shortage = { requestsPerSecond, endpoints: 15, gateways: 15 };
    t.is(Math.round(computePermitRetryMs(shortage, TERMS)), retryMs);
  });
}
