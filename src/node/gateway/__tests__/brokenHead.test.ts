import test from 'ava';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import { close, closeByReset, createAnswer, createLastAnswer, ECHO } from './socketAnswers';

const STREAM_TYPE = 'Content-Type: text/event-stream';

/** Heads that end before their empty line. */
const brokenHeads = [
  { name: 'in the status line', text: 'HTTP/1.1 200' },
  { name: 'after the status line', text: 'HTTP/1.1 200 OK\r\n' },
  { name: 'in the name of a header', text: `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Len` },
  { name: 'in a length', text: `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Length: 1` },
  { name: 'after a length', text: `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Length: 4\r\n` },
  { name: 'after a length of 0', text: `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Length: 0\r\n` },
  { name: 'after all headers', text: `HTTP/1.1 200 OK\r\n${ECHO}\r\n${STREAM_TYPE}\r\n` },
  { name: 'in the empty line', text: `HTTP/1.1 200 OK\r\n${ECHO}\r\n\r` },
] as const;

const ends = [
  { name: 'closes', end: close },
  { name: 'resets', end: closeByReset },
] as const;

interface RouteCase {
  readonly name: string;
  readonly route: RouteFields;
  /** What another endpoint would answer. */
  readonly next: SocketAnswer;
  readonly status: number;
  readonly body: string | undefined;
}

const EVENTS = 'id: 1\ndata: x\n\n';
const completeStream = createAnswer(
  `HTTP/1.1 200 OK\r\n${ECHO}\r\n${STREAM_TYPE}\r\nTransfer-Encoding: chunked\r\n\r\nf\r\n${EVENTS}\r\n0\r\n\r\n`,
);
const completeAnswer = createAnswer(`HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Length: 4\r\n\r\nbody`);

const routes: readonly RouteCase[] = [
  { name: 'may be repeated', route: {}, next: completeAnswer, status: 200, body: 'body' },
  {
    name: 'runs once',
    route: { kind: 'once' },
    next: completeAnswer,
    status: 502,
    body: undefined,
  },
  {
    name: 'is a stream',
    route: { kind: 'stream', canResume: true },
    next: completeStream,
    status: 200,
    body: EVENTS,
  },
  {
    name: 'is a stream that cannot be resumed',
    route: { kind: 'stream' },
    next: completeStream,
    status: 502,
    body: undefined,
  },
];

for (const head of brokenHeads) {
  for (const { name: endName, end } of ends) {
    for (const { name, route, next, status, body } of routes) {
      test(`a head that breaks off ${head.name} is no response: the endpoint ${endName}, the request ${name}`, async (t) => {
        const first = createLastAnswer(createAnswer(head.text, end));
        const gateway = await startGateway(route, [first, next]);
        t.teardown(gateway.stop);
        const result = await gateway.call();
        t.is(result.status, status);
        t.true(result.isComplete);
        if (body !== undefined) t.is(result.body, body);
      });
    }
  }
}
