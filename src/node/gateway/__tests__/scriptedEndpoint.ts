import type { Socket } from 'node:net';
import fc from 'fast-check';
import { HEADERS } from '../../../../platform/__tests__/wireNames';
import { framings } from './framings';
import type { EndpointProcess, RouteFields, SocketAnswer } from './harness';
import { silentDescriptions } from './silentDescriptions';
import { closeByReset } from './socketAnswers';

/** Number of events of a whole stream. */
export const EVENT_COUNT = 4;
/** Pause in the middle and before the end of an answer, in milliseconds. */
const PAUSE_MS = 5;

const READABLE_FRAMINGS = framings.filter(({ isCoded }) => isCoded !== true);

/** Formats the whole text that answers a request. */
export const formatText = (requestId: string): string => `the answer to ${requestId}`;

/** Formats events of the stream that answers a request. */
export const formatEvents = (requestId: string, from: number, to = EVENT_COUNT): string =>
  Array.from(
    { length: Math.max(0, to - from + 1) },
    (_item, index) => `id: ${from + index}\ndata: ${requestId}\n\n`,
  ).join('');

type ProcessState = 'running' | 'lost' | 'unknown';

interface ProcessScript {
  readonly state: ProcessState;
  readonly process?: Partial<EndpointProcess>;
}

/** What becomes of a process when its answer ends; without a process, nothing has its address. */
const processScripts: Readonly<Record<string, ProcessScript>> = {
  'goes on': { state: 'running', process: {} },
  'is gone': { state: 'lost' },
  'is replaced': { state: 'lost', process: { id: 'e-other', startedAt: 2 } },
  'starts again': { state: 'lost', process: { startedAt: 2 } },
  ...Object.fromEntries(
    silentDescriptions.map(({ name, send }): readonly [string, ProcessScript] => [
      name,
      { state: 'unknown', process: { sendDescription: send } },
    ]),
  ),
};

const ends: Readonly<Record<string, (socket: Socket) => void>> = {
  closes: (socket) => {
    socket.end();
    socket.once('end', () => socket.destroy());
  },
  'half-closes': (socket) => socket.end(),
  resets: closeByReset,
  'stays open': () => {},
};

const heads: Readonly<Record<string, { readonly line: string; readonly hasRun: boolean }>> = {
  ok: { line: '200 OK', hasRun: true },
  fails: { line: '500 Internal Server Error', hasRun: true },
  declines: { line: `503 Service Unavailable\r\n${HEADERS.notRun}: 1`, hasRun: false },
  'is another one': { line: '421 Misdirected Request', hasRun: false },
};

const idHeaders: Readonly<Record<string, (requestId: string) => string>> = {
  own: (requestId) => `${HEADERS.requestId}: ${requestId}\r\n`,
  missing: () => '',
  other: () => `${HEADERS.requestId}: id-0\r\n`,
};

/** Content type headers of a stream; those but the first ones lie or say nothing. */
const typeHeaders: Readonly<Record<string, string>> = {
  events: 'Content-Type: text/event-stream\r\n',
  'in other case': 'content-TYPE: Text/Event-Stream\r\n',
  'with parameters': 'Content-Type: text/event-stream; charset=utf-8\r\n',
  missing: '',
  malformed: 'Content-Type: text event-stream\r\n',
  'another type': 'Content-Type: application/json\r\n',
  'two types': 'Content-Type: text/event-stream\r\nContent-Type: text/plain\r\n',
};

const afterwards: Readonly<Record<string, string>> = {
  nothing: '',
  'extra bytes': 'extra bytes',
  'a second answer': `HTTP/1.1 200 OK\r\n${HEADERS.requestId}: id-0\r\nContent-Length: 5\r\n\r\nother`,
};

/** What one endpoint does with each request. */
export interface EndpointScript {
  readonly head: string;
  readonly id: string;
  readonly framing: string;
  readonly type: string;
  /** Whether the framing states that a body is whole of which only a part is sent. */
  readonly claimsWhole: boolean;
  readonly hasInterimResponse: boolean;
  /** Share of the body's bytes that are sent. */
  readonly sentShare: number;
  readonly isInPieces: boolean;
  readonly afterwards: string;
  readonly end: string;
  readonly process: string;
  /** Whether it goes on after the event that a request names; otherwise it starts anew. */
  readonly canResume: boolean;
}

const choose = (table: Readonly<Record<string, unknown>>): fc.Arbitrary<string> =>
  fc.constantFrom(...Object.keys(table));

