import test from 'ava';
import fc from 'fast-check';
import {
  canHedge,
  chooseAdmission,
  chooseEndpoint,
  chooseSubset,
  createEndpointHealth,
  createRetryBudget,
  MAX_EJECTED_SHARE,
  RETRY_RESERVE,
  type EndpointCandidate,
  type EndpointInput,
} from '..';

test('repeated runs stay within the retry budget', (t) => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 2_000 }), (events) => {
      const budget = createRetryBudget(() => 0.1);
      let firsts = 0;
      let repeats = 0;
      for (const isFirst of events) {
        if (isFirst) {
          budget.recordFirstRun();
          firsts += 1;
        } else if (budget.acquire()) repeats += 1;
        if (repeats > RETRY_RESERVE + 0.1 * firsts + 1e-6) return false;
      }
      return true;
    }),
    { seed: 1, numRuns: 100 },
  );
  t.pass();
});

const createCandidate = (
  endpoint: string,
  zone: string,
  inFlight: number,
  change: Partial<EndpointCandidate> = {},
): EndpointCandidate => ({
  endpoint,
  zone,
  slots: 4,
  inFlight,
  slowStartFactor: 1,
  isEjected: false,
  ...change,
});

const QUESTION: EndpointInput = {
  candidates: [],
  zone: 'z1',
  entry: 'e1',
  subsetSize: 8,
  excluded: new Set(),
  draws: [0, 0],
};

interface Case {
  readonly title: string;
  readonly change: Partial<EndpointInput>;
  readonly expected: string | undefined;
}

const CASES: readonly Case[] = [
  { title: 'no candidates', change: {}, expected: undefined },
  {
    title: 'the own zone first',
    change: { candidates: [createCandidate('a', 'z2', 0), createCandidate('b', 'z1', 3)] },
    expected: 'b',
  },
  {
    title: 'another zone when the own zone is full',
    change: { candidates: [createCandidate('a', 'z2', 0), createCandidate('b', 'z1', 12)] },
    expected: 'a',
  },
  {
    title: 'the less loaded of two endpoints',
    change: { candidates: [createCandidate('a', 'z1', 3), createCandidate('b', 'z1', 1)] },
    expected: 'b',
  },
  {
    title: 'a recent load report counts, an old one does not',
    change: {
      candidates: [
        createCandidate('a', 'z1', 1, { reportedLoad: 9, reportAgeMs: 100 }),
        createCandidate('b', 'z1', 2, { reportedLoad: 9, reportAgeMs: 9_000 }),
      ],
    },
    expected: 'b',
  },
  {
    title: 'ejected endpoints are skipped',
    change: {
      candidates: [
        createCandidate('a', 'z1', 0, { isEjected: true }),
        createCandidate('b', 'z1', 3),
      ],
    },
    expected: 'b',
  },
  {
    title: 'an ejected endpoint is used if there is no other',
    change: { candidates: [createCandidate('a', 'z1', 0, { isEjected: true })] },
    expected: 'a',
  },
  {
    title: 'an endpoint with a cached prefix is preferred',
    change: {
      candidates: [
        createCandidate('a', 'z1', 0),
        createCandidate('b', 'z1', 0, { cachedShare: 0.9 }),
      ],
      affinity: 's',
    },
    expected: 'b',
  },
  {
    title: 'an endpoint with a cached prefix is not preferred above the load bound',
    change: {
      candidates: [
        createCandidate('a', 'z1', 0),
        createCandidate('b', 'z1', 4, { cachedShare: 0.9 }),
      ],
      affinity: 's',
    },
    expected: 'a',
  },
];

for (const { title, change, expected } of CASES) {
  test(`endpoint: ${title}`, (t) => {
    t.is(chooseEndpoint({ ...QUESTION, ...change })?.endpoint, expected);
  });
}

test('a subset keeps its other endpoints when one endpoint is removed', (t) => {
  const all = Array.from({ length: 40 }, (_unused, index) => ({ endpoint: `n${index}` }));
  const before = chooseSubset(all, 'e1', 8);
  const after = new Set(
    chooseSubset(
      all.filter((item) => item !== before[0]),
      'e1',
      8,
    ).map((item) => item.endpoint),
  );
  t.is(before.slice(1).filter((item) => !after.has(item.endpoint)).length, 0);
});

test('failing endpoints are ejected up to the limit and return after a successful probe', (t) => {
  const health = createEndpointHealth();
  const endpoints = ['a', 'b', 'c', 'd'];
  endpoints.slice(0, 3).forEach((endpoint) => {
    for (let count = 0; count < 3; count += 1) health.record(endpoint, 'm@v', 'failed', 0);
  });
  t.is(health.listEjected(endpoints, 10).size, endpoints.length * MAX_EJECTED_SHARE);
  t.true(health.isOpen('a', 'm@v', 10));
  t.false(health.isOpen('a', 'm@v', 1_000));
  t.true(health.isOpen('a', 'm@v', 1_001));
  health.record('a', 'm@v', 'ok', 1_010);
  t.false(health.isOpen('a', 'm@v', 1_020));
  t.false(health.listEjected(endpoints, 1_020).has('a'));
});

test('a new endpoint goes through slow start', (t) => {
  const health = createEndpointHealth();
  health.add('a', 0);
  t.is(health.readSlowStartFactor('a', 0), 0.1);
  t.is(health.readSlowStartFactor('a', 10_000), 1);
});

test('admission refuses requests that would wait too long and returns a retry time', (t) => {
  const base = { class: 'urgent', runMs: 100, ahead: 10, servedPerMs: 0.1 } as const;
  t.like(chooseAdmission(base), { type: 'admitted', waitLimitMs: 1_000 });
  t.like(chooseAdmission({ ...base, ahead: 1_000 }), { type: 'refused', retryAfterSeconds: 9 });
  t.like(chooseAdmission({ ...base, remainingMs: 90 }), { type: 'refused' });
  t.like(chooseAdmission({ ...base, class: 'deferrable', ahead: 1_000 }), { type: 'admitted' });
});

test('only slow urgent idempotent calls without an answer are hedged', (t) => {
  const base = {
    class: 'urgent',
    isIdempotent: true,
    hasAnswer: false,
    waitedMs: 300,
    p95TimeMs: 200,
  } as const;
  t.true(canHedge(base));
  t.false(canHedge({ ...base, isIdempotent: false }));
  t.false(canHedge({ ...base, class: 'normal' }));
  t.false(canHedge({ ...base, hasAnswer: true }));
  t.false(canHedge({ ...base, waitedMs: 100 }));
});
