import { once } from 'node:events';
import { connect, type AddressInfo } from 'node:net';
import test from 'ava';
import fastify, { type FastifyReply } from 'fastify';
import { createCallerSignal, sendAnswer, type CallerApiContext } from '../replies';
import type { RunAnswer } from '../runTypes';

const LIMIT_MS = 10_000;

// Only the time limit of an answer is read.
const CONTEXT = { answerTimeoutMs: LIMIT_MS } as CallerApiContext;

/** When a caller closes its connection. */
type Moment = 'before its answer is ready' | 'before the first chunk' | 'between two chunks';

const moments: Readonly<Record<Moment, { readonly chunksBefore: number }>> = {
  'before its answer is ready': { chunksBefore: -1 },
  'before the first chunk': { chunksBefore: 0 },
  'between two chunks': { chunksBefore: 1 },
};

/** Starts an answer whose chunks after the given number wait until the caller has gone. */
const startAnswer = async (
  chunksBefore: number,
  closed: Promise<unknown>,
  handleEnd: () => void,
): Promise<RunAnswer> => {
  async function* createChunks(): AsyncGenerator<Buffer> {
    try {
      yield Buffer.alloc(0);
      for (let count = 0; ; count += 1) {
        if (count >= chunksBefore) await closed;
        yield Buffer.from('x');
      }
    } finally {
      handleEnd();
    }
  }
  const chunks = createChunks();
  await chunks.next();
  return { status: 200, contentType: 'text/plain', headers: {}, model: '', version: '', chunks };
};

const waitForClose = async ({ raw }: FastifyReply): Promise<void> => {
  if (!raw.destroyed) await once(raw, 'close');
};

for (const [name, { chunksBefore }] of Object.entries(moments)) {
  test(`an answer ends when its caller closes the connection ${name}`, async (t) => {
    t.timeout(LIMIT_MS);
    const app = fastify({ logger: false });
    const ended = new Promise<void>((resolve) => {
      app.get('/', async (_request, reply) => {
        const signal = createCallerSignal(CONTEXT, reply, false);
        const closed = waitForClose(reply);
        if (chunksBefore < 0) {
          await closed;
          t.true(signal.aborted);
        }
        return sendAnswer(reply, 'req-1', await startAnswer(chunksBefore, closed, resolve));
      });
    });
    await app.listen({ host: '127.0.0.1', port: 0 });
    t.teardown(() => app.close());
    const { port } = app.server.address() as AddressInfo;
    const socket = connect(port, '127.0.0.1');
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    if (chunksBefore > 0) await once(socket, 'data');
    else setTimeout(() => socket.destroy(), 50);
    if (chunksBefore > 0) socket.destroy();
    await ended;
    t.pass();
  });
}

test('a caller that closed its connection before its request was run has an aborted signal', async (t) => {
  const app = fastify({ logger: false });
  const found = new Promise<AbortSignal>((resolve) => {
    app.get('/', async (_request, reply) => {
      await waitForClose(reply);
      resolve(createCallerSignal(CONTEXT, reply, false));
    });
  });
  await app.listen({ host: '127.0.0.1', port: 0 });
  t.teardown(() => app.close());
  const socket = connect((app.server.address() as AddressInfo).port, '127.0.0.1');
  socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
  setTimeout(() => socket.destroy(), 50);
  t.true((await found).aborted);
});