/** Scripts of endpoints; shrinks towards an endpoint without faults. */
export const endpointScripts: fc.Arbitrary<EndpointScript> = fc.record({
  head: fc.oneof({ weight: 5, arbitrary: fc.constant('ok') }, choose(heads)),
  id: fc.oneof({ weight: 5, arbitrary: fc.constant('own') }, choose(idHeaders)),
  framing: fc.constantFrom(...READABLE_FRAMINGS.map(({ name }) => name)),
  type: fc.oneof({ weight: 3, arbitrary: fc.constant('events') }, choose(typeHeaders)),
  claimsWhole: fc.oneof({ weight: 3, arbitrary: fc.constant(false) }, fc.boolean()),
  hasInterimResponse: fc.boolean(),
  sentShare: fc.oneof(
    fc.constant(1),
    fc.constant(0),
    fc.double({ min: 0, max: 1, noNaN: true }),
    // Ends between two events of a whole stream.
    fc.integer({ min: 1, max: EVENT_COUNT - 1 }).map((events) => events / EVENT_COUNT),
  ),
  isInPieces: fc.boolean(),
  afterwards: choose(afterwards),
  end: fc.oneof({ weight: 3, arbitrary: fc.constant('closes') }, choose(ends)),
  process: choose(processScripts),
  canResume: fc.oneof({ weight: 4, arbitrary: fc.constant(true) }, fc.boolean()),
});

/** Kinds of routes that requests are sent to. */
export const routeKinds: Readonly<Record<string, RouteFields>> = {
  once: { kind: 'once' },
  idempotent: { kind: 'idempotent' },
  stream: { kind: 'stream' },
  'resumable stream': { kind: 'stream', canResume: true },
};

/** What an endpoint knows of one request that it received. */
export interface EndpointRecord {
  readonly requestId: string;
  readonly hasRun: boolean;
  /** Body that was sent, without its framing. */
  readonly body: string;
  readonly isFramed: boolean;
  readonly isReset: boolean;
  /** Whether the framing states that the body is whole, and nothing in the body speaks against it. */
  readonly isFalselyWhole: boolean;
  readonly state: ProcessState;
  /** Last event that the caller has after this answer, if it is a stream. */
  readonly lastEvent: number;
}

const readHeader = (head: string, name: string): string | undefined =>
  new RegExp(`^${name}: (.*)\\r$`, 'im').exec(head)?.[1];

const countEvents = (text: string): number => text.split('\n\n').length - 1;

/** Plays a script at an endpoint and adds what it did to `records`. */
export const createScriptedAnswer =
  (script: EndpointScript, isStream: boolean, records: EndpointRecord[]): SocketAnswer =>
  (socket, request, stopListening, replaceProcess) => {
    const requestId = readHeader(request, HEADERS.requestId) ?? '';
    const after = script.canResume ? Number(readHeader(request, 'Last-Event-Id') ?? 0) : 0;
    const { line, hasRun } = heads[script.head]!;
    const framing = READABLE_FRAMINGS.find(({ name }) => name === script.framing)!;
    const isAnswer = script.head === 'ok';
    const answer = isStream ? formatEvents(requestId, after + 1) : formatText(requestId);
    const whole = isAnswer ? answer : 'a refusal';
    const isWhole = script.sentShare === 1;
    const isStated = isWhole || script.claimsWhole;
    const body = whole.slice(0, Math.floor(whole.length * script.sentShare));
    const { state, process } = processScripts[script.process]!;
    records.push({
      requestId,
      hasRun: hasRun || script.id === 'other',
      body,
      isFramed: framing.isFramed,
      isReset: script.end === 'resets',
      isFalselyWhole:
        framing.isFramed && isStated && !isWhole && (!isStream || /(?:^|\n\n)$/.test(body)),
      state,
      lastEvent: after + countEvents(body),
    });
    const type = isStream && isAnswer ? typeHeaders[script.type]! : '';
    const length = script.claimsWhole ? body.length : whole.length;
    const headers = `${idHeaders[script.id]!(requestId)}${type}${framing.createHead(length)}`;
    const interim = script.hasInterimResponse ? 'HTTP/1.1 103 Early Hints\r\n\r\n' : '';
    const start = `${interim}${framing.version ?? 'HTTP/1.1'} ${line}\r\n${headers}\r\n`;
    const extra = framing.isFramed && isStated ? afterwards[script.afterwards]! : '';
    const bytes = `${start}${framing.formatBody(body, isStated)}${extra}`;
    const half = script.isInPieces ? Math.floor(bytes.length / 2) : bytes.length;
    socket.write(bytes.slice(0, half));
    setTimeout(() => {
      socket.write(bytes.slice(half));
      setTimeout(() => {
        if (process) replaceProcess(process);
        else stopListening();
        ends[script.end]!(socket);
      }, PAUSE_MS);
    }, PAUSE_MS);
  };
