import { createServer, type Server, type Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { promisify } from 'node:util';
import test from 'ava';
import { startOnOwnAddress, type OwnAddress } from '../../__tests__/ownAddresses';
import type { EndpointReport } from '../../registry';
import { startEndpointAttempt } from '../endpointAttempt';
import type { ResponseHeaders } from '../types';

const HEADERS: ResponseHeaders = {
  requestId: undefined,
  isNotRun: false,
  retryAfterMs: undefined,
  confidence: undefined,
  requestsPerSecond: undefined,
  isLeaving: false,
  contentKind: 'unknown',
  isCloseDelimited: false,
  isEncoded: false,
  forwarded: [],
};

/** A listening endpoint. */
interface TestServer {
  readonly server: Server;
  readonly address: OwnAddress;
}

const startServer = async (answer: (socket: Socket) => void): Promise<TestServer> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  return { server, address: await startOnOwnAddress(server) };
};

const createEndpoint = ({ host, port }: OwnAddress): EndpointReport => ({
  id: 'e-1',
  startedAt: 1,
  sequence: 1,
  service: 's',
  address: `${host}:${port}`,
  zone: 'a',
  version: 'v1',
  slots: 1,
  state: 'ready',
  warmupMs: 0,
  models: [],
});

const NO_BODY = Buffer.alloc(0);
const FRAMING_HEADER = /^(?:content-length|transfer-encoding)$/im;

const startAttempt = (
  address: OwnAddress,
  canSend?: () => boolean,
  isPauseChecked = false,
  body = NO_BODY,
) =>
  startEndpointAttempt(
    {
      endpoint: createEndpoint(address),
      method: 'POST',
      path: '/a/b',
      headers: ['Host', 'x.example'],
      body,
      connectTimeoutMs: 1_000,
      canSend,
      isPauseChecked,
    },
    (_status, raw) => ({ ...HEADERS, isCloseDelimited: !FRAMING_HEADER.test(raw.join('\n')) }),
  );

const readText = async (body: AsyncIterable<Buffer>): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

const PAUSE_MS = 30;
const UNFRAMED = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';
const FRAMED = 'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n';
const CHUNKED = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

const sendThen = (text: string, end: (socket: Socket) => void) => (socket: Socket) => {
  socket.write(text);
  setTimeout(() => end(socket), PAUSE_MS);
};

const cases = [
  {
    name: 'content length, complete',
    answer: sendThen(`${FRAMED}0123456789`, (s) => s.end()),
    isWhole: true,
  },
  {
    name: 'content length, truncated',
    answer: sendThen(`${FRAMED}0123`, (s) => s.end()),
    isWhole: false,
  },
  {
    name: 'content length, complete, followed by extra bytes',
    answer: sendThen(`${FRAMED}0123456789HTTP/1.1 200 OK\r\n\r\n`, (s) => s.end()),
    isWhole: true,
  },
  {
    name: 'chunked, truncated',
    answer: sendThen(`${CHUNKED}4\r\n0123\r\n`, (s) => s.end()),
    isWhole: false,
  },
  {
    name: 'close-delimited, closed normally',
    answer: sendThen(`${UNFRAMED}0123456789`, (s) => s.end()),
    isWhole: true,
  },
  {
    name: 'close-delimited, reset',
    answer: sendThen(`${UNFRAMED}0123`, (s) => s.resetAndDestroy()),
    isWhole: false,
  },
] as const;

for (const { name, answer, isWhole } of cases) {
  test(`body of an endpoint's response: ${name}`, async (t) => {
    const { server, address } = await startServer(answer);
    const attempt = startAttempt(address);
    t.is((await attempt.head).map(({ status }) => status).extract(), 200);
    if (isWhole) t.is(await readText(attempt.readBody()), '0123456789');
    else await t.throwsAsync(readText(attempt.readBody()));
    server.close();
  });
}

const READ_ON_MS = 5;

/** Ends of a connection after a part of an answer without a length or chunks. */
const uploadEnds = [
  { name: 'a reset at once', end: (s: Socket) => s.resetAndDestroy(), isWhole: false },
  {
    name: 'a reset in the next turn',
    end: (s: Socket) => setImmediate(() => s.resetAndDestroy()),
    isWhole: false,
  },
  ...[1, 5, 20, 100].map((delayMs) => ({
    name: `a reset after ${delayMs} ms`,
    end: (s: Socket) => setTimeout(() => s.resetAndDestroy(), delayMs),
    isWhole: false,
  })),
  {
    name: 'a close of one side, and reading on',
    end: (s: Socket) => {
      s.end();
      s.resume();
    },
    isWhole: true,
  },
  {
    name: 'a close of one side, and reading on later',
    end: (s: Socket) => {
      s.pause();
      s.end();
      setTimeout(() => s.resume(), READ_ON_MS);
    },
    isWhole: true,
  },
];
/** Nothing, what the kernel takes at once, and more than that, in bytes. */
const uploadSizes = [0, 100_000, 4_100_000];
/** Attempts at once of each row; the order of events varies. */
const ATTEMPTS = 10;

