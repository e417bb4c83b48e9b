import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import pino from 'pino';
import { Left, Right, type Either } from 'purify-ts';
import { createError, type RouterError } from '../../errors';
import type { ExchangeAnswer, ExchangeParams } from '../../routingControl';
import type { RpcClient } from '../../rpc';
import { createPeerExchange, isRefusedReport, type AnyExchangeTopic } from '../peerExchange';

const LOADS = { loads: [], reads: [] };
const SESSIONS = { sessionMs: 1_000, recorded: [], claimed: [] };
const LOADS_ANSWER = { loads: [], reads: [], cursor: { board: 'one', next: 0 } };
const SESSIONS_ANSWER = { directory: 'one', bound: [], isIncomplete: false };

type Answer = Either<RouterError, ExchangeAnswer>;

const failure: Answer = Left(createError({ type: 'unavailable', message: 'lost', step: 'test' }));

const createTopics = (hasSessions: boolean, events: string[]): readonly AnyExchangeTopic[] => {
  const createHandlers = (name: string) => ({
    applyAnswer: (answer: object) => {
      if ('isBroken' in answer) throw new Error('broken');
      events.push(`${name} answered`);
    },
    handleFailure: (error: RouterError) => {
      events.push(isRefusedReport(error) ? `${name} refused` : `${name} failed`);
    },
  });
  return [
    { name: 'loads', createReport: () => ({ report: LOADS, ...createHandlers('loads') }) },
    {
      name: 'sessions',
      createReport: () =>
        hasSessions ? { report: SESSIONS, ...createHandlers('sessions') } : undefined,
    },
  ];
};

const cases = [
  {
    name: 'all topics share one call',
    hasSessions: true,
    answer: Right({ loads: LOADS_ANSWER, sessions: SESSIONS_ANSWER }) as Answer,
    sent: { gateway: 'g', loads: LOADS, sessions: SESSIONS },
    events: ['loads answered', 'sessions answered'],
  },
  {
    name: 'a topic with nothing to report is left out',
    hasSessions: false,
    answer: Right({ loads: LOADS_ANSWER }) as Answer,
    sent: { gateway: 'g', loads: LOADS },
    events: ['loads answered'],
  },
  {
    name: 'a failed call fails every topic',
    hasSessions: true,
    answer: failure,
    sent: { gateway: 'g', loads: LOADS, sessions: SESSIONS },
    events: ['loads failed', 'sessions failed'],
  },
  {
    name: 'a topic without an answer fails',
    hasSessions: true,
    answer: Right({ sessions: SESSIONS_ANSWER }) as Answer,
    sent: { gateway: 'g', loads: LOADS, sessions: SESSIONS },
    events: ['loads failed', 'sessions answered'],
  },
  {
    name: 'a refused topic does not affect the others',
    hasSessions: true,
    answer: Right({ sessions: SESSIONS_ANSWER, refused: { loads: 'too many' } }) as Answer,
    sent: { gateway: 'g', loads: LOADS, sessions: SESSIONS },
    events: ['loads refused', 'sessions answered'],
  },
  {
    name: 'an answer that cannot be applied does not affect the others',
    hasSessions: true,
    answer: Right({
      loads: { ...LOADS_ANSWER, isBroken: true },
      sessions: SESSIONS_ANSWER,
    }) as Answer,
    sent: { gateway: 'g', loads: LOADS, sessions: SESSIONS },
    events: ['loads failed', 'sessions answered'],
  },
] as const;

for (const { name, hasSessions, answer, sent, events: expected } of cases) {
  test(`exchange with other gateways: ${name}`, async (t) => {
    const events: string[] = [];
    const calls: unknown[] = [];
    const exchange = createPeerExchange({
      gateway: 'g',
      rpc: {
        call: (async (_host: string, method: string, params: ExchangeParams) => {
          calls.push({ method, params });
          return answer;
        }) as RpcClient['call'],
      },
      log: pino({ level: 'silent' }),
      topics: createTopics(hasSessions, events),
      countGateways: () => 1,
      findControlHost: () => '127.0.0.1:1',
    });
    exchange.start();
    exchange.stop();
    while (calls.length === 0) await sleep(1);
    await sleep(1);
    t.deepEqual(calls, [{ method: 'gateway.exchange', params: sent }]);
    t.deepEqual(events, expected);
  });
}

test('exchange with other gateways: nothing is sent without a known control host', async (t) => {
  const exchange = createPeerExchange({
    gateway: 'g',
    rpc: { call: () => t.fail() },
    log: pino({ level: 'silent' }),
    topics: createTopics(true, []),
    countGateways: () => 1,
    findControlHost: () => undefined,
  });
  exchange.start();
  exchange.stop();
  await sleep(5);
  t.pass();
});

test('exchange with other gateways: a lost and a regained peer are logged once each', async (t) => {
  const lines: string[] = [];
  let calls = 0;
  const exchange = createPeerExchange({
    gateway: 'g',
    rpc: {
      call: (async () => {
        calls += 1;
        return calls > 2 ? Right({ loads: LOADS_ANSWER }) : failure;
      }) as RpcClient['call'],
    },
    log: pino({ level: 'info' }, { write: (line: string) => lines.push(line) }),
    topics: createTopics(false, []),
    countGateways: () => 1,
    findControlHost: () => '127.0.0.1:1',
  });
  exchange.start();
  while (calls < 4) await sleep(10);
  exchange.stop();
  const messages = lines.map((line) => (JSON.parse(line) as { readonly msg: string }).msg);
  t.deepEqual(messages, [
    'exchange with other gateways failed',
    'exchange with other gateways works again',
  ]);
});
