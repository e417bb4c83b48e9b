import { connect, type Socket } from 'node:net';
import test from 'ava';
import type { OwnAddress } from '../../__tests__/ownAddresses';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { CHUNKED, formatChunks } from './framings';
import { startGateway, type RouteFields, type SocketAnswer } from './harness';
import { closeByReset, ECHO } from './socketAnswers';

/** More than the kernel takes at once, so that the answer comes while the upload is written. */
const UPLOAD = 'u'.repeat(4_100_000);
const LIMITS = { bodyBytes: 5_000_000, bodyMemoryBytes: 64_000_000 };
/** Calls at once of each row; the order of a write error, a read error and an end varies. */
const CALLS = 8;
/** Part of a body, or of a stream after its first event. */
const PART = `id: 1\ndata: ${'x'.repeat(5_000)}\n\n`;

/** What the caller sends after its head. */
const uploads = [
  { name: 'by length', text: `Content-Length: ${UPLOAD.length}\r\n\r\n${UPLOAD}` },
  { name: 'in chunks', text: `${CHUNKED}\r\n${formatChunks(UPLOAD, true)}` },
] as const;

const ends: readonly { readonly name: string; readonly run: (socket: Socket) => void }[] = [
  { name: 'resets at once', run: closeByReset },
  { name: 'resets in the next turn', run: (socket) => setImmediate(closeByReset, socket) },
  { name: 'resets after 2 ms', run: (socket) => setTimeout(closeByReset, 2, socket) },
  { name: 'resets after 100 ms', run: (socket) => setTimeout(closeByReset, 100, socket) },
];

const STREAM_TYPE = 'Content-Type: text/event-stream\r\n';

const createPartialAnswer =
  (typeHeader: string, end: (socket: Socket) => void): SocketAnswer =>
  (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${ECHO}\r\n${typeHeader}\r\n${PART}`);
    end(socket);
  };

const WHOLE = 'the whole answer';
const sendWhole: SocketAnswer = (socket) => {
  socket.resume();
  socket.write(`HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Length: ${WHOLE.length}\r\n\r\n${WHOLE}`);
};

const routes: readonly {
  readonly name: string;
  readonly route: RouteFields;
  readonly typeHeader: string;
  readonly after: readonly SocketAnswer[];
}[] = [
  { name: 'runs once', route: { kind: 'once' }, typeHeader: '', after: [sendWhole] },
  { name: 'may be repeated', route: {}, typeHeader: '', after: [sendWhole] },
  {
    name: 'may be repeated, without a retry left',
    route: { attemptLimit: 1 },
    typeHeader: '',
    after: [sendWhole],
  },
  {
    name: 'is a stream that cannot be resumed',
    route: { kind: 'stream' },
    typeHeader: STREAM_TYPE,
    after: [],
  },
  {
    name: 'is a stream without another endpoint',
    route: { kind: 'stream', canResume: true },
    typeHeader: STREAM_TYPE,
    after: [],
  },
];

const callRaw = ({ host, port }: OwnAddress, upload: string): Promise<string> =>
  new Promise((resolve) => {
    const socket = connect(port, host);
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.once('close', () => resolve(text));
    const head = `Host: shop.example\r\n${HEADERS.requestId}: id-1\r\n${HEADERS.key}: key-1\r\n`;
    const limit = `${HEADERS.deadline}: 20000\r\nConnection: close\r\n`;
    socket.write(`POST /a/b HTTP/1.1\r\n${head}${limit}${upload}`);
  });

/** Whether an answer is a success that looks complete, by its framing or else by its connection. */
const isSuccess = (text: string): boolean => {
  const [head = '', ...rest] = text.split('\r\n\r\n');
  const body = rest.join('\r\n\r\n');
  if (!head.startsWith('HTTP/1.1 200 ')) return false;
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  if (length !== undefined) return body.length === Number(length);
  return !/^transfer-encoding: chunked/im.test(head) || body.endsWith('0\r\n\r\n');
};

// The client library took the reset for the end of the answer while the upload was still written, and
// the caller got the part that had come as a complete answer.
for (const { name, route, typeHeader, after } of routes) {
  for (const { name: endName, run } of ends) {
    test.serial(
      `a reset during an upload ends no answer: a request that ${name}, the endpoint ${endName}`,
      async (t) => {
        t.timeout(60_000);
        const partial = createPartialAnswer(typeHeader, run);
        const fields = { timeoutMs: 20_000, targetLatencyMs: 10_000, ...route };
        const gateway = await startGateway(fields, [partial, ...after], LIMITS);
        t.teardown(gateway.stop);
        for (const { name: uploadName, text } of uploads) {
          const calls = Array.from({ length: CALLS }, () => callRaw(gateway.address, text));
          const answers = await Promise.all(calls);
          const wrong = answers.filter((answer) => isSuccess(answer) && !answer.endsWith(WHOLE));
          t.deepEqual(
            wrong.map((answer) => answer.slice(0, 200)),
            [],
            uploadName,
          );
        }
      },
    );
  }
}