// With an upload under way, a reset was taken for a close, and the answer for complete.
for (const size of uploadSizes) {
  for (const { name, end, isWhole } of uploadEnds) {
    test.serial(`an answer that ends during an upload of ${size} bytes: ${name}`, async (t) => {
      const server = createServer({ allowHalfOpen: true }, (socket) => {
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.write(`${UNFRAMED}0123456789`);
          end(socket);
        });
      });
      const address = await startOnOwnAddress(server);
      t.teardown(() => server.close());
      const upload = Buffer.alloc(size, 'u');
      const results = await Promise.all(
        Array.from({ length: ATTEMPTS }, async () => {
          const attempt = startAttempt(address, undefined, false, upload);
          if ((await attempt.head).isLeft()) return 'no head';
          return readText(attempt.readBody()).catch(() => 'broken off');
        }),
      );
      const whole = results.filter((text) => text === '0123456789');
      t.is(whole.length, isWhole ? ATTEMPTS : 0, JSON.stringify(results));
    });
  }
}

/** Answers of 30 kB, which the client holds until they are read, and ends of their connections. */
const LONG_TEXT = 'x'.repeat(30_000);
const SLOW_READ_MS = 50;
const slowlyRead = [
  { name: 'with a length', head: `Content-Length: ${LONG_TEXT.length}\r\n\r\n`, isWhole: true },
  {
    name: 'with a length, closing',
    head: `Connection: close\r\nContent-Length: ${LONG_TEXT.length}\r\n\r\n`,
    isWhole: true,
  },
  {
    name: 'in chunks',
    head: `Transfer-Encoding: chunked\r\n\r\n${LONG_TEXT.length.toString(16)}\r\n`,
    tail: '\r\n0\r\n\r\n',
    isWhole: true,
  },
  { name: 'without a length or chunks', head: '\r\n', isWhole: false },
] as const;

// A whole answer was dropped if its endpoint reset the connection before a slow caller had read it.
for (const { name, head, isWhole, ...rest } of slowlyRead) {
  for (const delayMs of [0, 1, 20]) {
    test(`an answer is read slowly and its connection is reset after ${delayMs} ms: ${name}`, async (t) => {
      const tail = 'tail' in rest ? rest.tail : '';
      const { server, address } = await startServer((socket) => {
        socket.write(`HTTP/1.1 200 OK\r\n${head}${LONG_TEXT}${tail}`);
        setTimeout(() => socket.resetAndDestroy(), delayMs);
      });
      t.teardown(() => server.close());
      const results = await Promise.all(
        Array.from({ length: ATTEMPTS }, async () => {
          const attempt = startAttempt(address);
          await attempt.head;
          await sleep(SLOW_READ_MS);
          const text = await readText(attempt.readBody()).catch(() => 'broken off');
          return text === LONG_TEXT;
        }),
      );
      t.deepEqual(
        results,
        results.map(() => isWhole),
      );
    });
  }
}

const failures = [
  { name: 'connection refused', answer: undefined, mayHaveRun: false },
  {
    name: 'connection closed before the response',
    answer: (s: Socket) => s.end(),
    mayHaveRun: true,
  },
  {
    name: 'connection reset before the response',
    answer: (s: Socket) => s.resetAndDestroy(),
    mayHaveRun: true,
  },
  {
    name: 'response is not HTTP',
    answer: (s: Socket) => s.end('nonsense\r\n\r\n'),
    mayHaveRun: true,
  },
] as const;

for (const { name, answer, mayHaveRun } of failures) {
  test(`attempt without a response: ${name}`, async (t) => {
    const { server, address } = await startServer(answer ?? (() => {}));
    if (!answer) await promisify(server.close.bind(server))();
    const head = await startAttempt(address).head;
    t.is(
      head
        .swap()
        .map((failure) => failure.mayHaveRun)
        .extract(),
      mayHaveRun,
    );
    server.close();
  });
}

/** Pauses the event loop, like a process that is frozen. */
const runBusy = (durationMs: number): void => {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
};

const pauses = [
  { name: 'a process that was not paused sends it', pauseMs: 0, isSent: true },
  { name: 'a process that was paused shortly sends it', pauseMs: 300, isSent: true },
  // Deployments without evacuations are served as before.
  { name: 'it is sent where pauses do not matter', pauseMs: 2_500, isChecked: false, isSent: true },
  // The endpoint's zone may have been evacuated, or a key revoked, while the process was frozen.
  { name: 'a process that was paused for long does not send it', pauseMs: 2_500, isSent: false },
];

for (const { name, pauseMs, isChecked = true, isSent } of pauses) {
  test.serial(`request whose connection opens after a pause: ${name}`, async (t) => {
    let requests = 0;
    const { server, address } = await startServer((socket) => {
      requests += 1;
      sendThen(`${FRAMED}0123456789`, (s) => s.end())(socket);
    });
    const attempt = startAttempt(address, undefined, isChecked);
    runBusy(pauseMs);
    const head = await attempt.head;
    t.is(head.isRight(), isSent);
    if (isSent) await readText(attempt.readBody());
    else t.like(head.swap().unsafeCoerce(), { mayHaveRun: false, isWithheld: true });
    await sleep(PAUSE_MS);
    t.is(requests, isSent ? 1 : 0);
    server.close();
  });
}

// Guards against a request that is sent with a permit that ran out while the process was paused.
test('a request that may not be sent any more is not written', async (t) => {
  let requests = 0;
  const { server, address } = await startServer(() => {
    requests += 1;
  });
  t.teardown(() => server.close());
  const head = await startAttempt(address, () => false).head;
  t.like(head.swap().unsafeCoerce(), {
    mayHaveRun: false,
    isConnectionLost: false,
    isWithheld: true,
  });
  t.is(requests, 0);
});
