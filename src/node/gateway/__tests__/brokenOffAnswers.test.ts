import type { Socket } from 'node:net';
import test from 'ava';
import {
  startGateway,
  type CallerResult,
  type EndpointProcess,
  type RouteFields,
  type SocketAnswer,
} from './harness';
import { CHUNKED, formatChunks, framings, type Framing } from './framings';
import { silentDescriptions } from './silentDescriptions';
import { close, closeByReset, createAnswer, ECHO, LONG_DEADLINE, PAUSE_MS } from './socketAnswers';

const formatEvents = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_item, index) => `id: ${from + index}\ndata: x\n\n`).join(
    '',
  );

/** How much of its body an endpoint sends. */
interface SentBody {
  readonly name: string;
  readonly text: string;
  /** Whether a reader of the content sees that it breaks off. */
  readonly isTorn?: boolean;
}

const WHOLE_TEXT = 'an answer';
const textBodies: readonly SentBody[] = [
  { name: 'none', text: '' },
  { name: 'some', text: 'an an' },
  { name: 'whole', text: WHOLE_TEXT },
];

const createStreamBodies = (from: number): readonly SentBody[] => [
  { name: 'none', text: '', isTorn: from === 1 },
  { name: 'inside an event', text: `${formatEvents(from, 3)}id: 4\nda`, isTorn: true },
  {
    name: 'before the empty line of an event',
    text: `${formatEvents(from, 3)}id: 4\ndata: x\n`,
    isTorn: true,
  },
  { name: 'between events', text: formatEvents(from, 3) },
  { name: 'whole', text: formatEvents(from, 4) },
];

type ProcessChange = Parameters<SocketAnswer>[3] | undefined;

/** What happens to the endpoint when its answer ends. */
interface Next {
  readonly name: string;
  readonly apply: (stopListening: () => void, replace: NonNullable<ProcessChange>) => void;
  /** What can be found out about the process that answered. */
  readonly state: 'running' | 'lost' | 'unknown';
}

const replaceWith =
  (process: Partial<EndpointProcess>): Next['apply'] =>
  (_stopListening, replace) =>
    replace(process);

const goesOn: Next = { name: 'goes on', apply: () => {}, state: 'running' };
const nexts: readonly Next[] = [
  goesOn,
  { name: 'refuses connections', apply: (stopListening) => stopListening(), state: 'lost' },
  {
    name: 'is replaced by another process at its address',
    apply: replaceWith({ id: 'e-other', startedAt: 2 }),
    state: 'lost',
  },
  {
    name: 'starts again under its id',
    apply: replaceWith({ startedAt: 2 }),
    state: 'lost',
  },
  ...silentDescriptions.map(({ name, send }) => ({
    name,
    apply: replaceWith({ sendDescription: send }),
    state: 'unknown' as const,
  })),
];

/** How the connection of an answer ends. */
interface End {
  readonly name: string;
  readonly run: (socket: Socket) => void;
  /** Whether the end shows by itself that the body broke off, if it has no framing. */
  readonly isBroken: boolean;
  readonly nexts: readonly Next[];
}

const ends: readonly End[] = [
  {
    name: 'closes',
    run: (socket) => {
      socket.end();
      socket.once('end', () => socket.destroy());
    },
    isBroken: false,
    nexts,
  },
  { name: 'half-closes', run: (socket) => socket.end(), isBroken: false, nexts },
  { name: 'resets', run: closeByReset, isBroken: true, nexts: [goesOn] },
  {
    name: 'resets later',
    run: (socket) => {
      setTimeout(() => closeByReset(socket), 5 * PAUSE_MS);
    },
    isBroken: true,
    nexts: [goesOn],
  },
];

/** A path that an answer takes through a gateway. */
interface RelayPath {
  readonly name: string;
  readonly route: RouteFields;
  readonly isStream: boolean;
  /** Content type header of the tested answer; by default that of an event stream. */
  readonly typeHeader?: string;
  readonly bodies: readonly SentBody[];
  /** Answers of the endpoints before and after the one that is tested. */
  readonly before?: SocketAnswer;
  readonly after?: SocketAnswer;
  /** Text that the caller has from the answers before. */
  readonly prefix?: string;
  /**
   * Whether the attempt before counts as the loss of its endpoint. After another one, the request is
   * refused as one that endpoints do not survive.
   */
  readonly isSuspect?: boolean;
  /** Text of a whole answer. */
  readonly whole: string;
}

/** Limit for the answer of a process that does not say who it is, in milliseconds. */
const UNANSWERED_MS = 300;

