import test from 'ava';
import { createLimitTable, type LimitReport } from '..';

const createReport = (fields: Partial<LimitReport> = {}): LimitReport => ({
  endpoint: 'e',
  requestsPerSecond: 2,
  ageMs: 0,
  wanted: 10,
  ...fields,
});

test('limit table: tokens are granted at the rate of the limit, to whoever asks first', (t) => {
  const table = createLimitTable();
  const acquireTokens = (now: number, wanted = 10): number =>
    table.share({ limits: [createReport({ wanted })] }, now).limits[0]!.granted;
  t.is(acquireTokens(0), 0, 'tokens that another control host granted may still be held');
  t.is(acquireTokens(1_500), 0);
  t.is(acquireTokens(2_500, 1), 1);
  t.is(acquireTokens(2_500), 1);
  t.is(acquireTokens(2_500), 0);
  t.is(acquireTokens(60_000), 2, 'unused tokens do not add up');
});

const merges = [
  { name: 'a newer limit', reports: [{}, { requestsPerSecond: 3, ageMs: 50 }], limit: 3 },
  { name: 'an older limit', reports: [{}, { requestsPerSecond: 3, ageMs: 500 }], limit: 2 },
  { name: 'the end of a limit', reports: [{}, { requestsPerSecond: undefined, ageMs: 50 }] },
  {
    name: 'an older end',
    reports: [{}, { requestsPerSecond: undefined, ageMs: 500 }],
    limit: 2,
  },
] as const;

for (const { name, reports, ...rest } of merges) {
  test(`limit table: ${name}`, (t) => {
    const table = createLimitTable();
    table.share({ limits: [createReport(reports[0])] }, 1_000);
    table.share({ limits: [createReport(reports[1])] }, 1_100);
    const [limit] = table.share({ limits: [] }, 1_100).limits;
    t.is(limit?.requestsPerSecond, 'limit' in rest ? rest.limit : undefined);
  });
}

test('limit table: a gateway gets what changed, and all of it from a new control host', (t) => {
  const table = createLimitTable('one');
  const { cursor } = table.share({ limits: [createReport()] }, 0);
  t.deepEqual(table.share({ limits: [], cursor }, 10).limits, []);
  table.share({ limits: [createReport({ requestsPerSecond: 5 })] }, 20);
  t.is(table.share({ limits: [], cursor }, 20).limits.length, 1);
  const other = { table: 'two', revision: cursor.revision };
  t.is(table.share({ limits: [], cursor: other }, 20).limits.length, 1);
});

test('limit table: its size, its answers and the time of a limit are bounded', (t) => {
  const table = createLimitTable();
  const createMany = (round: number): readonly LimitReport[] =>
    Array.from({ length: 500 }, (_item, index) =>
      createReport({ endpoint: `${round}-${index}`, wanted: 0 }),
    );
  for (let round = 0; round < 12; round += 1) table.share({ limits: createMany(round) }, 0);
  let count = 0;
  let { cursor, limits } = table.share({ limits: [] }, 0);
  while (limits.length > 0) {
    t.true(limits.length <= 200);
    count += limits.length;
    ({ cursor, limits } = table.share({ limits: [], cursor }, 0));
  }
  t.is(count, 5_000);
  t.deepEqual(table.share({ limits: [] }, 60_001).limits, []);
});
