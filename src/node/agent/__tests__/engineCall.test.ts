import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import test from 'ava';
import { Pool } from 'undici';
import type { AttemptRequest } from '../../shared';
import { createAttempt } from '../attempt';
import { callEngine, type EngineTarget } from '../engineCall';

const REQUEST = {
  requestId: 'r',
  attempt: 0,
  target: { kind: 'model', model: 'small', version: 'v1' },
  method: 'POST',
  path: '/v1/chat/completions',
  headers: {},
  body: Buffer.from('{"stream":true}').toString('base64'),
  deadlineMs: 1_000,
} as unknown as AttemptRequest;

const formatEvent = (word: string): string =>
  `data: ${JSON.stringify({ choices: [{ delta: { content: word } }] })}\n\n`;

const EVENTS = ['a', 'b', 'c', 'd'].map(formatEvent);
const ALL = EVENTS.join('');

const cases = [
  { name: 'one at a time', chunks: EVENTS, frames: 4 },
  { name: 'all at once', chunks: [ALL], frames: 1 },
  { name: 'in two reads', chunks: [EVENTS.slice(0, 3).join(''), EVENTS[3]!], frames: 2 },
  {
    name: 'with a read that ends within an event',
    chunks: [ALL.slice(0, -5), ALL.slice(-5)],
    frames: 2,
  },
  {
    name: 'with a read that completes no event',
    chunks: [ALL.slice(0, 5), ALL.slice(5)],
    frames: 1,
  },
] as const;

for (const { name, chunks, frames } of cases) {
  test(`events of an engine share a frame if they arrive together: ${name}`, async (t) => {
    const body = (async function* generateChunks() {
      for (const chunk of chunks) yield Buffer.from(chunk);
    })();
    const headers = { 'content-type': 'text/event-stream' };
    const pool = { request: async () => ({ statusCode: 200, headers, body }) };
    const counts = { inputTokens: 0, outputTokens: 0 };
    const attempt = createAttempt(REQUEST);
    await callEngine({ pool, counts } as unknown as EngineTarget, attempt);
    const parts: string[] = [];
    for await (const frame of attempt.read(0, new AbortController().signal)) {
      if (frame.type === 'data') parts.push(Buffer.from(frame.data, 'base64').toString());
    }
    t.is(parts.length, frames);
    t.is(parts.join(''), ALL);
    t.is(counts.outputTokens, EVENTS.length);
  });
}

const PLAIN_REQUEST = { ...REQUEST, target: { kind: 'service' } } as unknown as AttemptRequest;

const formatAnswer = (body: string): string =>
  `HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: ${body.length}\r\n\r\n${body}`;

test('a second copy of an answer does not become the answer to the next call', async (t) => {
  let calls = 0;
  const server = createServer((socket) => {
    let lastAnswer = '';
    socket.on('error', () => {});
    socket.on('data', () => {
      calls += 1;
      // The copy is written when the connection is in use again.
      socket.write(lastAnswer);
      lastAnswer = formatAnswer(`answer ${calls}`);
      socket.write(lastAnswer);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {
    connections: 1,
  });
  t.teardown(async () => {
    await pool.destroy();
    server.close();
  });
  for (const expected of ['answer 1', 'answer 2', 'answer 3']) {
    const attempt = createAttempt(PLAIN_REQUEST);
    await callEngine({ pool, counts: { inputTokens: 0, outputTokens: 0 } }, attempt);
    let body = '';
    for await (const frame of attempt.read(0, new AbortController().signal)) {
      if (frame.type === 'data') body += Buffer.from(frame.data, 'base64').toString();
    }
    t.is(body, expected);
  }
});
