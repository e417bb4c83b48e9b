import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { promisify } from 'node:util';
import test from 'ava';
import type { EndpointReport } from '../../registry';
import { startEndpointAttempt } from '../endpointAttempt';
import type { ResponseHeaders } from '../types';

const HEADERS: ResponseHeaders = {
  requestId: undefined,
  isNotRun: false,
  retryAfterMs: undefined,
  confidence: undefined,
  isEventStream: false,
  isCloseDelimited: false,
  isEncoded: false,
  forwarded: [],
};

const startServer = async (answer: (socket: Socket) => void): Promise<Server> => {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
};

const createEndpoint = (port: number): EndpointReport => ({
  id: 'e-1',
  startedAt: 1,
  sequence: 1,
  service: 's',
  address: `127.0.0.1:${port}`,
  zone: 'a',
  version: 'v1',
  slots: 1,
  state: 'ready',
  warmupMs: 0,
  models: [],
});

const startAttempt = (port: number) =>
  startEndpointAttempt(
    {
      endpoint: createEndpoint(port),
      method: 'GET',
      path: '/a/b',
      headers: ['Host', 'x.example'],
      body: Buffer.alloc(0),
      connectTimeoutMs: 1_000,
    },
    () => HEADERS,
  );

const readText = async (pieces: AsyncIterable<Buffer>): Promise<string> => {
  const read: Buffer[] = [];
  for await (const piece of pieces) read.push(piece);
  return Buffer.concat(read).toString();
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
  { name: 'length, whole', answer: sendThen(`${FRAMED}0123456789`, (s) => s.end()), isWhole: true },
  { name: 'length, short', answer: sendThen(`${FRAMED}0123`, (s) => s.end()), isWhole: false },
  {
    name: 'length, whole, with bytes after it',
    answer: sendThen(`${FRAMED}0123456789HTTP/1.1 200 OK\r\n\r\n`, (s) => s.end()),
    isWhole: true,
  },
  {
    name: 'chunks, short',
    answer: sendThen(`${CHUNKED}4\r\n0123\r\n`, (s) => s.end()),
    isWhole: false,
  },
  {
    name: 'no length, closed',
    answer: sendThen(`${UNFRAMED}0123456789`, (s) => s.end()),
    isWhole: true,
  },
  {
    name: 'no length, reset',
    answer: sendThen(`${UNFRAMED}0123`, (s) => s.resetAndDestroy()),
    isWhole: false,
  },
] as const;

for (const { name, answer, isWhole } of cases) {
  test(`body of an endpoint's answer: ${name}`, async (t) => {
    const server = await startServer(answer);
    const attempt = startAttempt((server.address() as AddressInfo).port);
    t.is((await attempt.head).map(({ status }) => status).extract(), 200);
    if (isWhole) t.is(await readText(attempt.readBody()), '0123456789');
    else await t.throwsAsync(readText(attempt.readBody()));
    server.close();
  });
}

const failures = [
  { name: 'nobody listens', answer: undefined, mayHaveRun: false },
  { name: 'closed before the answer', answer: (s: Socket) => s.end(), mayHaveRun: true },
  { name: 'reset before the answer', answer: (s: Socket) => s.resetAndDestroy(), mayHaveRun: true },
  { name: 'not HTTP', answer: (s: Socket) => s.end('nonsense\r\n\r\n'), mayHaveRun: true },
] as const;

for (const { name, answer, mayHaveRun } of failures) {
  test(`attempt without an answer: ${name}`, async (t) => {
    const server = await startServer(answer ?? (() => {}));
    const { port } = server.address() as AddressInfo;
    if (!answer) await promisify(server.close.bind(server))();
    const head = await startAttempt(port).head;
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
