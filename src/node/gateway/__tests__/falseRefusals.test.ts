import test from 'ava';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { CHUNKED, formatChunks } from './framings';
import { startGateway, type CallOptions, type RouteFields, type SocketAnswer } from './harness';
import { close, closeByReset, createAnswer, ECHO, LONG_DEADLINE } from './socketAnswers';

/** Statuses that promise a caller that its request has not run, and never will. */
const promises = ['408 Request Timeout', '429 Too Many Requests', '503 Service Unavailable'];

const SIGNATURE = HEADERS.signature.toLowerCase();
const LARGE_BODY = 'x'.repeat(4 * 1024 * 1024 + 1);

/** Forms in which an endpoint sends a failure for a request that it has run. */
const forms: readonly {
  readonly name: string;
  readonly create: (status: string) => SocketAnswer;
  readonly method?: string;
}[] = [
  {
    name: 'with a length',
    create: (status) =>
      createAnswer(`HTTP/1.1 ${status}\r\n${ECHO}\r\nContent-Length: 6\r\n\r\nfailed`),
  },
  {
    name: 'with Retry-After',
    create: (status) =>
      createAnswer(
        `HTTP/1.1 ${status}\r\n${ECHO}\r\nRetry-After: 0.05\r\nContent-Length: 6\r\n\r\nfailed`,
      ),
  },
  {
    name: 'with a large body',
    create: (status) =>
      createAnswer(
        `HTTP/1.1 ${status}\r\n${ECHO}\r\nContent-Length: ${LARGE_BODY.length}\r\n\r\n${LARGE_BODY}`,
      ),
  },
  {
    name: 'in chunks',
    create: (status) =>
      createAnswer(
        `HTTP/1.1 ${status}\r\n${ECHO}\r\n${CHUNKED}\r\n${formatChunks('failed', true)}`,
      ),
  },
  {
    name: 'without a length or chunks',
    create: (status) => createAnswer(`HTTP/1.1 ${status}\r\n${ECHO}\r\n\r\nfailed`, close),
  },
  {
    name: 'without a length or chunks, not saying who it is',
    create: (status) => (socket, head, stopListening, replaceProcess) => {
      replaceProcess({ sendDescription: closeByReset });
      createAnswer(`HTTP/1.1 ${status}\r\n${ECHO}\r\n\r\nfailed`, close)(
        socket,
        head,
        stopListening,
        replaceProcess,
      );
    },
  },
  {
    name: 'as events',
    create: (status) =>
      createAnswer(
        `HTTP/1.1 ${status}\r\n${ECHO}\r\nContent-Type: text/event-stream\r\n${CHUNKED}\r\n${formatChunks('id: 1\ndata: x\n\n', true)}`,
      ),
  },
  {
    name: 'to HEAD',
    method: 'HEAD',
    create: (status) =>
      createAnswer(`HTTP/1.1 ${status}\r\n${ECHO}\r\nContent-Length: 6\r\n\r\n`, close),
  },
];

const failFirst: SocketAnswer = createAnswer(
  `HTTP/1.1 500 Internal Server Error\r\n${ECHO}\r\nContent-Length: 3\r\n\r\nbad`,
);
const declineFirst: SocketAnswer = createAnswer(
  `HTTP/1.1 503 Busy\r\n${ECHO}\r\n${HEADERS.notRun}: 1\r\nContent-Length: 0\r\n\r\n`,
);
const unsureFirst: SocketAnswer = createAnswer(
  `HTTP/1.1 200 OK\r\n${ECHO}\r\n${HEADERS.confidence}: 5\r\nContent-Length: 6\r\n\r\nunsure`,
);

/** Answers a small model's request as unsure, and a larger model's with the failure. */
const createCascade =
  (failure: SocketAnswer): SocketAnswer =>
  (...connection) => {
    const isSmall = connection[1].includes(`${HEADERS.model}: small`);
    (isSmall ? unsureFirst : failure)(...connection);
  };

