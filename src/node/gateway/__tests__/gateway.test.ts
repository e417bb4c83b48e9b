import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { startGateway, type CallOptions, type RouteFields, type SocketAnswer } from './harness';
import {
  close,
  closeByReset,
  createAnswer,
  createLastAnswer,
  ECHO,
  LONG_DEADLINE,
  LONG_ROUTE_TIMEOUT,
  PAUSE_MS,
} from './socketAnswers';

const sendNothing: SocketAnswer = () => {};

const formatFramed = (status: string, body: string, headers = ECHO): string =>
  `HTTP/1.1 ${status}\r\n${headers}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const good = createAnswer(formatFramed('200 OK', 'good'));
const failing = createAnswer(formatFramed('500 Internal Server Error', 'bad'));
const declining = createAnswer(
  formatFramed('503 Service Unavailable', '', `${ECHO}\r\n${HEADERS.notRun}: 1`),
);
const misdirected = createAnswer(formatFramed('421 Misdirected Request', ''));
const truncated = createAnswer(
  `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Length: 10\r\n\r\n0123`,
  close,
);
const closeDelimited = createAnswer(
  `HTTP/1.1 200 OK\r\n${ECHO}\r\nConnection: close\r\n\r\nhalf`,
  close,
);
const closeDelimitedReset = createAnswer(
  `HTTP/1.1 200 OK\r\n${ECHO}\r\nConnection: close\r\n\r\nhalf`,
  closeByReset,
);
// The reset is received together with the last bytes, as on a busy machine.
const closeDelimitedResetAtOnce: SocketAnswer = (socket) => {
  socket.write(`HTTP/1.1 200 OK\r\n${ECHO}\r\nConnection: close\r\n\r\nhalf`);
  closeByReset(socket);
};
const closeDelimitedLost = createLastAnswer(closeDelimited);
const closeDelimitedUnknown: SocketAnswer = (socket, head, stopListening, replaceProcess) => {
  replaceProcess({ sendDescription: closeByReset });
  closeDelimited(socket, head, stopListening, replaceProcess);
};
const mismatched = createAnswer(formatFramed('200 OK', 'other', `${HEADERS.requestId}: id-0`));
const encoded = createAnswer(formatFramed('200 OK', 'zzz', `${ECHO}\r\nContent-Encoding: gzip`));

const OTHER_ID = `${HEADERS.requestId}: id-0`;
const repeatedRefusal = createAnswer(
  formatFramed('503 Busy', 'busy', `${OTHER_ID}\r\n${HEADERS.notRun}: 1`),
);
const repeatedMisdirected = createAnswer(formatFramed('421 Misdirected', '', OTHER_ID));

const ONCE: RouteFields = { kind: 'once' };
const SAFE: RouteFields = { kind: 'idempotent' };

interface Case {
  readonly name: string;
  readonly route: RouteFields;
  readonly answers: readonly SocketAnswer[];
  readonly call?: CallOptions;
  readonly status: number;
  readonly body?: string;
  /** Number of requests that each endpoint receives. */
  readonly requestCounts: readonly number[];
}

const cases: readonly Case[] = [
  {
    name: 'complete response',
    route: SAFE,
    answers: [good],
    status: 200,
    body: 'good',
    requestCounts: [1],
  },
  {
    name: 'error response on a retryable route is retried',
    route: SAFE,
    answers: [failing, good],
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'error response on a non-retryable route is relayed',
    route: ONCE,
    answers: [failing, good],
    status: 500,
    body: 'bad',
    requestCounts: [1, 0],
  },
  {
    name: 'declined request is sent to another endpoint even on a non-retryable route',
    route: ONCE,
    answers: [declining, good],
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'another instance at the address (421) leads to another endpoint',
    route: ONCE,
    answers: [misdirected, good],
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'request that every endpoint declines',
    route: ONCE,
    answers: [declining, declining],
    status: 503,
    requestCounts: [1, 1],
  },
  {
    name: 'truncated response on a retryable route is retried',
    route: SAFE,
    answers: [truncated, good],
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'truncated response on a non-retryable route gives 502',
    route: ONCE,
    answers: [truncated, good],
    status: 502,
    requestCounts: [1, 0],
  },
  {
    name: 'response to another request',
    route: ONCE,
    answers: [mismatched, good],
    status: 502,
    requestCounts: [1, 0],
  },
  ...[
    { name: 'refusal', answer: repeatedRefusal },
    { name: 'misdirected response', answer: repeatedMisdirected },
  ].flatMap(({ name, answer }): readonly Case[] => [
    {
      name: `${name} of another request does not count as not run`,
      route: ONCE,
      answers: [answer, good],
      status: 502,
      requestCounts: [1, 0],
    },
    {
      name: `${name} of another request on a retryable route is retried`,
      route: SAFE,
      answers: [answer, good],
      status: 200,
      body: 'good',
      requestCounts: [1, 1],
    },
    {
      name: `${name} of another request everywhere on a retryable route gives 502`,
      route: SAFE,
      answers: [answer, answer],
      status: 502,
      requestCounts: [1, 1],
    },
  ]),
  {
    name: 'content encoding that was not requested',
    route: ONCE,
    answers: [encoded, good],
    status: 502,
    requestCounts: [1, 0],
  },
  {
    name: 'close-delimited response ended by a reset',
    route: ONCE,
    answers: [closeDelimitedReset, good],
    status: 502,
    requestCounts: [1, 0],
  },
  {
    name: 'close-delimited response on a non-retryable route is complete if the endpoint goes on',
    route: ONCE,
    answers: [closeDelimited, good],
    status: 200,
    body: 'half',
    requestCounts: [1, 0],
  },
  {
    name: 'close-delimited response of a lost endpoint on a non-retryable route gives 502',
    route: ONCE,
    answers: [closeDelimitedLost, good],
    status: 502,
    requestCounts: [1, 0],
  },
  {
    name: 'close-delimited response on a retryable route is complete if the endpoint goes on',
    route: SAFE,
    answers: [closeDelimited, good],
    status: 200,
    body: 'half',
    requestCounts: [1, 0],
  },
  {
    name: 'close-delimited response of a lost endpoint on a retryable route is retried',
    route: SAFE,
    answers: [closeDelimitedLost, good],
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'close-delimited response ended by a reset on a retryable route is retried',
    route: SAFE,
    answers: [closeDelimitedReset, good],
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'close-delimited response with a reset right after its last bytes',
    route: ONCE,
    answers: [closeDelimitedResetAtOnce, good],
    status: 502,
    requestCounts: [1, 0],
  },
  {
    name: 'close-delimited response with a reset right after its last bytes is retried',
    route: SAFE,
    answers: [closeDelimitedResetAtOnce, good],
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'possibly truncated response is not sent even if there is no other',
    route: SAFE,
    answers: [closeDelimitedLost],
    status: 502,
    requestCounts: [1],
  },
  {
    name: 'response of an endpoint that does not say who it is is requested from another one',
    route: SAFE,
    answers: [closeDelimitedUnknown, good],
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'response of an endpoint that does not say who it is stays as it came if others decline',
    route: SAFE,
    answers: [closeDelimitedUnknown, declining],
    status: 200,
    body: 'half',
    requestCounts: [1, 1],
  },
  {
    name: 'response of an endpoint that does not say who it is is not sent if another one fails',
    route: SAFE,
    answers: [closeDelimitedUnknown, truncated],
    status: 502,
    requestCounts: [1, 1],
  },
  {
    name: 'response of an endpoint that does not say who it is stays as it came if others are late',
    route: { ...SAFE, timeoutMs: 3_000, targetLatencyMs: 20_000 },
    answers: [closeDelimitedUnknown, sendNothing],
    status: 200,
    body: 'half',
    requestCounts: [1, 1],
  },
  {
    name: 'endpoint that does not respond, on a retryable route',
    route: { ...SAFE, ...LONG_ROUTE_TIMEOUT, targetLatencyMs: 300 },
    answers: [sendNothing, good],
    call: LONG_DEADLINE,
    status: 200,
    body: 'good',
    requestCounts: [1, 1],
  },
  {
    name: 'endpoint that does not respond before the route timeout',
    route: { ...ONCE, timeoutMs: 600 },
    answers: [sendNothing, good],
    status: 504,
    requestCounts: [1, 0],
  },
  {
    name: 'path without a route',
    route: SAFE,
    answers: [good],
    call: { path: '/b/' },
    status: 404,
    requestCounts: [0],
  },
  {
    name: 'unknown API key',
    route: SAFE,
    answers: [good],
    call: { headers: { [HEADERS.key]: 'other' } },
    status: 401,
    requestCounts: [0],
  },
  {
    name: 'public route without a valid API key',
    route: { ...SAFE, isPublic: true },
    answers: [good],
    call: { headers: { [HEADERS.key]: 'other' } },
    status: 200,
    requestCounts: [1],
  },
];

for (const { name, route, answers, call, status, body, requestCounts } of cases) {
  test(`response of the gateway: ${name}`, async (t) => {
    const gateway = await startGateway(route, answers);
    t.teardown(gateway.stop);
    const result = await gateway.call(call);
    t.is(result.status, status);
    if (body !== undefined) t.is(result.body, body);
    t.deepEqual(
      gateway.heads.map((heads) => heads.length),
      requestCounts,
    );
    // Without a length, a body looks complete when the gateway is killed before its end.
    t.is(Number(result.headers['content-length']), result.body.length);
    if (status >= 502) t.is(result.headers['x-response-signature'], undefined);
    if (status === 503) t.truthy(result.headers['retry-after']);
  });
}

test('headers that only the gateway may set are not forwarded from the caller', async (t) => {
  const gateway = await startGateway(SAFE, [good]);
  await gateway.call({
    headers: {
      [HEADERS.hold]: 'h',
      'Kv-From': 'a',
      [HEADERS.organisation]: 'other',
      Connection: 'X-Mine',
      'X-Mine': '1',
    },
  });
  const head = gateway.heads[0]![0]!;
  for (const name of ['x-hold', 'kv-from', 'x-mine', 'x-api-key']) {
    t.false(head.toLowerCase().includes(`${name}:`), name);
  }
  t.true(head.includes(`${HEADERS.organisation}: north`));
  t.true(head.includes(`${HEADERS.expectedEndpoint}: e-0`));
  await gateway.stop();
});

test('a session is bound to its version as soon as a request is sent', async (t) => {
  const gateway = await startGateway({ ...ONCE, timeoutMs: 300 }, [sendNothing]);
  const answer = gateway.call({ headers: { Session: 'one' } });
  while (gateway.heads[0]!.length === 0) await sleep(PAUSE_MS);
  t.is(gateway.findSessionVersion('one'), 'v1');
  t.is((await answer).status, 504);
  t.is(gateway.findSessionVersion('one'), 'v1');
  await gateway.stop();
});

test('a request is not sent on a lease that ran out while its session was looked up', async (t) => {
  let isLeased = true;
  const gateway = await startGateway(ONCE, [good], {
    hasLease: () => isLeased,
    // The process is paused, or the answer is late.
    bindUnknown: async () => {
      await sleep(PAUSE_MS);
      isLeased = false;
    },
  });
  t.teardown(gateway.stop);
  const result = await gateway.call({ headers: { Session: 's-1' } });
  t.is(result.status, 503);
  t.truthy(result.headers['retry-after']);
  t.is(gateway.heads[0]!.length, 0);
});
