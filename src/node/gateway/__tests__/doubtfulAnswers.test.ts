import test from 'ava';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import { CHUNKED, formatChunks } from './framings';
import { close, closeByReset, createAnswer, ECHO, LONG_DEADLINE, PAUSE_MS } from './socketAnswers';

const OK = `HTTP/1.1 200 OK\r\n${ECHO}\r\n`;
const STREAM_TYPE = 'Content-Type: text/event-stream\r\n';
const STREAM: RouteFields = { kind: 'stream', canResume: true, attemptLimit: 2 };

const formatEvents = (to: number): string =>
  Array.from({ length: to }, (_item, index) => `id: ${index + 1}\ndata: x\n\n`).join('');

/** Creates a response without a length or chunks, of an endpoint that does not say who it is. */
const createDoubtfulAnswer =
  (head: string, body: string): SocketAnswer =>
  (socket, _head, _stopListening, replaceProcess) => {
    replaceProcess({ sendDescription: closeByReset });
    socket.write(`HTTP/1.1 ${head}\r\n${ECHO}\r\nConnection: close\r\n\r\n${body}`);
    setTimeout(() => close(socket), PAUSE_MS);
  };

const doubtfulAnswers = [
  { name: 'a failure', answer: createDoubtfulAnswer('500 Failed', 'failed') },
  { name: 'half an event', answer: createDoubtfulAnswer('200 OK', 'id: 1\nda') },
] as const;

const halfStream = `${OK}${STREAM_TYPE}${CHUNKED}\r\n${formatChunks(formatEvents(2), false)}`;

const laterStreams = [
  {
    name: 'one that is silent until the timeout',
    route: { ...STREAM, timeoutMs: 1_500 },
    answer: createAnswer(halfStream),
    events: 2,
  },
  {
    name: 'one that is interrupted',
    route: STREAM,
    answer: createAnswer(halfStream, closeByReset),
    events: 2,
  },
  {
    name: 'one without a length or chunks',
    route: STREAM,
    answer: createAnswer(`${OK}${STREAM_TYPE}\r\n${formatEvents(4)}`, close),
    events: 4,
  },
] as const;

// The answer in doubt was sent although the next response had started. That threw after the request
// had been marked as ended, and nothing ended its response.
for (const first of doubtfulAnswers) {
  for (const { name, route, answer, events } of laterStreams) {
    test(`a stream ends that follows ${first.name} of an endpoint that does not say who it is: ${name}`, async (t) => {
      t.timeout(30_000);
      const gateway = await startGateway(route, [first.answer, answer]);
      t.teardown(gateway.stop);
      const result = await gateway.call({ method: 'POST', body: '{}', ...LONG_DEADLINE });
      t.is(result.status, 200);
      t.is(result.body, formatEvents(events));
      t.false(result.isComplete);
    });
  }
}
