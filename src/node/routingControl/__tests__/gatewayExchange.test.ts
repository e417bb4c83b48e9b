import test from 'ava';
import pino from 'pino';
import {
  createColdTable,
  createExchangeHandler,
  createLimitTable,
  createLoadAggregator,
  createSessionDirectory,
  createSpeedTable,
  createSuspectDirectory,
  exchangeParams,
} from '..';

const createHandler = () =>
  createExchangeHandler(
    {
      loads: createLoadAggregator('loads'),
      sessions: createSessionDirectory('sessions'),
      suspects: createSuspectDirectory('suspects'),
      limits: createLimitTable('limits'),
      cold: createColdTable({
        log: pino({ level: 'silent' }),
        bounds: undefined,
        findColdStart: () => undefined,
        readLeader: () => undefined,
      }),
      speeds: createSpeedTable('speeds'),
    },
    pino({ level: 'silent' }),
  );

const LOADS = { loads: [{ endpoint: 'e', running: 1, readMs: 10 }], reads: [] };
const SESSIONS = {
  sessionMs: 1_000,
  recorded: [{ service: 's', session: 'one', version: 'v1' }],
  claimed: [],
};

test('gateway exchange: each topic is answered from the reports of the other gateways', (t) => {
  const handle = createHandler();
  handle({ gateway: 'a', loads: LOADS, sessions: SESSIONS }, 0);
  const claimed = [{ service: 's', session: 'one', version: 'v2' }];
  const answer = handle({ gateway: 'b', loads: LOADS, sessions: { ...SESSIONS, claimed } }, 10);
  t.deepEqual(answer.loads?.loads, LOADS.loads);
  t.deepEqual(answer.sessions?.bound, SESSIONS.recorded);
});

const cases = [
  { name: 'loads', params: { gateway: 'a', loads: LOADS } },
  { name: 'sessions', params: { gateway: 'a', sessions: SESSIONS } },
  { name: 'suspects', params: { gateway: 'a', suspects: { suspects: [] } } },
  { name: 'limits', params: { gateway: 'a', limits: { limits: [] } } },
  { name: 'cold', params: { gateway: 'a', cold: { wanted: [], doubts: [] } } },
  { name: 'speeds', params: { gateway: 'a', speeds: { samples: [] } } },
] as const;

for (const { name, params } of cases) {
  test(`gateway exchange: a call with only '${name}' is answered for that topic alone`, (t) => {
    t.deepEqual(Object.keys(createHandler()(params, 0)), [name]);
  });
}

const LIMIT = { endpoint: 'e', ageMs: 0, wanted: 0 };

const refusals = [
  {
    name: 'a negative limit',
    topic: 'limits',
    report: { limits: [{ ...LIMIT, requestsPerSecond: -1 }] },
  },
  {
    name: 'too many limits',
    topic: 'limits',
    report: { limits: Array.from({ length: 501 }, () => LIMIT) },
  },
  { name: 'a report of another form', topic: 'suspects', report: 'none' },
  { name: 'a topic of a later version', topic: 'weather', report: {}, isIgnored: true },
] as const;

for (const { name, topic, report, ...rest } of refusals) {
  test(`gateway exchange: other topics are answered beside ${name}`, (t) => {
    const params = exchangeParams.safeParse({ gateway: 'a', loads: LOADS, [topic]: report });
    t.true(params.success, 'the call as a whole is accepted');
    if (!params.success) return;
    const answer = createHandler()(params.data, 0);
    t.truthy(answer.loads);
    t.false(topic in answer);
    t.deepEqual(Object.keys(answer.refused ?? {}), 'isIgnored' in rest ? [] : [topic]);
  });
}
