import test from 'ava';
import { computeBillRows } from '../admin/bills';
import type { BillsQuery } from '../../shared';

const createUsage = (model: string, cost: number) => ({
  model,
  version: 'v1',
  inputTokens: 10,
  outputTokens: 5,
  cost,
});

const BILLS = [
  { organisation: 'a', usage: [createUsage('small', 0.1)], at: Date.UTC(2026, 0, 31, 23, 59) },
  {
    organisation: 'a',
    usage: [createUsage('small', 0.2), createUsage('large', 3)],
    at: Date.UTC(2026, 1, 1),
  },
  { organisation: 'b', usage: [createUsage('small', 0.1)], at: Date.UTC(2026, 1, 1) },
];

const TOTALS = [
  {
    organisation: 'a',
    model: 'small',
    version: 'v1',
    hour: Date.UTC(2026, 0, 31, 22),
    requests: 100,
    inputTokens: 1_000,
    outputTokens: 500,
    cost: 10,
  },
];

const CASES: readonly {
  readonly title: string;
  readonly query: BillsQuery;
  readonly rows: readonly string[];
}[] = [
  {
    title: 'by month, including the totals of older hours',
    query: { period: 'month' },
    rows: [
      'a 2026-01 small 101 1010 505 10.1',
      'a 2026-02 large 1 10 5 3',
      'a 2026-02 small 0 10 5 0.2',
      'b 2026-02 small 1 10 5 0.1',
    ],
  },
  {
    title: 'of one organisation and model over all time',
    query: { period: 'all', organisation: 'a', model: 'small' },
    rows: ['a all small 101 1020 510 10.3'],
  },
  {
    title: 'from a given day on',
    query: { period: 'day', from: '2026-02-01' },
    rows: [
      'a 2026-02-01 large 1 10 5 3',
      'a 2026-02-01 small 0 10 5 0.2',
      'b 2026-02-01 small 1 10 5 0.1',
    ],
  },
  {
    title: 'before a given time',
    query: { period: 'hour', to: '2026-01-31T23:00:00Z' },
    rows: ['a 2026-01-31T22:00Z small 100 1000 500 10'],
  },
];

for (const { title, query, rows } of CASES) {
  test(`bills ${title}`, (t) => {
    const lines = computeBillRows(BILLS, TOTALS, query).map((row) =>
      [
        row.organisation,
        row.period,
        row.model,
        row.requests,
        row.inputTokens,
        row.outputTokens,
        row.cost,
      ].join(' '),
    );
    t.deepEqual(lines, rows);
  });
}
