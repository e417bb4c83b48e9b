import test from 'ava';
import { resolveGatewayCount, type CountSample } from '../gatewayCount';

const NOW = 10_000;

const cases: readonly {
  readonly name: string;
  readonly known: readonly CountSample[];
  readonly count: number;
  readonly isFromLeader?: boolean;
  readonly expected: number;
}[] = [
  { name: 'the first answer', known: [], count: 5, expected: 5 },
  { name: 'a gateway joins', known: [{ count: 5, at: 9_600 }], count: 6, expected: 6 },
  {
    name: 'a new leader has not heard from all gateways yet',
    known: [
      { count: 68, at: 8_800 },
      { count: 2, at: 9_600 },
    ],
    count: 30,
    expected: 68,
  },
  {
    name: 'gateways that ended are no longer counted after a while',
    known: [
      { count: 68, at: 6_900 },
      { count: 40, at: 9_600 },
    ],
    count: 40,
    expected: 40,
  },
  {
    name: 'a host that is not the leader hears from few gateways',
    known: [{ count: 68, at: 3_000 }],
    count: 1,
    isFromLeader: false,
    expected: 68,
  },
];

for (const { name, known, count, isFromLeader = true, expected } of cases) {
  test(`count of gateways: ${name}`, (t) => {
    const samples = resolveGatewayCount(known, { count, isFromLeader, now: NOW });
    t.is(Math.max(...samples.map((sample) => sample.count)), expected);
    t.true(samples.length <= known.length + 1);
  });
}
