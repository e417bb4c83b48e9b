// Guards against answers that a planned stop cuts off, because Node closes connections as idle whose
// answers callers have not read yet.
import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { createHttpServer, registerConnectionDrain } from '..';

/** More than the kernel takes of an answer at once. */
const ANSWER_BYTES = 16 * 1024 * 1024;
const PAUSE_MS = 700;
const REQUEST = 'GET /large HTTP/1.1\r\nhost: test\r\n\r\n';

interface Case {
  readonly name: string;
  /** What the caller sends before the close and while it drains. */
  readonly sent: readonly [string, string];
  /** Answers that the caller gets whole. */
  readonly answers: number;
}

const cases: readonly Case[] = [
  { name: 'one request', sent: [REQUEST, ''], answers: 1 },
  { name: 'pipelined requests', sent: [`${REQUEST}${REQUEST}`, ''], answers: 2 },
  {
    name: 'a request that arrives meanwhile, and is refused',
    sent: [REQUEST, REQUEST],
    answers: 1,
  },
  { name: 'a part of a request', sent: [`${REQUEST}GET /lar`, ''], answers: 1 },
];

const countBytes = (socket: Socket): (() => number) => {
  let bytes = 0;
  socket.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  return () => bytes;
};

test('a planned stop does not wait for pipelined requests of a caller that has left', async (t) => {
  const app = createHttpServer();
  app.get('/large', async () => Buffer.alloc(ANSWER_BYTES));
  const drain = registerConnectionDrain(app.server);
  await app.listen({ host: '127.0.0.1', port: 0 });
  const socket = connect((app.server.address() as AddressInfo).port, '127.0.0.1');
  socket.write(`${REQUEST}${REQUEST}`);
  socket.pause();
  await sleep(200);
  t.is(drain.countUnsent(), 2);
  socket.resetAndDestroy();
  await sleep(200);
  t.is(drain.countUnsent(), 0);
  await app.close();
});

for (const { name, sent, answers } of cases) {
  test(`a planned stop waits for callers that read slowly: ${name}`, async (t) => {
    const app = createHttpServer({ requestTimeoutMs: 2_000 });
    app.get('/large', async () => Buffer.alloc(ANSWER_BYTES));
    await app.listen({ host: '127.0.0.1', port: 0 });
    const socket = connect((app.server.address() as AddressInfo).port, '127.0.0.1');
    t.teardown(() => socket.destroy());
    const ended = once(socket, 'close');
    const read = countBytes(socket);
    socket.write(sent[0]);
    await sleep(100);
    socket.pause();
    const closed = app.close();
    socket.write(sent[1]);
    await sleep(PAUSE_MS);
    socket.resume();
    await ended;
    await closed;
    t.is(Math.floor(read() / ANSWER_BYTES), answers, `${read()} bytes`);
  });
}
