import type { Socket } from 'node:net';
import test from 'ava';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';

const MIB = 1024 * 1024;
/** Far more than any limit of the gateway. */
const MAX_SENT_BYTES = 256 * MIB;
/** Longer than any response limit, so that a limit on bytes has to end the attempt. */
const ROUTE: RouteFields = { timeoutMs: 20_000, targetLatencyMs: 10_000, gapTargetMs: 500 };
const DEADLINE = { headers: { [HEADERS.deadline]: '20000' } };
const OK_HEAD = `HTTP/1.1 200 OK\r\n${HEADERS.requestId}: id-1\r\n`;
const EVENT_STREAM = `${OK_HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`;

const formatChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
const FILLER = 'x'.repeat(32 * 1024);

const BYTES_IN_CHUNKS = formatChunk('x').repeat(8_000);

/** Writes `repeated` until the gateway closes the connection. */
const createEndless =
  (start: string, repeated: string, pauseMs = 0): SocketAnswer =>
  (socket: Socket) => {
    socket.write(start);
    const sendNext = (): void => {
      if (socket.destroyed || socket.bytesWritten > MAX_SENT_BYTES) return;
      if (socket.write(repeated)) setTimeout(sendNext, pauseMs);
      else socket.once('drain', sendNext);
    };
    sendNext();
  };

const sendGood: SocketAnswer = (socket) => {
  socket.end(`${OK_HEAD}Content-Length: 4\r\n\r\ngood`);
};
/** Answers after all callers have sent their bodies. */
const sendLate: SocketAnswer = (socket) => {
  setTimeout(() => socket.end(`${OK_HEAD}Content-Length: 4\r\n\r\ngood`), 500);
};
const sendGoodStream: SocketAnswer = (socket) => {
  socket.end(`${EVENT_STREAM}${formatChunk('id: 2\ndata: b\n\n')}0\r\n\r\n`);
};

const cases = [
  { name: 'no status line', answer: createEndless('', FILLER), retry: sendGood },
  { name: 'a header line', answer: createEndless(`${OK_HEAD}X-Long: `, FILLER), retry: sendGood },
  {
    name: 'header lines',
    answer: createEndless(OK_HEAD, `X-More: ${FILLER}\r\n`),
    retry: sendGood,
  },
  {
    name: 'interim responses',
    answer: createEndless('', 'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'.repeat(500)),
    retry: sendGood,
  },
  {
    name: 'a chunked body',
    answer: createEndless(`${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`, formatChunk(FILLER)),
    retry: sendGood,
  },
  {
    name: 'a body in chunks of one byte',
    answer: createEndless(`${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`, BYTES_IN_CHUNKS),
    retry: sendGood,
  },
  {
    name: 'an event in chunks of one byte',
    answer: createEndless(EVENT_STREAM, BYTES_IN_CHUNKS),
    retry: sendGoodStream,
  },
  {
    name: 'a close-delimited body',
    answer: createEndless(`${OK_HEAD}Connection: close\r\n\r\n`, FILLER),
    retry: sendGood,
  },
  {
    name: 'a chunk extension',
    answer: createEndless(`${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n4;`, FILLER),
    retry: sendGood,
  },
  {
    name: 'the first event of a stream',
    answer: createEndless(EVENT_STREAM, formatChunk(FILLER)),
    retry: sendGoodStream,
  },
  {
    name: 'a later event of a stream',
    answer: createEndless(
      `${EVENT_STREAM}${formatChunk('id: 1\ndata: a\n\n')}`,
      formatChunk(FILLER),
    ),
    retry: sendGoodStream,
  },
  {
    name: 'a later event of a stream, slowly',
    answer: createEndless(
      `${EVENT_STREAM}${formatChunk('id: 1\ndata: a\n\n')}`,
      formatChunk('x'),
      50,
    ),
    retry: sendGoodStream,
  },
] as const;

/** Memory that the whole run of one case may add, for the endpoint and the gateway together. */
const MEMORY_LIMIT_BYTES = 128 * MIB;
/** Well before the route's timeout. */
const TIME_LIMIT_MS = 8_000;

for (const { name, answer, retry } of cases) {
  test.serial(
    `bytes without end in ${name} end the attempt, and another endpoint answers`,
    async (t) => {
      const isStream = retry === sendGoodStream;
      const fields: RouteFields = isStream
        ? { ...ROUTE, kind: 'stream', canResume: true }
        : { ...ROUTE, kind: 'idempotent' };
      const gateway = await startGateway(fields, [answer, retry]);
      t.teardown(gateway.stop);
      const memoryBefore = process.memoryUsage().rss;
      const startedAt = Date.now();
      const result = await gateway.call(DEADLINE);
      t.true(Date.now() - startedAt < TIME_LIMIT_MS);
      t.true(process.memoryUsage().rss - memoryBefore < MEMORY_LIMIT_BYTES);
      t.is(result.status, 200);
      t.true(result.isComplete);
      t.regex(result.body, isStream ? /id: 2\ndata: b\n\n$/ : /^good$/);
      t.is(result.body.includes('xxx'), false);
      t.is(gateway.heads[1]!.length, 1);
    },
  );
}

