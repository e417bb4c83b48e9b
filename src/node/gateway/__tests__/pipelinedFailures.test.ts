import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { CHUNKED, formatChunks } from './framings';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import { ECHO } from './socketAnswers';

/** Longer than the harness's limit for a request head and the interval of its check. */
const ANSWER_MS = 3_500;
const HEAD = `POST /a/b HTTP/1.1\r\nHost: shop.example\r\n${HEADERS.requestId}: id-1\r\n${HEADERS.key}: key-1\r\n${HEADERS.deadline}: 20000\r\n`;
const ORDER = `${HEAD}Content-Length: 2\r\n\r\n{}`;
const EVENT = 'id: 1\ndata: x\n\n';

const sendLate: SocketAnswer = (socket) => {
  setTimeout(() => {
    socket.write(`HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Length: 6\r\n\r\nstored`);
  }, ANSWER_MS);
};
const sendSlowly: SocketAnswer = (socket) => {
  socket.write(
    `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\n${CHUNKED}\r\n${formatChunks(EVENT, false)}`,
  );
  setTimeout(() => socket.write('0\r\n\r\n'), ANSWER_MS);
};

const answers: readonly {
  readonly name: string;
  readonly route: RouteFields;
  readonly answer: SocketAnswer;
  readonly body: RegExp;
}[] = [
  { name: 'an order', route: { kind: 'once' }, answer: sendLate, body: /^stored/ },
  {
    name: 'a stream that has begun',
    route: { kind: 'stream' },
    answer: sendSlowly,
    body: /^f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n/,
  },
];

const failures = [
  { name: 'a head that does not end', text: HEAD, status: '408' },
  { name: 'bytes that are not HTTP', text: 'nothing\r\n\r\n', status: '400' },
  { name: 'a head that is too long', text: `${HEAD}X-Long: ${'x'.repeat(70_000)}`, status: '431' },
] as const;

// A caller took the 408 of its next request for the promise that its running order had not run, and
// a stream got the response to bytes after it as a part of its body.
for (const { name, route, answer, body } of answers) {
  for (const { name: failure, text, status } of failures) {
    test(`the failure of a pipelined request does not answer the one before: ${failure} after ${name}`, async (t) => {
      const gateway = await startGateway({ timeoutMs: 20_000, ...route }, [answer]);
      t.teardown(gateway.stop);
      const socket = connect(gateway.address);
      t.teardown(() => socket.destroy());
      let received = '';
      socket.on('data', (chunk) => {
        received += chunk.toString('latin1');
      });
      socket.on('error', () => {});
      socket.write(ORDER);
      while (gateway.heads[0]!.length === 0) await sleep(10);
      socket.write(text);
      await new Promise((resolve) => {
        socket.once('close', resolve);
      });
      const [, first = '', second = ''] = received.split('HTTP/1.1 ');
      t.true(first.startsWith('200 OK'), received);
      t.regex(first.slice(first.indexOf('\r\n\r\n') + 4), body);
      t.true(second.startsWith(status), received);
      t.is(gateway.heads[0]!.length, 1);
    });
  }
}
