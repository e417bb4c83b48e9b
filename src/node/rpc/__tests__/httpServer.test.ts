import { once } from 'node:events';
import { connect } from 'node:net';
import test from 'ava';
import { createHttpServer, startHttpServer } from '..';

const HEAD = 'POST /x HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n';
const HOST = '127.0.0.1';

const cases = [
  ['an incomplete request head', HEAD],
  ['an incomplete request body', `${HEAD}content-length: 100\r\n\r\n{`],
] as const;

cases.forEach(([name, text]) => {
  test(`${name} times out with a JSON error body`, async (t) => {
    let handled = 0;
    const app = createHttpServer({ requestTimeoutMs: 300 });
    app.post('/x', async () => {
      handled += 1;
      return {};
    });
    const address = await startHttpServer(app, { host: HOST, port: 0 });
    t.teardown(() => app.close());
    const socket = connect(Number(address.split(':')[1]), HOST);
    let answer = '';
    socket.on('data', (chunk) => {
      answer += String(chunk);
    });
    socket.write(text);
    await once(socket, 'close');
    t.regex(answer, /^HTTP\/1\.1 408 /);
    const body: unknown = JSON.parse(answer.split('\r\n\r\n')[1]!);
    t.like(body, { error: { type: 'timeout', outcome: 'not_run' } });
    t.is(handled, 0);
    t.true(app.server.headersTimeout <= app.server.requestTimeout);
  });
});