const STREAM_TYPE = 'Content-Type: text/event-stream\r\n';
const OK = `HTTP/1.1 200 OK\r\n${ECHO}\r\n`;
const STREAM: RouteFields = { kind: 'stream', canResume: true };
const SLOW: RouteFields = { timeoutMs: 20_000, targetLatencyMs: 10_000, gapTargetMs: 10_000 };

const goodText = createAnswer(`${OK}Content-Length: ${WHOLE_TEXT.length}\r\n\r\n${WHOLE_TEXT}`);
/** Sends the events after the one that the request names. */
const sendGoodStream: SocketAnswer = (socket, head) => {
  const from = 1 + Number(/^Last-Event-Id: (.*)\r$/m.exec(head)?.[1] ?? 0);
  socket.write(`${OK}${STREAM_TYPE}${CHUNKED}\r\n${formatChunks(formatEvents(from, 4), true)}`);
};
const interruptedStream = createAnswer(
  `${OK}${STREAM_TYPE}${CHUNKED}\r\n${formatChunks(formatEvents(1, 2), false)}`,
  closeByReset,
);

/** First attempts that end before their first complete event. */
const eventlessAttempts: readonly { readonly name: string; readonly send: SocketAnswer }[] = [
  {
    name: 'a torn event in chunks',
    send: createAnswer(
      `${OK}${STREAM_TYPE}${CHUNKED}\r\n${formatChunks('id: 1\nda', false)}`,
      closeByReset,
    ),
  },
  {
    name: 'a torn event without a length or chunks',
    send: createAnswer(`${OK}${STREAM_TYPE}\r\nid: 1\nda`, close),
  },
  {
    name: 'a head',
    send: createAnswer(`${OK}${STREAM_TYPE}${CHUNKED}\r\n`, closeByReset),
  },
];

const text = { isStream: false, bodies: textBodies, whole: WHOLE_TEXT };
const stream = { isStream: true, bodies: createStreamBodies(1), whole: formatEvents(1, 4) };
const resumed = {
  ...stream,
  bodies: createStreamBodies(3),
  before: interruptedStream,
  prefix: formatEvents(1, 2),
};

const paths: readonly RelayPath[] = [
  { ...text, name: 'a body that runs once', route: { kind: 'once' }, after: goodText },
  { ...text, name: 'a body with a retry left', route: {}, after: goodText },
  { ...text, name: 'a body without a retry left', route: { attemptLimit: 1 }, after: goodText },
  { ...text, name: 'a body without another endpoint', route: {} },
  {
    ...stream,
    name: 'a stream without a content type',
    route: STREAM,
    typeHeader: '',
    after: sendGoodStream,
  },
  {
    ...stream,
    name: 'a stream without a content type or a retry left',
    route: { ...STREAM, attemptLimit: 1 },
    typeHeader: '',
    after: sendGoodStream,
  },
  {
    ...stream,
    name: 'a stream with a malformed content type that cannot resume',
    route: { kind: 'stream' },
    typeHeader: 'Content-Type: text\r\n',
    after: sendGoodStream,
  },
  { ...stream, name: 'a stream with a retry left', route: STREAM, after: sendGoodStream },
  {
    ...stream,
    name: 'a stream without a retry left',
    route: { ...STREAM, attemptLimit: 1 },
    after: sendGoodStream,
  },
  {
    ...stream,
    name: 'a stream that cannot resume',
    route: { kind: 'stream' },
    after: sendGoodStream,
  },
  { ...resumed, name: 'a resumed stream with a retry left', route: STREAM, after: sendGoodStream },
  {
    ...resumed,
    name: 'a resumed stream without a retry left',
    route: { ...STREAM, attemptLimit: 2 },
    after: sendGoodStream,
  },
  ...eventlessAttempts.flatMap(({ name, send }): readonly RelayPath[] => [
    {
      ...stream,
      name: `a stream with a retry left after ${name}`,
      route: STREAM,
      before: send,
      isSuspect: true,
      after: sendGoodStream,
    },
    {
      ...stream,
      name: `a stream without a retry left after ${name}`,
      route: { ...STREAM, attemptLimit: 2 },
      before: send,
      after: sendGoodStream,
    },
  ]),
];

const isFramedReply = ({ headers }: CallerResult): boolean =>
  headers['content-length'] !== undefined || headers['transfer-encoding'] === 'chunked';

/** Whether another attempt has to confirm the end of an answer. */
const canConfirm = ({ isFramed }: Framing, { isStream, route }: RelayPath): boolean =>
  !isFramed && isStream && route.canResume === true;

