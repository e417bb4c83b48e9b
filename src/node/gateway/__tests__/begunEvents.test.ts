import test from 'ava';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import { CHUNKED, formatChunks } from './framings';
import { close, closeByReset, createAnswer, ECHO, LONG_DEADLINE } from './socketAnswers';

const HEAD = `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\n${CHUNKED}\r\n`;
const STREAM: RouteFields = { kind: 'stream', canResume: true };

const formatEvents = (from: number, to: number): string =>
  Array.from({ length: Math.max(0, to - from + 1) }, (_item, index) => {
    const id = from + index;
    return `id: ${id}\ndata: x\n\n`;
  }).join('');

/** Creates an attempt that breaks off after a text. */
const createBroken = (text: string): SocketAnswer =>
  createAnswer(`${HEAD}${formatChunks(text, false)}`, closeByReset);
const createWhole = (text: string): SocketAnswer =>
  createAnswer(`${HEAD}${formatChunks(text, true)}`);

interface Case {
  readonly name: string;
  readonly answers: readonly SocketAnswer[];
  readonly attemptLimit?: number;
  readonly body: string;
  readonly isComplete: boolean;
}

const INSIDE_EVENT = `${formatEvents(1, 2)}id: 3\nda`;

const cases: readonly Case[] = [
  {
    name: 'inside an event, then one that ends before it',
    answers: [createBroken(INSIDE_EVENT), createWhole('')],
    attemptLimit: 2,
    body: formatEvents(1, 2),
    isComplete: false,
  },
  {
    name: 'inside an event, then one that ends before it, then the rest',
    answers: [createBroken(INSIDE_EVENT), createWhole(''), createWhole(formatEvents(3, 4))],
    body: formatEvents(1, 4),
    isComplete: true,
  },
  {
    name: 'inside an event, then the event',
    answers: [createBroken(INSIDE_EVENT), createWhole(formatEvents(3, 3))],
    body: formatEvents(1, 3),
    isComplete: true,
  },
  {
    name: 'inside a comment, then one that ends there',
    answers: [createBroken(`${formatEvents(1, 2)}: wai`), createWhole('')],
    body: formatEvents(1, 2),
    isComplete: true,
  },
  {
    name: 'after an event, then one that ends there',
    answers: [createBroken(formatEvents(1, 2)), createWhole('')],
    body: formatEvents(1, 2),
    isComplete: true,
  },
];

const UNFRAMED_HEAD = `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\n\r\n`;

test('a confirming attempt that breaks off inside the repeated event says nothing about a further one', async (t) => {
  const answers = [
    createAnswer(`${UNFRAMED_HEAD}${formatEvents(1, 2)}`, close),
    createBroken('id: 2\nda'),
    createWhole(formatEvents(2, 2)),
  ];
  let count = 0;
  const sendNext: SocketAnswer = (...connection) => {
    answers[count]!(...connection);
    count += 1;
  };
  const gateway = await startGateway(STREAM, [sendNext, sendNext]);
  t.teardown(gateway.stop);
  const result = await gateway.call({ method: 'POST', body: '{}', ...LONG_DEADLINE });
  t.is(result.body, formatEvents(1, 2));
  t.true(result.isComplete);
});

// The bytes of an event that had begun were forgotten, so that the next attempt could end the stream
// without the event.
for (const { name, answers, attemptLimit, body, isComplete } of cases) {
  test(`a stream that broke off ${name}`, async (t) => {
    const gateway = await startGateway({ ...STREAM, attemptLimit: attemptLimit ?? 3 }, answers);
    t.teardown(gateway.stop);
    const result = await gateway.call({ method: 'POST', body: '{}', ...LONG_DEADLINE });
    t.is(result.body, body);
    t.is(result.isComplete, isComplete);
  });
}