/** Paths on which the failure is the last answer. */
const paths: readonly {
  readonly name: string;
  readonly route: RouteFields;
  /** Creates the answer of each endpoint from the failure. */
  readonly createAnswers: (failure: SocketAnswer) => readonly SocketAnswer[];
  /** Number of requests that each endpoint receives. */
  readonly requests: readonly number[];
  readonly headers?: CallOptions['headers'];
}[] = [
  {
    name: 'a request that runs once',
    route: { kind: 'once' },
    createAnswers: (failure) => [failure],
    requests: [1],
  },
  {
    name: 'a request that runs once and was declined before',
    route: { kind: 'once' },
    createAnswers: (failure) => [declineFirst, failure],
    requests: [1, 1],
  },
  {
    name: 'a request that may be repeated, without a retry left',
    route: { attemptLimit: 1 },
    createAnswers: (failure) => [failure],
    requests: [1],
  },
  {
    name: 'a request that may be repeated, after a failure',
    route: { attemptLimit: 2 },
    createAnswers: (failure) => [failFirst, failure],
    requests: [1, 1],
  },
  {
    name: 'a request that may be repeated and is declined after it',
    route: { attemptLimit: 2 },
    createAnswers: (failure) => [failure, declineFirst],
    requests: [1, 1],
  },
  {
    name: 'a stream that cannot be resumed',
    route: { kind: 'stream' },
    createAnswers: (failure) => [failure],
    requests: [1],
  },
  {
    name: 'a stream without a retry left',
    route: { kind: 'stream', canResume: true, attemptLimit: 1 },
    createAnswers: (failure) => [failure],
    requests: [1],
  },
  {
    name: "a larger model's request, after an unsure answer was dropped",
    route: { attemptLimit: 2, models: ['small', 'large'] },
    createAnswers: (failure) => [createCascade(failure)],
    requests: [2],
    headers: { [HEADERS.model]: '*' },
  },
];

// An endpoint's failure whose status says 'not run' was passed on for a request that had run, and the
// caller sent the request again.
for (const status of promises) {
  for (const { name: pathName, route, createAnswers, requests, headers } of paths) {
    test(`a failure is not passed on as a refusal: ${status} for ${pathName}`, async (t) => {
      t.timeout(60_000);
      const answers = [];
      for (const { name, create, method = 'POST' } of forms) {
        const gateway = await startGateway(route, createAnswers(create(status)));
        const result = await gateway.call({
          method,
          body: method === 'HEAD' ? undefined : '{}',
          headers: { ...LONG_DEADLINE.headers, ...headers },
        });
        await gateway.stop();
        const { [SIGNATURE]: signature, 'retry-after': retryAfter } = result.headers;
        const counts = gateway.heads.map((heads) => heads.length);
        answers.push({ name, status: result.status, signature, retryAfter, counts });
      }
      const expected = { status: 502, signature: undefined, retryAfter: undefined };
      t.deepEqual(
        answers,
        forms.map(({ name }) => ({ name, ...expected, counts: requests })),
      );
    });
  }
}

const halfStream = createAnswer(
  `HTTP/1.1 200 OK\r\n${ECHO}\r\nContent-Type: text/event-stream\r\n${CHUNKED}\r\n${formatChunks('id: 1\ndata: x\n\n', false)}`,
  closeByReset,
);

for (const status of promises) {
  test(`a stream breaks off if a failure follows its first part: ${status}`, async (t) => {
    const route: RouteFields = { kind: 'stream', canResume: true, attemptLimit: 2 };
    const gateway = await startGateway(route, [halfStream, forms[0]!.create(status)]);
    t.teardown(gateway.stop);
    const result = await gateway.call({ method: 'POST', body: '{}', ...LONG_DEADLINE });
    t.is(result.status, 200);
    t.is(result.body, 'id: 1\ndata: x\n\n');
    t.false(result.isComplete);
  });
}
