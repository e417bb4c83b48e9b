import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import { createAnswer, ECHO } from './socketAnswers';

const SMALL_HEAD = `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\n${HEADERS.confidence}: 5\r\nTransfer-Encoding: chunked\r\n\r\n`;
const LARGE_ANSWER = `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\n${HEADERS.confidence}: 90\r\nContent-Length: 30\r\n\r\nid: 1\ndata: x\n\nid: 2\ndata: x\n\n`;
const CASCADE: RouteFields = { kind: 'stream', canResume: true, models: ['small', 'large'] };

const createCrash =
  (delayMs: number): SocketAnswer =>
  (socket) => {
    socket.write(SMALL_HEAD);
    setTimeout(() => socket.resetAndDestroy(), delayMs);
  };

const sendOneEvent: SocketAnswer = (socket) => {
  socket.write(SMALL_HEAD);
  socket.write('f\r\nid: 1\ndata: x\n\n\r\n');
};

const cases = [
  { name: 'with the head of its response', first: createCrash(0), isSeen: true },
  { name: 'soon after the head of its response', first: createCrash(10), isSeen: true },
  { name: 'not at all', first: sendOneEvent, isSeen: false },
] as const;

for (const { name, first, isSeen } of cases) {
  test(`the crash of an endpoint goes unseen if its response is dropped: it crashes ${name}`, async (t) => {
    const replyByModel: SocketAnswer = (...connection) => {
      const [, head] = connection;
      const reply = head.includes(`${HEADERS.model}: small`) ? first : createAnswer(LARGE_ANSWER);
      reply(...connection);
    };
    const gateway = await startGateway(CASCADE, [replyByModel]);
    t.teardown(gateway.stop);
    const { status } = await gateway.call({
      headers: { [HEADERS.model]: '*', [HEADERS.promptPrefix]: 'a:10,b:10' },
    });
    t.is(status, 200);
    await sleep(200);
    const suspected = gateway.logs.filter((line) => line.includes('request suspected'));
    t.is(gateway.logs.filter((line) => line.includes('response dropped')).length, 1);
    t.is(suspected.length, isSeen ? 1 : 0);
    if (isSeen) t.true(suspected[0]!.includes('"incarnation":"e-0|1"'));
  });
}

const unsureAnswer = createAnswer(`${SMALL_HEAD}f\r\nid: 1\ndata: y\n\n\r\n0\r\n\r\n`);

const cascadeRoutes = [
  {
    name: 'a stream that may be resumed',
    route: CASCADE,
    text: 'id: 1\ndata: x\n\nid: 2\ndata: x\n\n',
  },
  {
    name: 'a stream that may not be resumed',
    route: { ...CASCADE, canResume: false },
    text: 'id: 1\ndata: y\n\n',
  },
] as const;

// The unsure answer of a small model was dropped before it was known whether the request may be sent
// again. Where it may not, callers got 502.
for (const { name, route, text } of cascadeRoutes) {
  test(`an unsure answer is dropped only if another model may be asked: ${name}`, async (t) => {
    const replyByModel: SocketAnswer = (...connection) => {
      const isSmall = connection[1].includes(`${HEADERS.model}: small`);
      (isSmall ? unsureAnswer : createAnswer(LARGE_ANSWER))(...connection);
    };
    const gateway = await startGateway(route, [replyByModel]);
    t.teardown(gateway.stop);
    const { status, body } = await gateway.call({ headers: { [HEADERS.model]: '*' } });
    t.is(status, 200);
    t.is(body, text);
  });
}