/** Samples the memory of this process until it is stopped, and returns the highest value in bytes. */
const startMemoryWatch = () => {
  let peak = process.memoryUsage().rss;
  const timer = setInterval(() => {
    peak = Math.max(peak, process.memoryUsage().rss);
  }, 5);
  return () => {
    clearInterval(timer);
    return Math.max(peak, process.memoryUsage().rss);
  };
};

const CONCURRENT_CALLS = 60;
/** Memory that concurrent calls may add, for callers, endpoints and the gateway together. */
const CONCURRENT_MEMORY_BYTES = 160 * MIB;

// Each response was limited by itself: 60 of them took 240 MB, where a gateway has 200 to 350.
test.serial(
  'bytes without end in many bodies at once take a bounded amount of memory',
  async (t) => {
    const endless = createEndless(
      `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`,
      formatChunk(FILLER),
    );
    const gateway = await startGateway({ ...ROUTE, kind: 'idempotent' }, [endless, sendGood]);
    t.teardown(gateway.stop);
    const memoryBefore = process.memoryUsage().rss;
    const stopWatch = startMemoryWatch();
    const calls = Array.from({ length: CONCURRENT_CALLS }, () => gateway.call(DEADLINE));
    const results = await Promise.all(calls);
    const added = stopWatch() - memoryBefore;
    t.log(`${Math.round(added / MIB)} MiB added by ${CONCURRENT_CALLS} calls`);
    t.true(added < CONCURRENT_MEMORY_BYTES);
    t.deepEqual(
      results.map(({ status, body }) => `${status} ${body}`),
      calls.map(() => '200 good'),
    );
  },
);

test.serial(
  'request bodies beyond the memory for them are refused at once, before they run',
  async (t) => {
    const gateway = await startGateway({ ...ROUTE, kind: 'once' }, [sendLate], {
      bodyMemoryBytes: 8 * MIB,
    });
    t.teardown(gateway.stop);
    const send = () => gateway.call({ ...DEADLINE, method: 'POST', body: FILLER.repeat(30) });
    const results = await Promise.all(Array.from({ length: 20 }, send));
    const refused = results.filter(({ status }) => status === 503);
    t.true(refused.length > 0 && refused.length < results.length);
    t.true(refused.every(({ headers }) => Number(headers['retry-after']) > 0));
    t.true(results.every(({ status }) => status === 200 || status === 503));
    t.is(gateway.heads[0]!.length, results.length - refused.length);
    t.is((await send()).status, 200);
  },
);

test('bytes without end on a route without retries give 502 before the timeout', async (t) => {
  const endless = createEndless(
    `${OK_HEAD}Transfer-Encoding: chunked\r\n\r\n`,
    formatChunk(FILLER),
  );
  const gateway = await startGateway({ ...ROUTE, kind: 'once' }, [endless, sendGood]);
  t.teardown(gateway.stop);
  const startedAt = Date.now();
  const result = await gateway.call(DEADLINE);
  t.is(result.status, 502);
  t.true(Date.now() - startedAt < TIME_LIMIT_MS);
  t.is(gateway.heads[1]!.length, 0);
});

test('a body with a declared length above the buffer limit is relayed whole', async (t) => {
  const body = FILLER.repeat(200);
  const sendAnswer: SocketAnswer = (socket) => {
    socket.end(`${OK_HEAD}Content-Length: ${body.length}\r\n\r\n${body}`);
  };
  const gateway = await startGateway({ ...ROUTE, kind: 'once' }, [sendAnswer]);
  t.teardown(gateway.stop);
  const result = await gateway.call(DEADLINE);
  t.is(result.status, 200);
  t.true(result.isComplete);
  t.is(result.body.length, body.length);
});

test('a large body that is truncated does not look complete and is not requested again', async (t) => {
  const body = FILLER.repeat(200);
  const sendAnswer: SocketAnswer = (socket) => {
    socket.end(`${OK_HEAD}Content-Length: ${body.length}\r\n\r\n${body.slice(1)}`);
  };
  const gateway = await startGateway({ ...ROUTE, kind: 'idempotent' }, [sendAnswer, sendGood]);
  t.teardown(gateway.stop);
  t.false((await gateway.call(DEADLINE)).isComplete);
  t.is(gateway.heads[1]!.length, 0);
});
