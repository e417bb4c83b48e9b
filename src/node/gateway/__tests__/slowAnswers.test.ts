import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import { ECHO } from './socketAnswers';

const ROUTE_TIMEOUT_MS = 1_500;
/** Time after the route's timeout within which a caller must have its answer. */
const MAX_LATE_MS = 500;
const BYTE_PAUSE_MS = 50;
const STREAM_HEAD = `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;
const BODY_HEAD = `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Length: 100000\r\n\r\n`;

const formatChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const formatEvent = (id: number): string => formatChunk(`id: ${id}\ndata: x\n\n`);

const sendRepeatedly = async (socket: Socket, texts: Iterable<string>, pauseMs: number) => {
  for (const text of texts) {
    if (socket.destroyed) return;
    socket.write(text);
    await sleep(pauseMs);
  }
};

function* generateTexts(text: string): Generator<string> {
  for (;;) yield text;
}

const ONCE: RouteFields = { kind: 'once' };
const STREAM: RouteFields = { kind: 'stream', canResume: false };

const endless = [
  { name: 'a head', route: ONCE, start: 'HTTP/1.1 200 OK\r\nX-Long: ', text: 'a', status: 504 },
  { name: 'a body', route: ONCE, start: BODY_HEAD, text: 'a', status: 504 },
  { name: 'an event', route: STREAM, start: STREAM_HEAD, text: formatChunk('a'), status: 504 },
  {
    name: 'an event after others',
    route: STREAM,
    start: `${STREAM_HEAD}${formatEvent(1)}`,
    text: formatChunk('a'),
    status: 200,
  },
  {
    name: 'comments between events',
    route: STREAM,
    start: `${STREAM_HEAD}${formatEvent(1)}`,
    text: formatChunk(': alive\n\n'),
    status: 200,
  },
] as const;

for (const { name, route, start, text, status } of endless) {
  test(`a response that gets a byte now and then for ever ends: ${name}`, async (t) => {
    const sockets: Socket[] = [];
    const sendTrickle: SocketAnswer = (socket) => {
      sockets.push(socket);
      socket.write(start);
      sendRepeatedly(socket, generateTexts(text), BYTE_PAUSE_MS).catch(t.fail);
    };
    const gateway = await startGateway({ ...route, timeoutMs: ROUTE_TIMEOUT_MS }, [sendTrickle]);
    t.teardown(gateway.stop);
    const startedAt = performance.now();
    const result = await gateway.call({ method: 'POST', body: '{}' });
    const elapsedMs = performance.now() - startedAt;
    t.is(result.status, status);
    t.is(result.isComplete, status === 504, 'a stream that was broken off is not complete');
    t.true(elapsedMs < ROUTE_TIMEOUT_MS + MAX_LATE_MS, `Ended after ${elapsedMs} ms`);
    while (!sockets.every(({ destroyed }) => destroyed)) await sleep(BYTE_PAUSE_MS);
    t.is(sockets.length, 1, 'the endpoint is not left at work');
  });
}

const EVENTS = 12;

test('a slow but sound stream is not cut and not sent to another endpoint', async (t) => {
  const pauseMs = 300;
  const ids = Array.from({ length: EVENTS }, (_item, index) => index + 1);
  const sendSlowly: SocketAnswer = (socket) => {
    sendRepeatedly(socket, [STREAM_HEAD, ...ids.map(formatEvent), '0\r\n\r\n'], pauseMs).catch(
      t.fail,
    );
  };
  // The stream lasts much longer than the timeouts for its first event and for each pause.
  const route = {
    kind: 'stream',
    canResume: true,
    targetLatencyMs: 400,
    gapTargetMs: 400,
  } as const;
  const gateway = await startGateway({ ...route, timeoutMs: 20_000 }, [sendSlowly, sendSlowly]);
  t.teardown(gateway.stop);
  const headers = { [HEADERS.deadline]: '20000' };
  const result = await gateway.call({ method: 'POST', body: '{}', headers });
  const received = [...result.body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
  t.deepEqual(received, ids);
  t.true(result.isComplete);
  t.is(gateway.heads[1]!.length, 0);
});
