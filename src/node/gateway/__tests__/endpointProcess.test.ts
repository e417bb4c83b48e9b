import { createServer, type Socket } from 'node:net';
import test from 'ava';
import { HEADERS, formatDescription } from '../../../../platform/__tests__/wireNames';
import { startOnOwnAddress } from '../../__tests__/ownAddresses';
import { identityCodec } from '../../../../platform/identity';
import { fetchProcessState } from '../endpointProcess';
import { createReport } from './harness';
import { closeByReset } from './socketAnswers';

const ENDPOINT = { id: 'e-1', startedAt: 5 };

type Answer = (socket: Socket) => void;

const sendText =
  (text: string): Answer =>
  (socket) => {
    socket.end(text);
  };
const formatAnswer = (status: string, headers: string, body = ''): string =>
  `HTTP/1.1 ${status}\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
const identify = sendText(
  formatAnswer('200 OK', `${HEADERS.endpoint}: e-1\r\n`, formatDescription(5)),
);
const sendNothing: Answer = () => {};
const turnAway = sendText(formatAnswer('503 Service Unavailable', ''));

const sendEndlessBody: Answer = (socket) => {
  const chunk = `8000\r\n${'x'.repeat(0x8000)}\r\n`;
  socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
  const sendNext = (): void => {
    if (!socket.destroyed) socket.write(chunk, sendNext);
  };
  sendNext();
};
const sendEndlessHead: Answer = (socket) => {
  socket.write('HTTP/1.1 200 OK\r\n');
  const sendNext = (): void => {
    if (!socket.destroyed) socket.write(`X-More: ${'x'.repeat(1_000)}\r\n`, sendNext);
  };
  sendNext();
};

const TIMEOUT_MS = 1_000;

/** Answers to the questions in turn; nothing accepts connections after the last one. */
const questions: readonly {
  readonly name: string;
  readonly answers: readonly Answer[];
  readonly state: string;
  readonly asked: number;
}[] = [
  { name: 'says who it is', answers: [identify], state: 'same', asked: 1 },
  { name: 'has just ended', answers: [closeByReset], state: 'gone', asked: 1 },
  {
    name: 'is at its connection limit for a moment',
    answers: [closeByReset, identify],
    state: 'same',
    asked: 2,
  },
  { name: 'is full for a moment', answers: [turnAway, identify], state: 'same', asked: 2 },
  {
    name: 'stays full',
    answers: [turnAway, turnAway, turnAway, turnAway],
    state: 'unknown',
    asked: 3,
  },
  {
    name: 'sends a body without end',
    answers: [sendEndlessBody, identify],
    state: 'unknown',
    asked: 1,
  },
  {
    name: 'sends a head without end',
    answers: [sendEndlessHead, identify],
    state: 'unknown',
    asked: 1,
  },
  { name: 'does not answer', answers: [sendNothing, identify], state: 'unknown', asked: 1 },
  {
    name: 'answers without saying who it is',
    answers: [sendText(formatAnswer('200 OK', '', '{}')), identify],
    state: 'unknown',
    asked: 1,
  },
  {
    name: 'says that it is another one',
    answers: [sendText(formatAnswer('421 Misdirected Request', '')), identify],
    state: 'replaced',
    asked: 1,
  },
];

for (const { name, answers, state, asked } of questions) {
  test(`a process that ${name} is found to be ${state}`, async (t) => {
    const sockets = new Set<Socket>();
    let count = 0;
    const server = createServer((socket) => {
      sockets.add(socket);
      socket.on('error', () => {});
      const answer = answers[count]!;
      count += 1;
      if (count === answers.length) server.close();
      socket.once('data', () => answer(socket));
    });
    const { host, port } = await startOnOwnAddress(server);
    t.teardown(() => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    });
    const endpoint = { ...createReport(0, port, host), ...ENDPOINT };
    const found = await fetchProcessState(identityCodec, endpoint, undefined, TIMEOUT_MS);
    t.deepEqual({ state: found.state, asked: count }, { state, asked });
  });
}