interface Combination {
  readonly body: SentBody;
  readonly end: End;
  readonly next: Next;
}

const listCombinations = (bodies: readonly SentBody[]): readonly Combination[] =>
  bodies.flatMap((body) => ends.flatMap((end) => end.nexts.map((next) => ({ body, end, next }))));

const canRetry = ({ after, route, before }: RelayPath): boolean =>
  after !== undefined &&
  (route.kind === undefined || route.canResume === true) &&
  (route.attemptLimit ?? Infinity) > (before ? 2 : 1);

// A body's length and its last chunk show its end whatever happens to the connection after them.
// Without them, an endpoint that goes on may have closed the connection at any byte: such a stream is
// resumed to confirm its end, or taken as complete if it cannot be. What an unknown process sent is
// taken as complete only if no other endpoint can be asked.
const isWholeAnswer = (
  framing: Framing,
  path: RelayPath,
  { body, end, next }: Combination,
): boolean => {
  const isTorn = path.isStream && body.isTorn === true;
  if (framing.isCoded) return false;
  if (framing.isFramed) return body.name === 'whole';
  const isTaken = next.state === 'running' || (next.state === 'unknown' && !canRetry(path));
  return !isTorn && !end.isBroken && isTaken && !canConfirm(framing, path);
};

const createTestedAnswer = (
  framing: Framing,
  path: RelayPath,
  { body, end, next }: Combination,
): SocketAnswer => {
  let isResumed = false;
  return (...connection) => {
    if (isResumed) {
      sendGoodStream(...connection);
      return;
    }
    isResumed = path.isStream;
    const [socket, , stopListening, replaceProcess] = connection;
    const type = path.isStream ? (path.typeHeader ?? STREAM_TYPE) : '';
    const whole = path.bodies.at(-1)!.text;
    const head = `${framing.version ?? 'HTTP/1.1'} 200 OK\r\n${ECHO}\r\n${type}${framing.createHead(whole.length)}\r\n`;
    socket.write(head + framing.formatBody(body.text, body.name === 'whole'));
    setTimeout(() => {
      next.apply(stopListening, replaceProcess);
      end.run(socket);
    }, PAUSE_MS);
  };
};

const findFault = (
  framing: Framing,
  path: RelayPath,
  combination: Combination,
  result: CallerResult,
): string | undefined => {
  const { status, isComplete, body } = result;
  const isSuccess = status === 200 && isComplete;
  if (isSuccess && !isFramedReply(result)) return 'a body that ends with its connection';
  const sent = `${path.prefix ?? ''}${combination.body.text}`;
  const expected = isWholeAnswer(framing, path, combination) ? sent : path.whole;
  if (canRetry(path) && path.isSuspect && !isSuccess) return undefined;
  if (isWholeAnswer(framing, path, combination) || canRetry(path)) {
    return isSuccess && body === expected ? undefined : 'no complete answer';
  }
  return isSuccess ? 'a broken-off answer looks complete' : undefined;
};

const runCombination = async (
  framing: Framing,
  path: RelayPath,
  combination: Combination,
): Promise<readonly string[]> => {
  const tested = createTestedAnswer(framing, path, combination);
  const answers = [path.before, tested, path.after].filter((answer) => answer !== undefined);
  const gateway = await startGateway({ ...SLOW, ...path.route }, answers, {
    processTimeoutMs: combination.next.state === 'unknown' ? UNANSWERED_MS : undefined,
  });
  try {
    const result = await gateway.call({ method: 'POST', body: '{}', ...LONG_DEADLINE });
    const fault = findFault(framing, path, combination, result);
    if (fault === undefined) return [];
    const { body, end, next } = combination;
    const { status, isComplete } = result;
    return [
      `${path.name}, body ${body.name}, ${end.name}, endpoint ${next.name}: ${fault} (${status}, ${isComplete ? 'complete' : 'incomplete'}, ${JSON.stringify(result.body)})`,
    ];
  } finally {
    await gateway.stop();
  }
};

for (const framing of framings) {
  // Runs alone: each of its combinations starts a gateway, and the combinations of a path run at once.
  test.serial(`an answer that broke off does not look complete: ${framing.name}`, async (t) => {
    const faults: string[] = [];
    for (const path of paths) {
      const found = await Promise.all(
        listCombinations(path.bodies).map((item) => runCombination(framing, path, item)),
      );
      faults.push(...found.flat());
    }
    t.deepEqual(faults, []);
  });
}
