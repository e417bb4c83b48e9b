import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { createHttpServer, startHttpServer } from '..';

const HOST = '127.0.0.1';
const REQUEST = 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n';
const COMPLETE = `${REQUEST}content-length: 2\r\n\r\n{}`;
const TIMEOUT_MS = 300;
/** Longer than the time in which an incomplete request fails. */
const ANSWER_MS = 2_500;

/** Requests that fail after a complete one on the same connection. */
const failures = [
  { name: 'an incomplete head', text: REQUEST, status: 408 },
  { name: 'an incomplete body', text: `${REQUEST}content-length: 9\r\n\r\n{`, status: 408 },
  { name: 'bytes that are not HTTP', text: 'nothing\r\n\r\n', status: 400 },
  { name: 'a long head', text: `${REQUEST}x-long: ${'x'.repeat(20_000)}\r\n`, status: 431 },
] as const;

const listStatuses = (text: string): readonly number[] =>
  [...text.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(([, status]) => Number(status));

// The failure was written at once, and the caller took its status and 'not_run' for the response to
// the request that was running.
for (const { name, text, status } of failures) {
  test(`a pipelined request does not fail in place of a running one: ${name}`, async (t) => {
    let handled = 0;
    const app = createHttpServer({ requestTimeoutMs: TIMEOUT_MS });
    app.post('/x', async () => {
      handled += 1;
      await sleep(ANSWER_MS);
      return { answer: handled };
    });
    const address = await startHttpServer(app, { host: HOST, port: 0 });
    t.teardown(() => app.close());
    const socket = connect(Number(address.split(':')[1]), HOST);
    let received = '';
    socket.on('data', (chunk) => {
      received += String(chunk);
    });
    socket.write(COMPLETE);
    socket.write(text);
    await once(socket, 'close');
    t.deepEqual(listStatuses(received), [200, status]);
    t.true(received.includes('{"answer":1}'));
    t.is(handled, 1);
  });
}

test('a failed connection is closed although its caller leaves it open', async (t) => {
  const app = createHttpServer({ requestTimeoutMs: TIMEOUT_MS });
  const address = await startHttpServer(app, { host: HOST, port: 0 });
  t.teardown(() => app.close());
  const socket = connect({ port: Number(address.split(':')[1]), host: HOST, allowHalfOpen: true });
  t.teardown(() => socket.destroy());
  const accepted = once(app.server, 'connection');
  socket.write('nothing\r\n\r\n');
  const [connection] = await accepted;
  await once(connection, 'close');
  t.pass();
});
