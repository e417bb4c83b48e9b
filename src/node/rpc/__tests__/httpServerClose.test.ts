import { once } from 'node:events';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import test from 'ava';
import { createHttpServer } from '..';

/** A planned stop must not wait for connections without work. */
const CLOSE_LIMIT_MS = 5_000;
const REQUEST = 'GET /work HTTP/1.1\r\nhost: test\r\n\r\n';

const cases = [
  { name: 'a connection that was never used', before: '', after: '', answered: false },
  { name: 'an idle connection', before: REQUEST, after: '', answered: true },
  {
    name: 'a request on the way when the close starts',
    before: '',
    after: REQUEST,
    answered: true,
  },
  {
    name: 'a request of which a part has arrived',
    before: REQUEST.slice(0, 10),
    after: REQUEST.slice(10),
    answered: true,
  },
] as const;

const openReader = (socket: Socket): (() => string) => {
  const chunks: Buffer[] = [];
  socket.on('data', (chunk: Buffer) => chunks.push(chunk));
  return () => Buffer.concat(chunks).toString();
};

for (const { name, before, after, answered } of cases) {
  test(`a server closes beside ${name}`, async (t) => {
    const app = createHttpServer();
    app.get('/work', async () => 'done');
    await app.listen({ host: '127.0.0.1', port: 0 });
    const socket = connect((app.server.address() as AddressInfo).port, '127.0.0.1');
    t.teardown(() => socket.destroy());
    const readText = openReader(socket);
    await once(socket, 'connect');
    socket.write(before);
    await sleep(100);
    const ended = once(socket, 'close');
    const closed = app.close();
    await sleep(100);
    if (after !== '') socket.write(after);
    const result = await Promise.race([closed.then(() => 'closed'), sleep(CLOSE_LIMIT_MS)]);
    t.is(result, 'closed');
    await ended;
    t.is(readText().startsWith('HTTP/1.1 '), answered, readText());
  });
}
