import { once } from 'node:events';
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import test, { type ExecutionContext } from 'ava';
import type { Pool } from 'undici';
import type { AttemptRequest } from '../../shared';
import { createAttempt } from '../attempt';
import { callEngine, type EngineTarget } from '../engineCall';
import { createEnginePool } from '../enginePool';

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

const DONE = 'data: [DONE]\n\n';
const WORDS = ['a', 'b', 'c'];
const EVENTS = [...WORDS.map(formatEvent), DONE];
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
    t.is(counts.outputTokens, WORDS.length);
  });
}

const ENDLESS_LIMIT_BYTES = 64 * 1024 * 1024;

const endlessStreams = [
  { name: 'a line', start: 'data: ', repeated: 'x' },
  { name: 'an event', start: '', repeated: 'data: x\n' },
  { name: 'a comment', start: ': ', repeated: 'x' },
] as const;

// The parser of events kept an incomplete one without a limit, until the agent had no memory left.
for (const { name, start, repeated } of endlessStreams) {
  test(`a stream with ${name} without end fails its attempt`, async (t) => {
    let sent = 0;
    const filler = Buffer.from(repeated.repeat(8_192));
    const body = (async function* generateChunks() {
      yield Buffer.from(start);
      for (; sent < ENDLESS_LIMIT_BYTES; sent += filler.length) yield filler;
    })();
    const headers = { 'content-type': 'text/event-stream' };
    const pool = { request: async () => ({ statusCode: 200, headers, body }) };
    const counts = { inputTokens: 0, outputTokens: 0 };
    const target = { pool, counts } as unknown as EngineTarget;
    await t.throwsAsync(callEngine(target, createAttempt(REQUEST)), {
      message: /an event of the engine has more than \d+ bytes/,
    });
    t.true(sent < ENDLESS_LIMIT_BYTES / 8);
  });
}

/** Lets an engine listen, and creates an agent's one connection to it. */
const startPool = async (t: ExecutionContext, server: Server): Promise<Pool> => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const pool = createEnginePool(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1);
  t.teardown(async () => {
    await pool.destroy();
    server.close();
  });
  return pool;
};

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
  const pool = await startPool(t, server);
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

const closeNormally = (socket: Socket): void => {
  socket.end();
};
const closeByReset = (socket: Socket): void => {
  setTimeout(() => socket.resetAndDestroy(), 20);
};

const closeByResetAtOnce = (socket: Socket): void => {
  socket.resetAndDestroy();
};

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n';
const JSON_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n';
const TEXT_HEAD = 'HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n';
const WORD = formatEvent('a');
const JSON_BODY = '{"choices":[]}';
const formatChunks = (text: string): string =>
  `transfer-encoding: chunked\r\n\r\n${text.length.toString(16)}\r\n${text}\r\n0\r\n\r\n`;
const BODY_REQUEST = {
  ...REQUEST,
  body: Buffer.from('{}').toString('base64'),
} as unknown as AttemptRequest;

const UPLOAD_REQUEST = {
  ...PLAIN_REQUEST,
  body: Buffer.alloc(4_100_000, 'u').toString('base64'),
} as unknown as AttemptRequest;

const brokenCases = [
  {
    name: 'a stream in chunks with its last event',
    request: REQUEST,
    answer: STREAM_HEAD + formatChunks(WORD + DONE),
    end: closeNormally,
    isWhole: true,
  },
  {
    name: 'a stream in chunks without its last event',
    request: REQUEST,
    answer: STREAM_HEAD + formatChunks(WORD),
    end: closeNormally,
    isWhole: false,
  },
  {
    name: 'a close-delimited stream with its last event',
    request: REQUEST,
    answer: `${STREAM_HEAD}\r\n${WORD}${DONE}`,
    end: closeNormally,
    isWhole: true,
  },
  {
    name: 'a close-delimited stream that ends between events',
    request: REQUEST,
    answer: `${STREAM_HEAD}\r\n${WORD}`,
    end: closeNormally,
    isWhole: false,
  },
  {
    name: 'a close-delimited stream that ends inside an event',
    request: REQUEST,
    answer: `${STREAM_HEAD}\r\n${WORD}${DONE.slice(0, -4)}`,
    end: closeNormally,
    isWhole: false,
  },
  {
    name: 'a close-delimited stream without events',
    request: REQUEST,
    answer: `${STREAM_HEAD}\r\n`,
    end: closeNormally,
    isWhole: false,
  },
  {
    name: 'a close-delimited stream that is reset',
    request: REQUEST,
    answer: `${STREAM_HEAD}\r\n${WORD}`,
    end: closeByReset,
    isWhole: false,
  },
  {
    name: 'a close-delimited JSON body',
    request: BODY_REQUEST,
    answer: `${JSON_HEAD}\r\n${JSON_BODY}`,
    end: closeNormally,
    isWhole: true,
  },
  {
    name: 'a close-delimited JSON body that is cut',
    request: BODY_REQUEST,
    answer: `${JSON_HEAD}\r\n${JSON_BODY.slice(0, -1)}`,
    end: closeNormally,
    isWhole: false,
  },
  {
    name: 'a JSON body with the identity transfer coding that is cut',
    request: BODY_REQUEST,
    answer: `${JSON_HEAD}transfer-encoding: identity\r\n\r\n${JSON_BODY.slice(0, -1)}`,
    end: closeNormally,
    isWhole: false,
  },
  {
    name: "a service's body with a length that is cut",
    request: PLAIN_REQUEST,
    answer: `${TEXT_HEAD}content-length: 4\r\n\r\nbod`,
    end: closeNormally,
    isWhole: false,
  },
  {
    name: "a service's close-delimited body that is reset",
    request: PLAIN_REQUEST,
    answer: `${TEXT_HEAD}\r\nbod`,
    end: closeByReset,
    isWhole: false,
  },
  {
    name: "a service's close-delimited body that is reset at once",
    request: PLAIN_REQUEST,
    answer: `${TEXT_HEAD}\r\nbod`,
    end: closeByResetAtOnce,
    isWhole: false,
  },
  {
    name: "a service's close-delimited body that is reset at once during an upload",
    request: UPLOAD_REQUEST,
    answer: `${TEXT_HEAD}\r\nbod`,
    end: closeByResetAtOnce,
    isWhole: false,
  },
  {
    name: "a service's close-delimited body that is closed",
    request: PLAIN_REQUEST,
    answer: `${TEXT_HEAD}\r\nbody`,
    end: closeNormally,
    isWhole: true,
  },
] as const;

for (const { name, request, answer, end, isWhole } of brokenCases) {
  test(`an engine's answer that broke off does not look complete: ${name}`, async (t) => {
    const server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => {
        socket.write(answer);
        end(socket);
      });
    });
    const pool = await startPool(t, server);
    const call = callEngine(
      { pool, counts: { inputTokens: 0, outputTokens: 0 } },
      createAttempt(request),
    );
    const isComplete = await call.then(
      () => true,
      () => false,
    );
    t.is(isComplete, isWhole);
  });
}
