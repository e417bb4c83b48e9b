import test from 'ava';
import {
  createExchangeHandler,
  createLimitTable,
  createLoadAggregator,
  createSessionDirectory,
  createSuspectDirectory,
} from '..';

const createHandler = () =>
  createExchangeHandler({
    loads: createLoadAggregator('loads'),
    sessions: createSessionDirectory('sessions'),
    suspects: createSuspectDirectory('suspects'),
    limits: createLimitTable('limits'),
  });

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
] as const;

for (const { name, params } of cases) {
  test(`gateway exchange: a call with only '${name}' is answered for that topic alone`, (t) => {
    t.deepEqual(Object.keys(createHandler()(params, 0)), [name]);
  });
}
