import test from 'ava';
import pino from 'pino';
import type { EndpointReport } from '../../registry';
import { createEndpointBackoffs } from '../endpointBackoffs';

const REPORT: EndpointReport = {
  id: 'e-1',
  startedAt: 1,
  sequence: 1,
  service: 's',
  address: '127.0.0.1:1',
  zone: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  warmupMs: 0,
  models: [],
};

const cases = [
  { name: 'within its time', refusals: [{ at: 0, backoffMs: 3_000 }], now: 2_999, end: 3_000 },
  { name: 'after its time', refusals: [{ at: 0, backoffMs: 3_000 }], now: 3_000, end: undefined },
  {
    name: 'after a second refusal with a shorter time',
    refusals: [
      { at: 0, backoffMs: 3_000 },
      { at: 100, backoffMs: 500 },
    ],
    now: 1_000,
    end: 3_000,
  },
  {
    name: 'after a second refusal with a longer time',
    refusals: [
      { at: 0, backoffMs: 500 },
      { at: 100, backoffMs: 3_000 },
    ],
    now: 1_000,
    end: 3_100,
  },
  {
    name: 'that would last for years',
    refusals: [{ at: 0, backoffMs: 1e12 }],
    now: 1_000,
    end: 3_600_000,
  },
  {
    name: 'of an endpoint that has started again',
    refusals: [{ at: 0, backoffMs: 3_000 }],
    now: 1_000,
    startedAt: 2,
    end: undefined,
  },
] as const;

for (const { name, refusals, now, end, ...rest } of cases) {
  test(`back-off of an endpoint ${name}`, (t) => {
    const backoffs = createEndpointBackoffs(pino({ level: 'silent' }));
    refusals.forEach(({ at, backoffMs }) =>
      backoffs.record({ endpoint: REPORT, request: 'r', backoffMs }, at),
    );
    backoffs.expire(now);
    const startedAt = 'startedAt' in rest ? rest.startedAt : REPORT.startedAt;
    t.is(backoffs.findEnd({ ...REPORT, startedAt }, now), end);
  });
}
