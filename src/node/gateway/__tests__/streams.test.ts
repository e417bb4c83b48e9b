import { once } from 'node:events';
import { connect } from 'node:net';
import test from 'ava';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import {
  close,
  closeByReset,
  createAnswer,
  createLastAnswer,
  ECHO,
  LONG_DEADLINE,
  LONG_ROUTE_TIMEOUT,
} from './socketAnswers';

const SSE = `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

const formatChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const formatEvents = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_item, index) => `id: ${from + index}\ndata: x\n\n`)
    .map(formatChunk)
    .join('');

const END = '0\r\n\r\n';
const STREAM: RouteFields = { kind: 'stream', canResume: true };

interface StreamCase {
  readonly name: string;
  readonly route: RouteFields;
  readonly answers: readonly SocketAnswer[];
  readonly ids: readonly number[];
  readonly isComplete: boolean;
  /** Id of the last event sent to the second endpoint, which resumes the stream after it. */
  readonly resumedAfter?: string;
}

/** Creates the answers of an endpoint that answers its requests in turn. */
const createAnswers = (...answers: readonly SocketAnswer[]): SocketAnswer => {
  let count = 0;
  return (...connection) => {
    answers[count]!(...connection);
    count += 1;
  };
};

const completeStream = createAnswer(`${SSE}${formatEvents(1, 4)}${END}`);
const resumedStream = createAnswer(`${SSE}${formatEvents(3, 4)}${END}`);
const interruptedStream = createAnswer(`${SSE}${formatEvents(1, 2)}`, closeByReset);
const partialEventStream = createAnswer(
  `${SSE}${formatEvents(1, 2)}${formatChunk('id: 3\nda')}`,
  closeByReset,
);
const SSE_UNTIL_CLOSE = `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`;

const formatPlainEvents = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_item, index) => `id: ${from + index}\ndata: x\n\n`).join(
    '',
  );

const closedStream = createAnswer(`${SSE_UNTIL_CLOSE}${formatPlainEvents(1, 4)}`, close);
const closedResumedStream = createAnswer(`${SSE_UNTIL_CLOSE}${formatPlainEvents(3, 4)}`, close);
const closedBetweenEvents = createAnswer(`${SSE_UNTIL_CLOSE}${formatPlainEvents(1, 2)}`, close);
const closedBeforeEvents = createAnswer(SSE_UNTIL_CLOSE, close);
const closedAfterLastEvent = createAnswer(`${SSE_UNTIL_CLOSE}${formatPlainEvents(4, 4)}`, close);
const closedInsideEvent = createAnswer(
  `${SSE_UNTIL_CLOSE}${formatPlainEvents(1, 2)}id: 3\nda`,
  close,
);
const closedInsideFirstEvent = createAnswer(`${SSE_UNTIL_CLOSE}id: 1\nda`, close);
const endedInsideEvent = createAnswer(
  `${SSE}${formatEvents(1, 2)}${formatChunk('id: 3\nda')}${END}`,
);
const resetUnframedStream = createAnswer(
  `${SSE_UNTIL_CLOSE}${formatPlainEvents(1, 2)}`,
  closeByReset,
);
const lostUnframedStream = createLastAnswer(
  createAnswer(`${SSE_UNTIL_CLOSE}${formatPlainEvents(1, 2)}`, close),
);
const stalledStream = createAnswer(`${SSE}${formatEvents(1, 2)}`);

const createError = (status: string, head = ''): SocketAnswer =>
  createAnswer(
    `HTTP/1.1 ${status}\r\n${ECHO}\r\n${head}Content-Type: text/plain\r\nContent-Length: 6\r\n\r\nid: 99`,
  );
const errorAsEvents = createAnswer(
  `HTTP/1.1 500 Failed\r\n${ECHO}\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 99\n\n`,
  close,
);
const plainSuccess = createError('200 OK');
const restartedStream = completeStream;

const streamCases: readonly StreamCase[] = [
  {
    name: 'complete',
    route: STREAM,
    answers: [completeStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
  },
  {
    name: 'interrupted and resumed',
    route: STREAM,
    answers: [interruptedStream, resumedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '2',
  },
  {
    name: 'interrupted in the middle of an event and resumed',
    route: STREAM,
    answers: [partialEventStream, resumedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '2',
  },
  {
    name: 'without a length or chunks, complete and confirmed in chunks',
    route: STREAM,
    answers: [createAnswers(closedStream, createAnswer(`${SSE}${formatEvents(4, 4)}${END}`))],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '3',
  },
  {
    name: 'without a length or chunks, complete and ended a second time after the same event',
    route: STREAM,
    answers: [createAnswers(closedStream, closedAfterLastEvent)],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '3',
  },
  {
    name: 'without a length or chunks, of one event, complete and ended a second time after it',
    route: STREAM,
    answers: [createAnswer(`${SSE_UNTIL_CLOSE}${formatPlainEvents(1, 1)}`, close)],
    ids: [1],
    isComplete: true,
  },
  // A second attempt that broke off before its first event was taken for the confirmation of an end.
  {
    name: 'without a length or chunks, closed between two events, then before the next event',
    route: STREAM,
    answers: [createAnswers(closedBetweenEvents, closedBeforeEvents), resumedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '1',
  },
  {
    name: 'without a length or chunks, closed between two events, then before the next event, with no attempt left',
    route: { ...STREAM, attemptLimit: 2 },
    answers: [createAnswers(closedBetweenEvents, closedBeforeEvents)],
    ids: [1, 2],
    isComplete: false,
    resumedAfter: '1',
  },
  {
    name: 'without a length or chunks, complete, then ended by its last chunk without the last event',
    route: { ...STREAM, attemptLimit: 2 },
    answers: [createAnswers(closedStream, createAnswer(`${SSE}${END}`))],
    ids: [1, 2, 3, 4],
    isComplete: false,
    resumedAfter: '3',
  },
  {
    name: 'without a length or chunks, complete and started again to confirm its end',
    route: { ...STREAM, attemptLimit: 2 },
    answers: [createAnswers(closedStream, closedStream)],
    ids: [1, 2, 3, 4],
    isComplete: false,
    resumedAfter: '3',
  },
  {
    name: 'without a length or chunks, closed between two events by an endpoint that goes on',
    route: STREAM,
    answers: [
      createAnswers(closedBetweenEvents, createAnswer(`${SSE}${formatEvents(2, 4)}${END}`)),
    ],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '1',
  },
  {
    name: 'without a length or chunks, closed between two events again and again',
    route: STREAM,
    answers: [
      createAnswers(
        closedBetweenEvents,
        createAnswer(`${SSE_UNTIL_CLOSE}${formatPlainEvents(2, 4)}`, close),
        closedAfterLastEvent,
      ),
    ],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '1',
  },
  {
    name: 'without a length or chunks, with no attempt left to confirm its end',
    route: { ...STREAM, attemptLimit: 1 },
    answers: [closedStream],
    ids: [1, 2, 3, 4],
    isComplete: false,
  },
  {
    name: 'without a length or chunks or events, and sent again',
    route: STREAM,
    answers: [closedBeforeEvents, completeStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
  },
  {
    name: 'without a length or chunks, on a route that does not allow resuming',
    route: { ...STREAM, canResume: false },
    answers: [closedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
  },
  {
    name: 'without a length or chunks, lost, on a route that does not allow resuming',
    route: { ...STREAM, canResume: false },
    answers: [lostUnframedStream],
    ids: [1, 2],
    isComplete: false,
  },
  {
    name: 'closed in the middle of an event and resumed',
    route: STREAM,
    answers: [closedInsideEvent, resumedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '2',
  },
  {
    name: 'closed in the middle of an event and resumed by one without a length or chunks',
    route: STREAM,
    answers: [
      closedInsideEvent,
      createAnswers(closedResumedStream, createAnswer(`${SSE}${formatEvents(4, 4)}${END}`)),
    ],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '2',
  },
  {
    name: 'closed in the middle of its first event and sent again',
    route: STREAM,
    answers: [closedInsideFirstEvent, completeStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
  },
  {
    name: 'closed in the middle of an event, with no endpoint left',
    route: STREAM,
    answers: [closedInsideEvent],
    ids: [1, 2],
    isComplete: false,
  },
  {
    name: 'closed in the middle of an event, on a route that does not allow resuming',
    route: { ...STREAM, canResume: false },
    answers: [closedInsideEvent, resumedStream],
    ids: [1, 2],
    isComplete: false,
  },
  {
    name: 'ended by its last chunk in the middle of an event and resumed',
    route: STREAM,
    answers: [endedInsideEvent, resumedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '2',
  },
  {
    name: 'without a length or chunks, reset after an event and resumed',
    route: STREAM,
    answers: [resetUnframedStream, resumedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '2',
  },
  {
    name: 'without a length or chunks, closed after an event by a lost endpoint and resumed',
    route: STREAM,
    answers: [lostUnframedStream, resumedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '2',
  },
  {
    name: 'without a length or chunks, closed after an event by the only endpoint, which is lost',
    route: STREAM,
    answers: [lostUnframedStream],
    ids: [1, 2],
    isComplete: false,
  },
  {
    name: 'interrupted, with events that have no ids',
    route: STREAM,
    answers: [
      createAnswer(`${SSE}${formatChunk('data: x\n\n')}`, closeByReset),
      createAnswer(`${SSE}${formatChunk('data: x\n\ndata: y\n\n')}${END}`),
    ],
    ids: [],
    isComplete: false,
  },
  {
    name: 'stalled and resumed',
    route: { ...STREAM, ...LONG_ROUTE_TIMEOUT, gapTargetMs: 500 },
    answers: [stalledStream, resumedStream],
    ids: [1, 2, 3, 4],
    isComplete: true,
    resumedAfter: '2',
  },
  ...[
    { name: 'an error', answer: createError('500 Failed') },
    { name: 'an error in the form of events', answer: errorAsEvents },
    { name: 'a status that is no error', answer: plainSuccess },
    { name: 'a refusal', answer: createError('503 Busy', `${HEADERS.notRun}: 1\r\n`) },
    { name: 'a redirect', answer: createError('307 Elsewhere') },
    { name: 'a stream that starts again', answer: restartedStream },
  ].flatMap(({ name, answer }): readonly StreamCase[] => [
    {
      name: `interrupted in the middle of an event, then ${name}`,
      route: { ...STREAM, attemptLimit: 2 },
      answers: [partialEventStream, answer],
      ids: [1, 2],
      isComplete: false,
      resumedAfter: '2',
    },
    {
      name: `interrupted in the middle of an event, then ${name}, then resumed`,
      route: STREAM,
      answers: [partialEventStream, answer, resumedStream],
      ids: [1, 2, 3, 4],
      isComplete: true,
      resumedAfter: '2',
    },
  ]),
  {
    name: 'interrupted on a route that does not allow resuming',
    route: { ...STREAM, canResume: false },
    answers: [interruptedStream, resumedStream],
    ids: [1, 2],
    isComplete: false,
  },
];

for (const { name, route, answers, ids, isComplete, ...expected } of streamCases) {
  const { resumedAfter } = expected;
  test(`stream through a gateway: ${name}`, async (t) => {
    t.timeout(30_000);
    const gateway = await startGateway(route, answers);
    t.teardown(gateway.stop);
    const result = await gateway.call({ method: 'POST', body: '{}', ...LONG_DEADLINE });
    t.is(result.status, 200);
    t.deepEqual(
      [...result.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1])),
      ids,
    );
    t.is(result.isComplete, isComplete);
    // Without chunks, the end of a stream that was broken off would look complete.
    t.is(result.headers['transfer-encoding'], 'chunked');
    const second = gateway.heads.flat()[1];
    t.is(/^Last-Event-Id: (.*)\r$/m.exec(second ?? '')?.[1], resumedAfter);
  });
}

test('a stream that broke off is reset for a caller that cannot read chunks', async (t) => {
  const gateway = await startGateway({ ...STREAM, attemptLimit: 1 }, [interruptedStream]);
  t.teardown(gateway.stop);
  const socket = connect(gateway.address);
  const head = `Host: shop.example\r\n${HEADERS.requestId}: id-1\r\n${HEADERS.key}: key-1\r\n`;
  const limit = `${HEADERS.deadline}: 20000\r\n`;
  socket.write(`GET /a/b HTTP/1.0\r\n${head}${limit}\r\n`);
  let text = '';
  socket.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  const [cause] = (await once(socket, 'error')) as [NodeJS.ErrnoException];
  t.is(cause.code, 'ECONNRESET');
  t.true(text.endsWith(formatPlainEvents(1, 2)));
});
