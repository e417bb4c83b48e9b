import test from 'ava';
import pino from 'pino';
import { createColdTable, shareColdParams } from '..';

const RATE = 8.8;

const createTable = (readTerm: () => number | undefined) =>
  createColdTable({
    log: pino({ level: 'silent' }),
    bounds: { overage: 1.5, slack: 5 },
    findColdStart: (service) =>
      service === 's' ? { durationMs: 3_000, requestsPerSecond: RATE } : undefined,
    readLeader: () => {
      const term = readTerm();
      return term === undefined ? undefined : { term };
    },
  });

type Table = ReturnType<typeof createTable>;

const countGranted = (table: Table, now: number, permits = 10, service = 's'): number => {
  const wanted = [{ endpoint: 'e', service, permits }];
  return table.share({ wanted, doubts: [] }, now).granted[0]?.permits ?? 0;
};

// Guards against a host that grants permits without a quorum, and against two hosts that both do.
test('cold table: only a confirmed leader grants, and each term starts in debt', (t) => {
  let term: number | undefined;
  const table = createTable(() => term);
  t.is(countGranted(table, 0), 0);
  term = 1;
  t.is(countGranted(table, 10_000), 0, 'the leader before may still grant');
  t.is(countGranted(table, 11_000), 3);
  t.is(countGranted(table, 11_000), 0);
  term = undefined;
  t.is(countGranted(table, 15_000), 0);
  term = 1;
  t.is(countGranted(table, 15_000), 3, 'no other host led in this term');
  term = 3;
  t.is(countGranted(table, 20_000), 0, 'another host may have led in between');
  t.is(countGranted(table, 21_000), 3);
});

test('cold table: a service without a rate gets no permits', (t) => {
  const table = createTable(() => 1);
  countGranted(table, 0);
  t.is(countGranted(table, 10_000, 10, 'other'), 0);
});

// Guards against a rate below 0.9 of what the bound is for, while demand is high.
for (const intervalMs of [5, 40, 150, 230, 300]) {
  test(`cold table: the rate is granted in calls every ${intervalMs} ms`, (t) => {
    const table = createTable(() => 1);
    countGranted(table, 0);
    let granted = 0;
    for (let now = 1_000; now < 61_000; now += intervalMs) granted += countGranted(table, now, 10);
    t.true(granted >= 0.9 * RATE * 60, `${granted}`);
    t.true(granted <= 3.1 + RATE * 60, `${granted}`);
  });
}

// Guards against a gateway that sends to an endpoint whose loss only another one has seen.
test('cold table: doubts are passed on for a while, also by a host that does not lead', (t) => {
  const table = createTable(() => undefined);
  table.share({ wanted: [], doubts: [{ endpoint: 'e|1', ageMs: 100 }] }, 1_000);
  const listDoubts = (now: number) => table.share({ wanted: [], doubts: [] }, now).doubts;
  t.deepEqual(listDoubts(1_500), [{ endpoint: 'e|1', ageMs: 600 }]);
  t.deepEqual(listDoubts(9_000), []);
});

test('cold table: reports of other forms are refused', (t) => {
  t.true(shareColdParams.safeParse({ wanted: [], doubts: [] }).success);
  const item = { endpoint: 'e', service: 's', permits: 1 };
  t.false(shareColdParams.safeParse({ wanted: Array(501).fill(item), doubts: [] }).success);
  t.false(shareColdParams.safeParse({ wanted: [{ ...item, permits: 0 }], doubts: [] }).success);
});
